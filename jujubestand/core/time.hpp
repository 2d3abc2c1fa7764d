#ifndef JUJUBESTAND_CORE_TIME_HPP
#define JUJUBESTAND_CORE_TIME_HPP

#include <chrono>

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
[[nodiscard]] inline mono_time mono_now() noexcept
{
    return std::chrono::time_point_cast<microseconds>(
        std::chrono::steady_clock::now());
}

/// \brief Reads the wall clock; for shells and programs only.
[[nodiscard]] inline wall_time wall_now() noexcept
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
}

} // namespace jujubestand

#endif
