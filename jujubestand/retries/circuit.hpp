#ifndef JUJUBESTAND_RETRIES_CIRCUIT_HPP
#define JUJUBESTAND_RETRIES_CIRCUIT_HPP

#include <array>
#include <chrono>
#include <cstdint>
#include <jujubestand/core/enum_table.hpp>
#include <jujubestand/core/time.hpp>

namespace jujubestand::retries
{

/// \brief When a circuit opens, and for how long.
struct circuit_options
{
    std::uint32_t failures_to_open = 3;
    std::chrono::milliseconds open_base{250};
    std::chrono::milliseconds open_limit{5'000};
    /// A trial request in half-open state counts as failed after this time.
    std::chrono::milliseconds trial_limit{10'000};
};

/// \brief State of a circuit breaker.
enum class circuit_mode : std::uint8_t
{
    closed,
    open,
    half_open,
};

inline constexpr std::array<enum_name<circuit_mode>, 3> circuit_mode_names{{
    {circuit_mode::closed, "closed"},
    {circuit_mode::open, "open"},
    {circuit_mode::half_open, "half_open"},
}};

/// \brief Circuit breaker of one upstream at one gateway.
struct circuit
{
    circuit_mode mode = circuit_mode::closed;
    std::uint32_t failures = 0;
    /// Number of times opened since the last success.
    std::uint32_t openings = 0;
    mono_time until;
};

/// \brief Whether a request could pass now; changes nothing.
[[nodiscard]] bool is_open(circuit const& state, mono_time now) noexcept;

/// \brief Admits a request before it is sent; after an open period, admits one
/// trial request and half-opens the circuit.
/// \returns false if the request must not be sent
[[nodiscard]] bool try_admit(circuit& state, circuit_options const& options,
                             mono_time now) noexcept;

/// \brief Records that the upstream answered or refused a request.
/// \returns whether this closed the circuit
bool record_success(circuit& state) noexcept;

/// \brief Records that a request failed through a fault of the upstream or its
/// link.
/// \param random_bits source of the jitter
/// \returns whether this opened the circuit
bool record_failure(circuit& state, circuit_options const& options,
                    mono_time now, std::uint64_t random_bits) noexcept;

} // namespace jujubestand::retries

#endif
