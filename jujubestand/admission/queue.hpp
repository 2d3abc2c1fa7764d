#ifndef JUJUBESTAND_ADMISSION_QUEUE_HPP
#define JUJUBESTAND_ADMISSION_QUEUE_HPP

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <jujubestand/core/ids.hpp>
#include <jujubestand/core/reason.hpp>
#include <jujubestand/core/time.hpp>
#include <jujubestand/limits/recent_count.hpp>
#include <jujubestand/limits/token_bucket.hpp>
#include <jujubestand/limits/upstream_limit.hpp>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace jujubestand::admission
{

/// \brief Number of priority classes; class 0 is the most urgent.
inline constexpr std::size_t priority_classes = 4;

/// \brief Limits and settings of one upstream's queue.
struct queue_options
{
    std::size_t waiting_limit = 1'024;
    std::uint64_t waiting_tokens_limit = 4'000'000;
    /// Waiting tokens per team, for requests without a `team_tokens_limit` of
    /// their own.
    std::uint64_t team_tokens_limit = 2'000'000;
    /// Tokens added to a team's deficit per round (deficit round robin).
    std::uint32_t quantum_tokens = 2'048;
    /// Prompt tokens at the engine whose requests have no first token yet.
    /// Enough to keep the engine's batch full; other requests wait in this
    /// queue, where they are scheduled fairly and can still be dropped.
    std::uint64_t ahead_tokens = 8'192;
    /// For an engine that prefills more than `ahead_tokens` within this time,
    /// the limit is the number of tokens that it prefills in this time.
    std::chrono::milliseconds ahead_time{100};
    /// Concurrent requests at the engine until it reports its slots.
    std::uint32_t slots = 16;
    double prefill_us_per_token = 100.0;
    /// A busy engine without output for longer than this counts as stalled;
    /// the whole time since its last output is added to the expected wait.
    std::chrono::milliseconds stall_timeout{300};
    /// Bounds of the retry delay advised to a refused caller.
    std::chrono::milliseconds retry_after_min{50};
    std::chrono::milliseconds retry_after_max{10'000};
};

/// \brief A request for the upstream, as offered to the queue.
struct queue_item
{
    request_id request;
    team_id team;
    std::uint8_t priority = 1;
    /// Tokens to prefill: prompt tokens minus the tokens expected in the
    /// cache. 0 is counted as 1.
    std::uint32_t tokens = 1;
    /// Limit on the team's waiting tokens; 0 selects that of the queue.
    std::uint32_t team_tokens_limit = 0;
    mono_time deadline = mono_time::max();
    mono_time first_token_deadline = mono_time::max();
};

/// \brief Result of offering a request to the queue.
struct offer_result
{
    bool is_accepted = false;
    /// Set if the request was refused, that is, not queued.
    reason why;
    microseconds retry_after{0};
    /// Less urgent waiting requests that were dropped to make room. None of
    /// them has been started.
    std::vector<request_id> displaced;
};

/// \brief A request dropped from the queue before it was started.
struct dropped_item
{
    request_id request;
    reason why;
    microseconds retry_after{0};
};

/// \brief Requests that the caller has to start, and those to be refused.
struct schedule_result
{
    std::vector<request_id> started;
    std::vector<dropped_item> dropped;
};

/// \brief Waiting requests of one team in one priority class.
struct team_queue
{
    std::deque<queue_item> items;
    std::uint64_t deficit_tokens = 0;
};

/// \brief One priority class, scheduled by deficit round robin over its teams.
struct class_queue
{
    std::map<team_id, team_queue> teams;
    std::deque<team_id> rotation;
    /// Whether the team at the front has received its quantum for this turn.
    bool is_quantum_added = false;
    std::size_t items = 0;
    std::uint64_t tokens = 0;
};

/// \brief Time from which a waiting request can no longer meet its deadlines.
struct expiry
{
    mono_time at;
    request_id request;

    auto operator<=>(expiry const&) const = default;
};

/// \brief A waiting request and its entry in `queue_state::expiries`.
struct waiting_item
{
    queue_item item;
    expiry expiry_key;
};

/// \brief A request that was started at the engine.
struct running_item
{
    std::uint32_t tokens = 0;
    bool has_first_token = false;
    mono_time started;
    /// Tokens that the engine had to prefill before this request's first
    /// token: its own and those ahead of it when it was started.
    std::uint64_t prefill_backlog_tokens = 0;
};

/// \brief Waiting and running requests of one upstream.
struct queue_state
{
    explicit queue_state(queue_options const& limits = {});

    queue_options options;
    std::array<class_queue, priority_classes> classes;
    std::unordered_map<request_id, waiting_item> waiting;
    /// Waiting requests, ordered by expiry.
    std::set<expiry> expiries;
    std::unordered_map<team_id, std::uint64_t> team_tokens;
    std::unordered_map<request_id, running_item> running;
    std::uint64_t waiting_tokens = 0;
    /// Prompt tokens of running requests that have no first token yet.
    std::uint64_t prefilling_tokens = 0;
    std::uint32_t slots = 0;
    double prefill_us_per_token = 0;
    /// Whether `prefill_us_per_token` comes from observed first tokens; the
    /// engine's reported cost is ignored from then on.
    bool has_observed_cost = false;
    /// Moving average of the time between two finished requests while all
    /// slots were occupied.
    double slot_turnover_us = 0;
    mono_time last_finish;
    /// Time of the engine's last output, or of the first start after it was
    /// idle.
    mono_time last_progress;
    /// Requests a second that the engine states it takes, and the tokens to
    /// start them.
    std::optional<limits::upstream_limit> limit;
    limits::token_bucket start_tokens;
    limits::recent_count recent_starts;
};

/// \brief Figures last reported by the engine.
struct engine_report
{
    std::uint32_t slots = 0;
    double prefill_us_per_token = 0;
};

/// \brief Applies the figures reported by the engine; a zero leaves the
/// current value unchanged.
void apply_report(queue_state& state, engine_report const& report);

/// \brief Expected time until the engine begins the prefill of a new request
/// of this priority.
[[nodiscard]] microseconds expected_wait(queue_state const& state,
                                         std::uint8_t priority, mono_time now);

/// \brief Queues a request, or refuses it with a reason and a retry delay.
[[nodiscard]] offer_result offer(queue_state& state, queue_item const& item,
                                 mono_time now);

/// \brief Starts as many waiting requests as the engine has room for and drops
/// the expired ones.
///
/// Call after each offer, first token and finished request, and at
/// `next_schedule`.
[[nodiscard]] schedule_result schedule(queue_state& state, mono_time now);

/// \brief Expiry of the waiting request that expires first, if any.
[[nodiscard]] std::optional<mono_time> next_expiry(queue_state const& state);

/// \brief When `schedule` has to be called next even if nothing happens: at
/// the next expiry, or once the engine's limit lets a request start.
[[nodiscard]] std::optional<mono_time> next_schedule(queue_state const& state,
                                                     mono_time now);

/// \brief Removes a waiting request.
/// \returns whether it was waiting; if so, it has not been started and will
/// not be
[[nodiscard]] bool cancel(queue_state& state, request_id const& request);

/// \brief Removes all waiting requests, for example when the upstream is lost.
/// \returns the removed requests
[[nodiscard]] std::vector<request_id> cancel_all(queue_state& state);

/// \brief Records the first token of a running request.
void record_first_token(queue_state& state, request_id const& request,
                        mono_time now);

/// \brief Records that the engine sent output for any of its requests.
void record_progress(queue_state& state, mono_time now);

/// \brief Records the end of a running request, successful or not.
void record_finish(queue_state& state, request_id const& request,
                   mono_time now);

} // namespace jujubestand::admission

#endif
