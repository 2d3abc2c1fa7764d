#ifndef JUJUBESTAND_CORE_WALL_CLOCK_HPP
#define JUJUBESTAND_CORE_WALL_CLOCK_HPP

#include <chrono>
#include <cstdint>
#include <jujubestand/core/time.hpp>
#include <map>
#include <string>

namespace jujubestand
{

/// \brief The wall clock as one process reads it: it follows the machine's wall
/// clock at a limited rate, so that a step of that clock changes no age.
struct stepless_clock
{
    bool is_started = false;
    /// Time of day at the origin of the monotonic clock.
    microseconds offset{0};
    mono_time adjusted_at{};
};

/// \brief Largest step of a machine's wall clock, and largest difference
/// between two of them, that decisions of several processes stand.
inline constexpr std::chrono::milliseconds clock_tolerance{5'000};

/// \brief Time of day for decisions. Never goes back unless the machine's clock
/// was set by more than a minute.
/// \param machine_time microseconds since 1970 by the machine's wall clock
[[nodiscard]] wall_time advance(stepless_clock& clock,
                                microseconds machine_time, mono_time now);

/// \brief What one process has measured of another one's wall clock.
struct peer_clock
{
    /// Own time at the arrival of a message less the sender's time at sending:
    /// the smallest one lately, since a message may have been held up.
    std::chrono::milliseconds difference{0};
    mono_time measured_at{};
};

/// \brief By host.
using peer_clocks = std::map<std::string, peer_clock>;

/// \brief How much this process's clock is ahead of that of the sender of a
/// message. 0 if both agree as far as a message can tell.
/// \param sent_at_ms by the sender's clock; 0: not stated
[[nodiscard]] std::chrono::milliseconds
clock_difference(peer_clocks& clocks, std::string const& host,
                 std::int64_t sent_at_ms, wall_time wall_now, mono_time now);

} // namespace jujubestand

#endif
