#ifndef JUJUBESTAND_DISPATCH_QUEUE_FLOW_HPP
#define JUJUBESTAND_DISPATCH_QUEUE_FLOW_HPP

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <jujubestand/core/enum_table.hpp>
#include <jujubestand/core/time.hpp>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \brief Measured flow of this gateway's calls to a pool, which the order of
/// the waiting calls and the refusals are based on.
namespace jujubestand::dispatch
{

/// \brief How the calls that wait for a pool are ordered and refused.
enum class queue_discipline : std::uint8_t
{
    by_target,    ///< by priority, then by arrival plus target latency
    useful_first, ///< calls that can be in time first, fair between teams
};

inline constexpr std::array<enum_name<queue_discipline>, 2>
    queue_discipline_names{{
        {queue_discipline::by_target, "by_target"},
        {queue_discipline::useful_first, "useful_first"},
    }};

/// \brief A waiting call, as far as its place in the queue is concerned.
struct queue_entry
{
    std::uint64_t key = 0;
    std::string_view team;
    /// 0 is the most urgent.
    std::uint8_t priority = 5;
    std::chrono::milliseconds target_latency{1'000};
    /// Arrival plus target latency.
    mono_time due_at{};
    mono_time deadline{};
    /// Prompt tokens plus the limit of output tokens; 1 for a plain call.
    double tokens = 1;
    /// Its response has started or it may have run: its caller could not send
    /// it again, so that it is not refused for what is only estimated.
    bool is_committed = false;
};

/// \brief Tokens that a team used at a time; decays.
struct used_tokens
{
    double tokens = 0;
    mono_time counted_at{};
};

/// \brief Flow of the calls of one priority to a pool.
struct priority_flow
{
    /// Since when calls of this priority wait without interruption, and whether
    /// one has been accepted since.
    std::optional<mono_time> waiting_since;
    bool has_accepted = false;
    /// Tokens that the pool accepted while calls of this priority waited, and
    /// the time for which they waited, both after the first was accepted: the
    /// time until then depends on what was accepted before. Both decay alike.
    double accepted_tokens = 0;
    double waiting_ms = 0;
    /// Tokens that less urgent calls may have before the next call of this
    /// priority; negative after they have had more than their share.
    double owed_tokens = 0;
    /// Tokens of refused calls whose callers are expected to return.
    double returning_tokens = 0;
    std::map<std::string, used_tokens, std::less<>> teams;
    /// Mean time from sending a call to its first output, the mean deviation
    /// from it, and when it was last measured.
    double service_ms = 0;
    double service_deviation_ms = 0;
    mono_time served_at{};
};

/// \brief Flow of this gateway's calls to one pool.
struct pool_flow
{
    std::map<std::uint8_t, priority_flow> priorities;
    mono_time counted_at{};
    /// Since when calls wait without interruption.
    std::optional<mono_time> waiting_since;
    /// Since when a call that less urgent calls are owed finds no room.
    std::optional<mono_time> blocked_since;
    /// Available upstreams, which `accepted_tokens` is scaled to.
    std::size_t upstreams = 0;
};

/// \brief Updates the flow before a decision.
/// \param waiting the calls that wait, without a new one
/// \param upstreams number of the pool's available upstreams
void begin_turn(pool_flow& flow, std::vector<queue_entry> const& waiting,
                std::size_t upstreams, mono_time now);

/// \brief Records that the pool accepted a call.
/// \param waiting the calls that waited until then, with that one if it did
void record_accepted(pool_flow& flow, queue_entry const& accepted,
                     std::vector<queue_entry> const& waiting, mono_time now);

/// \brief Records that a call was refused whose caller is expected to return.
void record_returning(pool_flow& flow, queue_entry const& refused);

/// \brief Records the time from sending a call to its first output.
/// \param is_lower_bound the call ended without output
void record_service_time(pool_flow& flow, std::uint8_t priority,
                         microseconds took, bool is_lower_bound, mono_time now);

/// \brief Whether room is kept free for a call that less urgent calls are owed
/// and that no upstream has room for.
/// \param is_blocked whether there is such a call
[[nodiscard]] bool keeps_room(pool_flow& flow, bool is_blocked, mono_time now);

/// \brief Tokens per millisecond that the pool accepts of a priority; empty
/// until its calls have waited for long enough.
/// \param next_tokens tokens of the next call
[[nodiscard]] std::optional<double> accepted_rate(priority_flow const& flow,
                                                  double next_tokens);

/// \brief A duration in milliseconds, with its fraction.
[[nodiscard]] inline double to_ms(microseconds duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/// \brief Time from sending a call to its first output, with a margin for its
/// spread; empty if it was not measured recently.
[[nodiscard]] std::optional<double>
measured_service_ms(priority_flow const& flow, mono_time now);

/// \brief Recently used tokens of a team.
[[nodiscard]] double team_use(priority_flow const& flow, std::string_view team,
                              mono_time now);

/// \brief Tokens that an accepted call earns for those that are less urgent.
[[nodiscard]] double owed_for(double accepted_tokens);

} // namespace jujubestand::dispatch

#endif
