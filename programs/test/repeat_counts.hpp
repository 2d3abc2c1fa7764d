#ifndef JUJUBESTAND_PROGRAMS_TEST_REPEAT_COUNTS_HPP
#define JUJUBESTAND_PROGRAMS_TEST_REPEAT_COUNTS_HPP

#include <algorithm>
#include <jujubestand/core/time.hpp>
#include <utility>
#include <vector>

namespace jujubestand::programs::test
{

/// \brief Most of the times that lie within one window, wherever it begins.
inline std::size_t most_within(std::vector<mono_time> times,
                               microseconds window)
{
    std::sort(times.begin(), times.end());
    std::size_t most = 0;
    for (std::size_t first = 0; first < times.size(); ++first)
    {
        auto const last =
            std::upper_bound(times.begin(), times.end(), times[first] + window);
        most = std::max(most,
                        static_cast<std::size_t>(last - times.begin()) - first);
    }
    return most;
}

/// \brief Most arrivals beyond the first of each call within one window.
/// \param calls rows of ids and calls with `arrivals`
template <class Calls>
std::size_t most_repeats(Calls const& calls, microseconds window)
{
    std::vector<mono_time> repeats;
    for (auto const& [id, call] : calls)
    {
        if (call.arrivals.size() > 1)
            repeats.insert(repeats.end(), call.arrivals.begin() + 1,
                           call.arrivals.end());
    }
    return most_within(std::move(repeats), window);
}

} // namespace jujubestand::programs::test

#endif
