#ifndef JUJUBESTAND_PLATFORM_BACKOFF_HPP
#define JUJUBESTAND_PLATFORM_BACKOFF_HPP

#include <chrono>
#include <cstdint>

namespace jujubestand::platform
{

/// \brief Bounds of an exponential back-off.
struct backoff_options
{
    std::chrono::milliseconds first{100};
    std::chrono::milliseconds limit{5'000};
};

/// \brief Failures in a row, and the state of the jitter's random numbers.
struct backoff
{
    std::uint32_t failures = 0;
    std::uint64_t seed = 0;
};

/// \brief Counts one failure. \returns the wait before the next attempt, drawn
/// evenly from zero to the doubled bound ("full jitter")
[[nodiscard]] std::chrono::milliseconds
next_delay(backoff& state, backoff_options const& options) noexcept;

/// \brief Forgets the failures after a success.
void reset(backoff& state) noexcept;

/// \brief The next number of a splitmix64 sequence.
[[nodiscard]] std::uint64_t next_random(std::uint64_t& seed) noexcept;

} // namespace jujubestand::platform

#endif
