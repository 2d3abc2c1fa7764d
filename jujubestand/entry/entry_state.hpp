#ifndef JUJUBESTAND_ENTRY_ENTRY_STATE_HPP
#define JUJUBESTAND_ENTRY_ENTRY_STATE_HPP

#include <jujubestand/admin/endpoints.hpp>
#include <jujubestand/entry/call.hpp>
#include <jujubestand/entry/entry.hpp>
#include <jujubestand/entry/metrics.hpp>
#include <jujubestand/entry/problem.hpp>
#include <jujubestand/placement/placement.hpp>
#include <jujubestand/platform/http_client.hpp>
#include <jujubestand/platform/list_client.hpp>
#include <jujubestand/platform/log_client.hpp>
#include <jujubestand/process/crash_news.hpp>
#include <jujubestand/process/table_reader.hpp>
#include <jujubestand/quarantine/evidence.hpp>
#include <jujubestand/retries/circuit.hpp>
#include <jujubestand/retries/retry.hpp>
#include <map>
#include <prometheus/counter.h>
#include <unordered_map>
#include <vector>

namespace jujubestand::entry
{

/// \brief Placement of one pool, and the tables and list it was made from.
struct pool_placement
{
    placement::placement_state state;
    log_offset tables;
    std::uint64_t list_version = 0;
};

/// \brief What an entry knows of crashes.
struct crash_state
{
    quarantine::evidence evidence;
    process::crash_news_targets targets;
    std::optional<mono_time> changed_at;
    mono_time announced_at{};
    std::optional<loop::timer> review_timer;
};

/// \brief All that an entry holds; its duties are spread over the sources
/// entry.cpp, attempts.cpp, relay.cpp and crashes.cpp.
struct entry::state
{
    explicit state(process::context& shared);

    process::context* shared;
    metrics counts;
    link::node links;
    http::server front;
    platform::http_client platform_http;
    platform::list_client list;
    platform::log_client log;
    process::table_reader tables;
    intake_options intake;
    completion_reader reader;
    std::map<upstream_id, upstream_place> upstreams;
    slot_map<call, struct call_tag> calls;
    std::unordered_map<std::uint64_t, call_id> by_stream;
    std::unordered_map<std::uint64_t, call_id> by_caller;
    std::unordered_map<std::uint64_t, call_id> by_probe;
    std::map<pool_id, pool_placement> placements;
    std::uint64_t list_version = 1;
    std::map<upstream_id, retries::circuit> circuits;
    retries::retry_budget budget;
    retries::retry_options retry_options;
    retries::circuit_options circuit_options;
    crash_state crashes;
    bool is_draining = false;
    bool refuses_new = false;
    std::optional<loop::timer> notice_timer;

    // entry.cpp
    void connect_signals();
    void on_request(http::caller_id caller, http::request const& asked);
    void on_no_room(http::caller_id caller);
    void accept(http::caller_id caller, http::request const& asked);
    void on_caller_closed(http::caller_id caller);
    void on_list(platform::instance_list const& list);
    [[nodiscard]] admin::readiness readiness() const;
    void drop(call_id id);

    // placing.cpp
    void try_next(call_id id);
    void send_pinned(call_id id);
    [[nodiscard]] placement::placement_state& placement_of(call const& from);
    [[nodiscard]] placement::placement_request request_of(call const& from);
    void start_probes(call_id id, placement::probe_plan const& plan);
    call_id take_probe_call(link::stream_id stream);
    void on_probe_reply(link::stream_id stream, link::frame const& frame);
    void on_probe_closed(link::stream_id stream);
    void end_probes(call& of);
    void decide(call_id id);
    [[nodiscard]] std::vector<upstream_id> excluded_for(call const& from) const;
    void note_failure(upstream_id const& upstream);
    void note_success(upstream_id const& upstream);

    // crashes.cpp
    void start_reviews();
    void review_crashes();
    void send_evidence(quarantine::notice const& evidence);
    void send_culprits();
    void record_answer(call const& of);
    void record_output(call& of);
    void record_whole_answer(call const& of);
    [[nodiscard]] bool refuse_quarantined(call_id id);
    void withdraw_quarantined();
    void note_culprit(digest const& fingerprint, std::string const& source);
    void on_crash_news(process::crash_news const& news);

    // attempts.cpp
    void send(call_id id, upstream_place const& place);
    [[nodiscard]] bool take_newer_tables(call& of);
    void on_attempt_failed(call_id id, link::failure const& failed);
    void note_outcome(call const& of, link::failure const& failed);
    void retry(call_id id, link::failure const& failed);
    void on_deadline(call_id id);
    void end_attempt(call& of);
    void on_stream_closed(link::stream_id stream, link::stream_end const& end);

    // resume.cpp
    [[nodiscard]] bool resume_later(call_id id, link::stream_end const& end);
    void resume(call_id id);
    void begin_relay(call& of);
    void rewind_relay(call& of);

    // relay.cpp
    void on_frame(link::stream_id stream, link::frame const& frame);
    void on_head(call_id id, link::frame const& frame);
    void on_piece(call_id id, link::frame const& frame);
    void relay_piece(call& of, link::piece const& piece);
    void on_last(call_id id, link::frame const& frame);
    void on_failure(call_id id, link::frame const& frame);
    void on_caller_drained(http::caller_id caller);
    void start_answer(call& of);
    void answer_whole(call_id id, link::last const& last);
    void answer_problem(call_id id);
    void fail_malformed(call_id id, reason why);
    void saw_tables(call const& of, log_offset version);
    void give_back(call& of);
};

/// \brief An id as a key of a hash map.
template <class Tag>
[[nodiscard]] std::uint64_t key_of(slot_id<Tag> const& id) noexcept
{
    return (static_cast<std::uint64_t>(id.generation) << 32U) | id.slot;
}

} // namespace jujubestand::entry

#endif
