#include <jujubestand/limits/recent_count.hpp>

#include <algorithm>
#include <cmath>

namespace jujubestand::limits
{

double value_of(recent_count const& count, mono_time now)
{
    std::chrono::duration<double> const age =
        std::max(microseconds{0}, now - count.counted_at);
    return count.calls *
           std::exp(-age / std::chrono::duration<double>(recent_time));
}

void add_call(recent_count& count, mono_time now)
{
    count.calls = value_of(count, now) + 1;
    count.counted_at = now;
}

} // namespace jujubestand::limits
