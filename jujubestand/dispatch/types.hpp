#ifndef JUJUBESTAND_DISPATCH_TYPES_HPP
#define JUJUBESTAND_DISPATCH_TYPES_HPP

#include <array>
#include <chrono>
#include <cstdint>
#include <jujubestand/core/address.hpp>
#include <jujubestand/core/enum_table.hpp>
#include <jujubestand/core/reason.hpp>
#include <jujubestand/core/time.hpp>
#include <jujubestand/dispatch/process_words.hpp>
#include <jujubestand/dispatch/queue_flow.hpp>
#include <jujubestand/dispatch/speed_samples.hpp>
#include <jujubestand/limits/permit_holder.hpp>
#include <jujubestand/limits/recent_count.hpp>
#include <jujubestand/limits/upstream_limit.hpp>
#include <jujubestand/status/cache_view.hpp>
#include <jujubestand/status/engine_report.hpp>
#include <jujubestand/traffic/prompt.hpp>
#include <jujubestand/traffic/upstream.hpp>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jujubestand::dispatch
{

/// \brief Identifies one call while its gateway handles it.
using call_key = std::uint64_t;

/// \brief Identifies one upstream within this process, also while its record is
/// gone for a while; never reused for another one.
using upstream_key = std::uint32_t;

/// \brief What a send goes to. Unlike a key it lasts while the record of the
/// upstream is removed and comes back.
struct endpoint
{
    std::string upstream;
    address where;
};

/// \brief Limits and cost weights of the dispatch decisions.
struct options
{
    /// Prefill speed of an engine.
    double prefill_tokens_per_ms = 40;
    /// Limit of an engine's prefill backlog, as the time to prefill it.
    double prefill_backlog_limit_ms = 220;
    /// Limit of an engine's calls without output, from all gateways.
    double prefilling_calls_limit = 64;
    /// The least of it that a gateway has.
    double prefilling_calls_min = 4;
    /// Cost of each running call, since it slows all steps of the engine.
    double running_cost_ms = 0.7;
    /// Time to fetch a cached token from another engine.
    double fetch_ms_per_token = 0.002;
    /// Time to fetch a cached token from a part store.
    double store_fetch_ms_per_token = 0.01;
    /// Fewest shared tokens that are worth saving to a part store.
    double save_tokens_min = 1'000;
    /// Parts are saved only once the wanted weights are this old: newer ones
    /// may be replaced before another call needs the parts.
    std::chrono::milliseconds save_weights_age{2'000};
    /// Cost of one more copy of cached parts, for the memory it occupies.
    double copy_cost_ms = 30;
    /// Cost of prefilling a shared token on another engine than the prompt's
    /// home, which will have to prefill it as well.
    double repeated_prefill_cost_ms_per_token = 0.03;
    /// Cost of prefilling a shared token on weights that are about to be
    /// replaced: an engine has prefilled it before, and no later call uses it.
    double old_weights_prefill_cost_ms_per_token = 0.06;
    /// Parts that this gateway sent to an engine count as cached for this long
    /// without confirmation by the agent.
    std::chrono::milliseconds expected_parts_limit{1'200};
    /// Cost per recent failure of an upstream.
    double failure_cost_ms = 250;
    /// Share of an engine's memory that calls may fill.
    double memory_share = 0.96;
    /// Decode time per output token.
    double output_ms_per_token = 4.5;
    /// Cost of a call that would still run when its engine is due to load
    /// weights, as a share of its duration: the call either delays the load or
    /// has to move to another engine.
    double interruption_cost_share = 0.25;
    double interruption_cost_limit_ms = 400;
    /// A call that begins on older weights than wanted incurs
    /// `old_weights_cost_ms` after this time.
    std::chrono::milliseconds weights_grace{900};
    double old_weights_cost_ms = 400;
    /// No call begins on older weights than wanted after this time.
    std::chrono::milliseconds weights_lag{5'000};
    /// A call that was sent to an engine on older weights and has no output by
    /// this time is overdue.
    std::chrono::milliseconds weights_begin_limit{5'700};
    /// Shortest time in which a call can be served.
    std::chrono::milliseconds service_time_min{60};
    /// Time that a caller needs to retry before its own timeout.
    std::chrono::milliseconds return_margin{50};
    /// Calls wait for upstreams with limits, or that pause, for up to this
    /// share of the time that they have left; the rest is for serving them.
    double limited_wait_share = 0.5;
    /// Calls a second that an upstream gets from all gateways right after a
    /// pause that it asked for; they double each `resume_doubling`.
    double resume_calls_per_second = 30;
    std::chrono::milliseconds resume_doubling{500};
    /// From so long after its end a pause has no effect.
    std::chrono::milliseconds resume_time{3'000};
    /// Longest Retry-After of calls that are refused for limits.
    std::chrono::milliseconds limited_retry_limit{10'000};
    std::chrono::milliseconds avoid_base{250};
    std::chrono::milliseconds avoid_limit{2'000};
    std::chrono::milliseconds failure_half_life{2'500};
    /// An older report does not reflect the current load.
    std::chrono::milliseconds report_age_limit{1'500};
    /// An engine with open calls that has not been reported on and has sent no
    /// byte for so long stands still. Its callers leave after 2 s without
    /// output, of which they may have waited for an engine before.
    std::chrono::milliseconds silence_limit{600};
    /// An engine that has given no sign for so long, though reports come each
    /// 0.1 s, may stand still: it gets no further calls for the time being.
    std::chrono::milliseconds quiet_limit{300};
    std::size_t waiting_limit = 2'000;
    /// Set by `set_queue_discipline`.
    dispatch::queue_discipline queue_discipline =
        dispatch::queue_discipline::by_target;
};

/// \brief Latest report of an engine and the time that it describes.
struct engine_load
{
    status::engine_report report;
    mono_time reported_at{};
    /// The agent cannot reach the engine.
    bool is_down = false;
    /// The engine is about to load weights and would refuse new calls.
    bool is_preparing = false;
    /// When the engine is due to load weights, if known.
    std::optional<mono_time> load_due_at;
};

/// \brief One call to dispatch.
struct call
{
    call_key key = 0;
    std::string pool;
    std::string team;
    /// Empty if the pool's upstreams are not model engines.
    std::optional<traffic::prompt> model_prompt;
    /// Owner of the cached parts: an isolated team, or the teams that share.
    std::string cache_owner;
    /// 0 is the most urgent.
    std::uint8_t priority = 5;
    mono_time arrived_at{};
    mono_time deadline{};
    std::chrono::milliseconds target_latency{1'000};
    /// The call may run more than once.
    bool is_repeatable = false;
    /// Upstreams that the call was already sent to and may have run at.
    std::vector<upstream_key> tried;
    /// Where the call may have arrived, whatever became of it there. A refusal
    /// that comes from there again may be an earlier one, sent once more.
    std::vector<endpoint> reached;
    /// For a stream that has begun: the software version that it continues at.
    std::optional<std::string> software_version;
    /// The retry budget was charged for the next send.
    bool is_paid_retry = false;
};

/// \brief Next step of a call.
enum class action : std::uint8_t
{
    send,
    hold,
    refuse,
};

inline constexpr std::array<enum_name<action>, 3> action_names{{
    {action::send, "send"},
    {action::hold, "hold"},
    {action::refuse, "refuse"},
}};

/// \brief Dispatch decision for one call.
struct decision
{
    call_key call = 0;
    action next_action = action::hold;
    /// For `send`.
    upstream_key upstream = 0;
    /// For `send` to an engine: the weights that the call runs on.
    std::optional<std::uint64_t> weights;
    /// For `send` to an engine: an engine or a store that may hold parts of
    /// the prompt.
    std::optional<address> fetch_from;
    /// For `send` to an engine: a store to save the prefilled parts to.
    std::optional<address> save_to;
    /// Prompt tokens presumed cached at the upstream, for the log.
    double cached_tokens = 0;
    /// Expected time to the first output, for the log.
    double expected_ms = 0;
    /// For `refuse`.
    reason why;
    std::chrono::milliseconds retry_after{0};
};

/// \brief How one send of a call ended.
enum class send_outcome : std::uint8_t
{
    served,      ///< complete answer
    refused,     ///< the upstream did not run the call
    unproven,    ///< refusal that may be an earlier one of the call, sent again
    failed,      ///< answer that reports a failure
    unreachable, ///< nothing could be sent
    cut,         ///< incomplete answer
    cancelled,   ///< cancelled by this process
};

inline constexpr std::array<enum_name<send_outcome>, 7> send_outcome_names{{
    {send_outcome::served, "served"},
    {send_outcome::refused, "refused"},
    {send_outcome::unproven, "unproven"},
    {send_outcome::failed, "failed"},
    {send_outcome::unreachable, "unreachable"},
    {send_outcome::cut, "cut"},
    {send_outcome::cancelled, "cancelled"},
}};

/// \brief One send in flight.
struct open_send
{
    upstream_key upstream = 0;
    mono_time sent_at{};
    /// Prompt tokens that the engine prefills before its first output.
    double prefill_tokens = 0;
    /// Cache memory that the call occupies at the engine.
    double memory_tokens = 0;
    bool is_prefilling = true;
    /// For a send to an engine: the weights that the call runs on.
    std::string model;
    std::uint64_t weights = 0;
    /// The process that it was sent to, as its record had it.
    process_id process{};
    /// Of the call.
    std::uint8_t priority = 0;
    send_forecast forecast{};
    output_progress output{};
};

/// \brief State of one upstream as seen by this process.
struct upstream
{
    upstream_key key = 0;
    traffic::upstream_record record;
    /// Another upstream has taken over the address.
    bool is_replaced = false;
    std::uint64_t name_hash = 0;
    std::optional<engine_load> load;
    /// Cached parts of prompts, as reported by the agent.
    status::cache_copy cache;
    /// Parts that this process's own sends bring to the upstream, until the
    /// agent reports them; with the time of the send.
    std::unordered_map<status::part_hash, mono_time> expected_parts;
    /// Highest known weights version of each model.
    std::map<std::string, std::uint64_t> versions;
    /// Sends of this process in flight.
    std::uint32_t open_calls = 0;
    /// Time of the last byte of an answer while sends are in flight, or of the
    /// first of them.
    std::optional<mono_time> unanswered_since;
    /// Time of the last byte of any answer.
    mono_time answered_at{};
    /// Recent failures at `failures_at`; decays by `failure_half_life`.
    double failures = 0;
    mono_time failures_at{};
    /// Failures in a row, as `failures`, but those of calls that were sent
    /// before the last of them was known, and that end while the upstream is
    /// avoided, are the same failure.
    double failure_steps = 0;
    /// When the last of them was known.
    mono_time stepped_at{};
    mono_time avoid_until{};
    /// The upstream asked this process for no calls before this time.
    mono_time paused_until{};
    /// Calls a second that the upstream takes from all gateways together.
    std::optional<limits::upstream_limit> limit;
    /// Permits of this gateway while there is a limit.
    limits::permit_holder permits;
    /// Sends of this process.
    limits::recent_count sends;
    upstream_speeds speeds;
};

/// \brief What is kept of an upstream whose record is gone. Its process may go
/// on, and the record come back.
struct former_upstream
{
    upstream_key key = 0;
    std::uint64_t born_ms = 0;
    std::optional<limits::upstream_limit> limit;
    limits::permit_holder permits;
    limits::recent_count sends;
};

/// \brief A store of cached parts as seen by this process.
struct part_store
{
    address where;
    /// The events of the store can be read.
    bool is_alive = false;
    status::cache_copy cache;
};

/// \brief Weights version that the operator requested for one model.
struct wanted_version
{
    std::uint64_t version = 0;
    mono_time since{};
};

/// \brief State that the dispatch decisions are based on.
struct state
{
    options limits;
    std::map<upstream_key, upstream> upstreams;
    std::map<std::string, upstream_key, std::less<>> keys_by_id;
    /// By id; upstreams without a record.
    std::map<std::string, former_upstream, std::less<>> former;
    /// Upstreams by IP address, in order of their keys.
    std::unordered_map<std::string, std::vector<upstream_key>> keys_by_host;
    std::unordered_map<call_key, open_send> sends;
    words_table words;
    std::map<call_key, call> waiting;
    /// By pool; empty under `queue_discipline::by_target`.
    std::map<std::string, pool_flow> flows;
    /// Requested versions of each model, oldest first; at most one of them is
    /// older than `weights_lag`. Never empty.
    std::map<std::string, std::vector<wanted_version>> weights;
    std::vector<part_store> stores;
    upstream_key last_key = 0;
    /// When this process started, or last went on after it had stood still.
    mono_time running_since{};
    /// No call is sent before: limits may apply that are not known yet.
    mono_time held_until{};
    /// Time by which reports on engines that this gateway does not use come
    /// less often than those on the others.
    std::chrono::milliseconds idle_report_delay{0};
    /// Number of gateways that share the upstreams, including this one.
    std::uint32_t gateways = 1;
    /// Mean prompt size, used to estimate the work of other gateways.
    double mean_prefill_tokens = 2'000;
    /// By pool.
    std::map<std::string, pool_speeds, std::less<>> speeds;
    mono_time speeds_reviewed_at{};
    std::string data_center;
};

} // namespace jujubestand::dispatch

#endif
