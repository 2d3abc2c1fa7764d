#include <jujubestand/retries/circuit.hpp>

#include <algorithm>

namespace jujubestand::retries
{

namespace
{

constexpr std::uint32_t doublings_limit = 16;

/// Half of the pause is random, so that entries do not send their trial
/// requests at the same time.
microseconds pause(circuit_options const& options, std::uint32_t openings,
                   std::uint64_t random_bits) noexcept
{
    std::uint32_t const doublings = std::min(openings, doublings_limit);
    microseconds const bound = std::min<microseconds>(
        options.open_base * (std::int64_t{1} << doublings), options.open_limit);
    auto const half = static_cast<std::uint64_t>(bound.count()) / 2;
    return microseconds(
        static_cast<std::int64_t>(half + random_bits % (half + 1)));
}

} // namespace

bool is_open(circuit const& state, mono_time now) noexcept
{
    return state.mode != circuit_mode::closed && now < state.until;
}

bool try_admit(circuit& state, circuit_options const& options,
               mono_time now) noexcept
{
    if (state.mode == circuit_mode::closed)
        return true;
    if (now < state.until)
        return false;
    state.mode = circuit_mode::half_open;
    state.until = now + options.trial_limit;
    return true;
}

bool record_success(circuit& state) noexcept
{
    bool const was_closed = state.mode == circuit_mode::closed;
    state = circuit{};
    return !was_closed;
}

bool record_failure(circuit& state, circuit_options const& options,
                    mono_time now, std::uint64_t random_bits) noexcept
{
    ++state.failures;
    bool const is_trial = state.mode == circuit_mode::half_open;
    if (!is_trial && state.failures < options.failures_to_open)
        return false;
    if (state.mode == circuit_mode::open && now < state.until)
        return false;
    state.mode = circuit_mode::open;
    state.until = now + pause(options, state.openings, random_bits);
    ++state.openings;
    return true;
}

} // namespace jujubestand::retries
