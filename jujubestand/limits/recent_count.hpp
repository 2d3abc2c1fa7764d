#ifndef JUJUBESTAND_LIMITS_RECENT_COUNT_HPP
#define JUJUBESTAND_LIMITS_RECENT_COUNT_HPP

#include <jujubestand/core/time.hpp>

namespace jujubestand::limits
{

/// \brief Time in which recent calls are counted.
inline constexpr std::chrono::milliseconds recent_time{4'000};

/// \brief Number of calls within about `recent_time`; decays exponentially.
struct recent_count
{
    double calls = 0;
    mono_time counted_at{};
};

/// \brief The count at a time.
[[nodiscard]] double value_of(recent_count const& count, mono_time now);

/// \brief Counts one more call.
void add_call(recent_count& count, mono_time now);

} // namespace jujubestand::limits

#endif
