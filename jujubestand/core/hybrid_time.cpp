#include <jujubestand/core/hybrid_time.hpp>

#include <algorithm>

namespace jujubestand
{

hybrid_time tick(hybrid_time& clock, wall_time now) noexcept
{
    return merge(clock, hybrid_time{}, now);
}

hybrid_time merge(hybrid_time& clock, hybrid_time remote,
                  wall_time now) noexcept
{
    hybrid_time const latest = std::max(clock, remote);
    std::int64_t const wall_ms = now.time_since_epoch().count();
    if (wall_ms > latest.wall_ms)
        clock = hybrid_time{wall_ms, 0};
    else
        clock = hybrid_time{latest.wall_ms, latest.counter + 1};
    return clock;
}

} // namespace jujubestand
