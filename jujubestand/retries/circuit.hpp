#ifndef JUJUBESTAND_RETRIES_CIRCUIT_HPP
#define JUJUBESTAND_RETRIES_CIRCUIT_HPP

#include <array>
#include <chrono>
#include <cstdint>
#include <jujubestand/core/enum_table.hpp>
#include <jujubestand/core/time.hpp>

namespace jujubestand::retries
{

/// \brief When an upstream is left alone, and for how long.
struct circuit_options
{
    std::uint32_t failures_to_open = 3;
    std::chrono::milliseconds open_base{250};
    std::chrono::milliseconds open_limit{5'000};
    /// A trial request that has not ended by then counts as failed.
    std::chrono::milliseconds trial_limit{10'000};
};

/// \brief Whether requests may pass.
enum class circuit_mode : std::uint8_t
{
    closed,
    open,
    half_open,
};

/// \brief Names of the modes.
inline constexpr std::array<enum_name<circuit_mode>, 3> circuit_mode_names{{
    {circuit_mode::closed, "closed"},
    {circuit_mode::open, "open"},
    {circuit_mode::half_open, "half_open"},
}};

/// \brief Circuit breaker of one upstream at one entry.
struct circuit
{
    circuit_mode mode = circuit_mode::closed;
    std::uint32_t failures = 0;
    /// Times opened since the last success.
    std::uint32_t openings = 0;
    mono_time until;
};

/// \brief Whether a request could pass now; changes nothing.
[[nodiscard]] bool is_open(circuit const& state, mono_time now) noexcept;

/// \brief A request is about to be sent; after a pause it is the one trial.
/// \returns false if it must not be
[[nodiscard]] bool try_pass(circuit& state, circuit_options const& options,
                            mono_time now) noexcept;

/// \brief A request reached the upstream and was answered or refused.
/// \returns whether this closed the circuit
bool take_success(circuit& state) noexcept;

/// \brief A request failed for a fault of the upstream or its link.
/// \param draw random bits of the caller's, for the jitter
/// \returns whether this opened the circuit
bool take_failure(circuit& state, circuit_options const& options, mono_time now,
                  std::uint64_t draw) noexcept;

} // namespace jujubestand::retries

#endif
