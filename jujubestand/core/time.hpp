#ifndef JUJUBESTAND_CORE_TIME_HPP
#define JUJUBESTAND_CORE_TIME_HPP

#include <chrono>
#include <cstdint>
#include <ctime>

namespace jujubestand
{

/// \brief Resolution of every decision's time.
using microseconds = std::chrono::microseconds;

/// \brief A point on one process's monotonic clock.
///
/// Decisions take it as an argument and never read a clock themselves.
using mono_time = std::chrono::time_point<std::chrono::steady_clock,
                                          std::chrono::microseconds>;

/// \brief A point on the wall clock, as it travels between processes.
using wall_time = std::chrono::time_point<std::chrono::system_clock,
                                          std::chrono::milliseconds>;

/// \brief Reads the monotonic clock; for shells and programs only.
///
/// It goes on while the machine is suspended, so that an age measured with
/// it is never too small.
[[nodiscard]] inline mono_time mono_now() noexcept
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return mono_time{std::chrono::duration_cast<microseconds>(
        std::chrono::seconds{now.tv_sec} +
        std::chrono::nanoseconds{now.tv_nsec})};
}

/// \brief Time of day for decisions; for shells and programs only. It follows
/// the machine's wall clock slowly, so that a step of that clock changes no age
/// (docs/design/clocks.md).
[[nodiscard]] wall_time wall_now() noexcept;

/// \brief Reads the machine's wall clock, for lines that people compare with
/// those of other machines.
[[nodiscard]] wall_time machine_wall_now() noexcept;

/// \brief A number of microseconds, less its fraction.
[[nodiscard]] constexpr microseconds scaled(double microseconds_count) noexcept
{
    return microseconds(static_cast<std::int64_t>(microseconds_count));
}

/// \brief A moment as it travels: microseconds of the process's own clock.
[[nodiscard]] constexpr std::int64_t to_us(mono_time at) noexcept
{
    return at.time_since_epoch().count();
}

} // namespace jujubestand

#endif
