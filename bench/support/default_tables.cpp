#include <bench/support/deployment.hpp>

namespace jujubestand::bench
{

config::tables default_tables(deployment_plan const& plan)
{
    config::tables made;
    config::pool engines;
    engines.id = pool_id("engines");
    for (std::size_t index = 0; index < plan.engines; ++index)
        engines.upstreams.emplace_back(numbered("engine", index));
    engines.weights_version = "v1";
    made.pools[engines.id] = engines;
    config::route completions;
    completions.id = route_id("completions");
    completions.pool = engines.id;
    made.routes[completions.id] = completions;
    if (plan.services == 0)
        return made;
    config::pool services;
    services.id = pool_id("services");
    for (std::size_t index = 0; index < plan.services; ++index)
        services.upstreams.emplace_back(numbered("service", index));
    made.pools[services.id] = services;
    config::route bookings;
    bookings.id = route_id("bookings");
    bookings.pool = services.id;
    bookings.path_prefix = "/bookings";
    bookings.is_idempotent = false;
    made.routes[bookings.id] = bookings;
    return made;
}

} // namespace jujubestand::bench
