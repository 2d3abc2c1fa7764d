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
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace jujubestand::admission
{

/// \brief Classes of urgency; 0 goes first.
inline constexpr std::size_t priority_classes = 4;

/// \brief Limits of one upstream's queue.
struct queue_options
{
    std::size_t waiting_limit = 1'024;
    std::uint64_t waiting_tokens_limit = 4'000'000;
    /// Tokens one team may have waiting, where its route sets no limit.
    std::uint64_t team_tokens_limit = 2'000'000;
    /// Tokens each team may send per round.
    std::uint32_t quantum_tokens = 2'048;
    /// Prompts' tokens handed to the engine before their first token came:
    /// enough to keep its batch full; the rest waits here, where it is
    /// shared fairly and can still be dropped.
    std::uint64_t ahead_tokens = 8'192;
    /// An engine that computes more than that within this time is handed as
    /// much as it computes in it.
    std::chrono::milliseconds ahead_time{100};
    /// Requests at the engine at once, until it tells its slots.
    std::uint32_t slots = 16;
    double prefill_us_per_token = 100.0;
    /// An engine that shows no sign of work for longer counts as standing
    /// still, and all of its silence as wait.
    std::chrono::milliseconds stall_after{300};
    /// Advice to come back is never shorter or longer than these.
    std::chrono::milliseconds retry_after_min{50};
    std::chrono::milliseconds retry_after_max{10'000};
};

/// \brief One request that wants the upstream.
struct queue_item
{
    request_id request;
    team_id team;
    std::uint8_t priority = 1;
    /// Tokens to compute: the prompt's less those believed to be cached; at
    /// least 1 is counted.
    std::uint32_t tokens = 1;
    std::uint32_t team_tokens_limit = 0;
    mono_time deadline = mono_time::max();
    mono_time first_token_deadline = mono_time::max();
};

/// \brief What became of an offered request.
struct offer_result
{
    bool is_accepted = false;
    /// Set on refusal; the request is not in the queue then.
    reason why;
    microseconds retry_after{0};
    /// Less urgent requests that were dropped for it: none of them runs.
    std::vector<request_id> displaced;
};

/// \brief A request that left the queue without having run.
struct dropped_item
{
    request_id request;
    reason why;
    microseconds retry_after{0};
};

/// \brief What the shell has to do next.
struct dispatch
{
    std::vector<request_id> started;
    std::vector<dropped_item> dropped;
};

/// \brief Requests of one team in one class.
struct team_queue
{
    std::deque<queue_item> items;
    std::uint64_t deficit_tokens = 0;
};

/// \brief One class: its teams, taken in turns.
struct class_queue
{
    std::map<team_id, team_queue> teams;
    std::deque<team_id> turns;
    /// The team at the front has had its quantum of this turn.
    bool is_turn_begun = false;
    std::size_t items = 0;
    std::uint64_t tokens = 0;
};

/// \brief From when on a waiting request can only be dropped.
struct expiry
{
    mono_time at;
    request_id request;

    auto operator<=>(expiry const&) const = default;
};

/// \brief A request in the queue.
struct waiting_item
{
    queue_item item;
    expiry last;
};

/// \brief A request at the engine.
struct running_item
{
    std::uint32_t tokens = 0;
    bool has_first_token = false;
    mono_time started;
    /// Tokens that the engine had to compute before its first token.
    std::uint64_t ahead_tokens = 0;
};

/// \brief All that waits for or runs at one upstream.
struct queue_state
{
    explicit queue_state(queue_options const& limits = {});

    queue_options options;
    std::array<class_queue, priority_classes> classes;
    std::unordered_map<request_id, waiting_item> waiting;
    /// Waiting requests by the time from which starting them is no use.
    std::set<expiry> expiries;
    std::unordered_map<team_id, std::uint64_t> team_tokens;
    std::unordered_map<request_id, running_item> running;
    std::uint64_t waiting_tokens = 0;
    /// Tokens at the engine whose first token has not come yet.
    std::uint64_t ahead_tokens = 0;
    std::uint32_t slots = 0;
    double prefill_us_per_token = 0;
    bool has_learned_cost = false;
    /// Mean time from one end to the next while all slots were taken.
    double slot_turnover_us = 0;
    mono_time last_finish;
    /// The engine's last sign of work.
    mono_time last_progress;
};

/// \brief What the engine last told of itself.
struct engine_report
{
    std::uint32_t slots = 0;
    double prefill_us_per_token = 0;
};

/// \brief Takes the engine's own figures in; zeros leave the former ones.
void take_report(queue_state& state, engine_report const& report);

/// \brief Time until the engine would begin a request of this priority.
[[nodiscard]] microseconds expected_wait(queue_state const& state,
                                         std::uint8_t priority, mono_time now);

/// \brief Puts a request in, or says why not.
[[nodiscard]] offer_result offer(queue_state& state, queue_item const& item,
                                 mono_time now);

/// \brief Next requests for the engine, and those that are too late.
///
/// Call after each offer, first token and end, and at `next_expiry`.
[[nodiscard]] dispatch next(queue_state& state, mono_time now);

/// \brief When the first waiting request has to be dropped, if any waits.
[[nodiscard]] std::optional<mono_time> next_expiry(queue_state const& state);

/// \brief Takes a waiting request out. \returns whether it was waiting: then
/// it has not run and never will
[[nodiscard]] bool cancel(queue_state& state, request_id const& request);

/// \brief Takes everything waiting out, as when the upstream is lost.
[[nodiscard]] std::vector<request_id> cancel_all(queue_state& state);

/// \brief A running request's first token came.
void take_first_token(queue_state& state, request_id const& request,
                      mono_time now);

/// \brief The engine sent a piece of some answer.
void take_progress(queue_state& state, mono_time now);

/// \brief A running request ended, in whatever way.
void take_finish(queue_state& state, request_id const& request, mono_time now);

} // namespace jujubestand::admission

#endif
