#include <algorithm>
#include <jujubestand/platform/backoff.hpp>

namespace jujubestand::platform
{

namespace
{

// 2^20 times any first wait is beyond every limit, and cannot overflow.
constexpr std::uint32_t doublings_limit = 20;

} // namespace

std::uint64_t next_random(std::uint64_t& seed) noexcept
{
    seed += 0x9e3779b97f4a7c15ULL;
    std::uint64_t mixed = seed;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31U);
}

std::chrono::milliseconds next_delay(backoff& state,
                                     backoff_options const& options) noexcept
{
    std::uint32_t const doublings = std::min(state.failures, doublings_limit);
    ++state.failures;
    auto const doubled = options.first * (std::int64_t{1} << doublings);
    auto const bound = std::max(std::min(doubled, options.limit),
                                std::chrono::milliseconds(1));
    auto const span = static_cast<std::uint64_t>(bound.count()) + 1;
    auto const drawn = next_random(state.seed) % span;
    return std::chrono::milliseconds(static_cast<std::int64_t>(drawn));
}

void reset(backoff& state) noexcept
{
    state.failures = 0;
}

} // namespace jujubestand::platform
