#include <jujubestand/retries/reserve_share.hpp>

#include <cmath>

namespace jujubestand::retries
{

namespace
{

/// Turns that one window may touch, since it may begin at any time. A turn
/// that is longer than the window by the clock tolerance leaves a whole window
/// between the last retry of one turn, by a clock that is behind, and the first
/// one of the turn after the next, by a clock that is ahead.
constexpr double turns_in_window = 2;

} // namespace

// A share under one can't be rounded up, since the sum over all processes would
// exceed the reserve, nor be saved up, since all could spend it at once.
reserve_share share_of(shared_reserve const& reserve, wall_time now)
{
    if (reserve.processes == 0)
        return {};
    double const even = reserve.retries / reserve.processes;
    if (even >= 1)
        return {even, 0};
    auto const holders = static_cast<std::uint64_t>(
        std::floor(reserve.retries / turns_in_window));
    if (holders == 0 || reserve.window <= std::chrono::milliseconds{0})
        return {};
    auto const turn_time = reserve.window + reserve.clock_tolerance;
    auto const turn =
        1 + static_cast<std::uint64_t>(now.time_since_epoch() / turn_time);
    bool const holds =
        (reserve.position + turn * holders) % reserve.processes < holders;
    return holds ? reserve_share{1, turn} : reserve_share{};
}

} // namespace jujubestand::retries
