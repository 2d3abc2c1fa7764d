#ifndef JUJUBESTAND_GATEWAY_ROUTE_POOLS_HPP
#define JUJUBESTAND_GATEWAY_ROUTE_POOLS_HPP

#include <jujubestand/core/time.hpp>
#include <jujubestand/dispatch/types.hpp>
#include <jujubestand/traffic/tables.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// \brief Pools of split routes, as far as streams that callers resume depend
/// on them.
namespace jujubestand::gateway
{

/// \brief Pools that routes have sent calls to.
struct route_pools
{
    /// By route and pool: when a configuration that names both was last in
    /// force. Older ones than the longest life of a stream are dropped.
    std::map<std::string, std::map<std::string, mono_time>> former;
    /// When the first configuration was applied; the ones before are not known.
    std::optional<mono_time> known_since;
};

/// \brief Records that a configuration is about to replace `tables`.
void record_former_pools(route_pools& state, traffic::tables const& tables,
                         mono_time now);

/// \brief Pools at which a stream of a route may have begun: those that it is
/// split over or was of late, and all pools of engines while a configuration
/// that this gateway has not seen may have named others.
[[nodiscard]] std::vector<std::string>
possible_pools(route_pools const& state, traffic::tables const& tables,
               traffic::route const& from, mono_time now);

/// \brief Pool at which a call can go on that needs a software version.
/// \param draw random bits of the caller's
/// \returns one of the route's pools with an upstream that can take the call,
/// drawn by weight; empty if there is none
[[nodiscard]] std::string choose_resume_pool(dispatch::state const& dispatcher,
                                             dispatch::call const& request,
                                             traffic::route const& from,
                                             std::uint64_t draw);

} // namespace jujubestand::gateway

#endif
