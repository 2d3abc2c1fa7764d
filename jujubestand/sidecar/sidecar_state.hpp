#ifndef JUJUBESTAND_SIDECAR_SIDECAR_STATE_HPP
#define JUJUBESTAND_SIDECAR_SIDECAR_STATE_HPP

#include <algorithm>
#include <jujubestand/admin/endpoints.hpp>
#include <jujubestand/admission/queue.hpp>
#include <jujubestand/core/failure_point.hpp>
#include <jujubestand/http/client.hpp>
#include <jujubestand/http/server.hpp>
#include <jujubestand/platform/http_client.hpp>
#include <jujubestand/platform/list_client.hpp>
#include <jujubestand/platform/log_client.hpp>
#include <jujubestand/prefix/belief.hpp>
#include <jujubestand/process/crash_news.hpp>
#include <jujubestand/process/table_reader.hpp>
#include <jujubestand/quarantine/evidence.hpp>
#include <jujubestand/sidecar/answer_sender.hpp>
#include <jujubestand/sidecar/call.hpp>
#include <jujubestand/sidecar/claim_desk.hpp>
#include <jujubestand/sidecar/engine_view.hpp>
#include <jujubestand/sidecar/engine_watch.hpp>
#include <jujubestand/sidecar/sidecar.hpp>
#include <unordered_map>

namespace jujubestand::sidecar
{

/// \brief All that a sidecar holds; its duties are spread over the sources
/// sidecar.cpp, intake.cpp, claimed_calls.cpp, answers.cpp and crashes.cpp.
struct sidecar::state
{
    explicit state(process::context& shared);

    process::context* shared;
    link::node links;
    answer_sender answers;
    http::server front;
    http::client upstream;
    platform::http_client platform_http;
    platform::log_client log;
    process::table_reader tables;
    claim_desk claims;
    platform::list_client list;
    slot_map<call, struct call_tag> calls;
    std::unordered_map<std::uint64_t, call_id> by_stream;
    std::unordered_map<std::uint64_t, call_id> by_exchange;
    std::unordered_map<request_id, call_id> by_request;
    admission::queue_state queue;
    prefix::belief belief;
    engine_view engine;
    std::optional<engine_watch> watch;
    /// The engine's load reports, and not its answers, named its limit.
    bool is_limit_of_reports = false;
    /// Strikes of a crash until the engine is known to be lost.
    quarantine::evidence crashes;
    process::crash_news_targets news_targets;
    /// Names the engine in strikes: when its first sign was seen.
    incarnation_id engine_seen;
    /// Set from the loss of an engine to the first sign of the next one.
    std::optional<mono_time> engine_lost_at = mono_time{};
    loop::timer expiry_timer;
    bool is_draining = false;

    // sidecar.cpp
    void connect_signals();
    void on_http(http::caller_id caller, http::request const& asked);
    [[nodiscard]] admin::readiness readiness() const;

    // intake.cpp
    void on_frame(link::stream_id stream, link::frame const& frame);
    void on_call(link::stream_id stream, link::frame const& frame);
    void on_body(link::stream_id stream, link::frame const& frame);
    void on_stream_closed(link::stream_id stream);
    void admit(call_id id);
    void enqueue(call_id id);
    [[nodiscard]] bool refuse_if_full(call_id id);
    void refuse(call_id id, failure_point point, reason why,
                std::uint64_t retry_after_us);
    void end_call(call_id id, event_number number, verdict outcome, reason why,
                  std::uint64_t retry_after_us);
    void pump();
    void refuse_dropped(admission::dropped_item const& dropped);
    void wait_for_expiry();
    [[nodiscard]] admission::queue_item item_of(call const& of) const;
    void run(call_id id);
    void cancel(call_id id);
    void drop(call_id id);

    // engine_side.cpp
    void watch_engine();
    void note_progress(call_id id);
    void note_limit(http::response_head const& head, bool is_report);
    void on_report(engine_report const& report);
    void on_cache_event(cache_event const& event);
    void on_probe(link::stream_id stream, link::frame const& frame);
    [[nodiscard]] link::probe_reply reply_to(link::probe const& asked) const;

    // claimed_calls.cpp
    void connect_claims();
    void follow_claims();
    void claim(call_id id);
    void on_claim_won(claim_number claim);
    void on_claim_answered(claim_number claim,
                           claims::answer_wanted const& told);
    void replay(call_id id, claims::call_outcome const& recorded);
    void settle_claim(call_id id, verdict outcome);
    [[nodiscard]] bool detach(call_id id);
    void keep_answer(call& of, std::string const& bytes);

    // crashes.cpp
    void record_cut(call const& of);
    void record_engine_lost();
    void record_engine_alive(bool is_report);

    // answers.cpp
    void on_head(http::exchange_id exchange, http::response_head const& head);
    void on_data(http::exchange_id exchange, std::string const& bytes);
    void on_ended(http::exchange_id exchange, http::exchange_end const& end);
    void take_step(call_id id, streams::answer_step step);
    void on_link_closed(link::stream_id stream, link::stream_end const& how);
    void on_resume(link::stream_id stream, link::frame const& frame);
    void on_room(request_id const& request);
    void on_abandoned(request_id const& request);
    [[nodiscard]] std::optional<call_id> running_call(request_id const& of);
    void on_deadline(call_id id);
    void finish_whole(call_id id);
    void fail(call_id id, failure_point point, std::string text);
    void fail_answer(call_id id, reason why);
    void tell_end(call_id id, link::frame ending);
};

/// \brief The prefix chain that a probe or a call carries.
template <class Message>
[[nodiscard]] prefix::chain chain_of(Message const& message)
{
    prefix::chain chain;
    std::size_t const count =
        std::min({message.chain_high.size(), message.chain_low.size(),
                  message.chain_tokens.size()});
    for (std::size_t place = 0; place < count; ++place)
        chain.levels.push_back(
            prefix::level{{message.chain_high[place], message.chain_low[place]},
                          message.chain_tokens[place]});
    if (count > 0)
        chain.prompt_tokens = chain.levels.back().tokens;
    return chain;
}

/// \brief An id as a key of a hash map.
template <class Tag>
[[nodiscard]] std::uint64_t key_of(slot_id<Tag> const& id) noexcept
{
    return (static_cast<std::uint64_t>(id.generation) << 32U) | id.slot;
}

/// \brief The id that `key_of` made a key of.
template <class Id>
[[nodiscard]] Id id_of(std::uint64_t key) noexcept
{
    return Id{static_cast<std::uint32_t>(key),
              static_cast<std::uint32_t>(key >> 32U)};
}

} // namespace jujubestand::sidecar

#endif
