#include <jujubestand/gateway/record_age.hpp>

#include <algorithm>

namespace jujubestand::gateway
{

// A record that is received late may have been written at any time since the
// copy was last confirmed; one of the first list, at any time at all.
mono_time written_since(std::optional<mono_time> confirmed_before,
                        mono_time now, microseconds age_limit)
{
    mono_time const oldest = now - std::max(age_limit, microseconds{0});
    return std::clamp(confirmed_before.value_or(oldest), oldest, now);
}

} // namespace jujubestand::gateway
