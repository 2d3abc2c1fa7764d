#ifndef JUJUBESTAND_STATUS_PACING_HPP
#define JUJUBESTAND_STATUS_PACING_HPP

#include <algorithm>
#include <chrono>
#include <cstddef>

/// \brief How often a gateway queries the agents. Gateways and agents share
/// these intervals, so that agents know when a gateway has ended.
namespace jujubestand::status
{

/// \brief Interval of queries to the agent of an engine that a gateway uses.
inline constexpr std::chrono::milliseconds query_interval{100};

/// \brief Agents of other engines that a gateway queries in each interval: a
/// gateway of a large fleet sends calls to few of its engines, and all
/// gateways together would send queries by the product of both numbers.
inline constexpr std::size_t idle_queries = 20;

/// \brief Interval of queries to the agent of an engine that a gateway does
/// not use.
/// \param engines agents that the gateway queries
[[nodiscard]] constexpr std::chrono::milliseconds
idle_query_interval(std::size_t engines) noexcept
{
    auto const rounds =
        std::max<std::size_t>(1, (engines + idle_queries - 1) / idle_queries);
    return query_interval * static_cast<int>(rounds);
}

} // namespace jujubestand::status

#endif
