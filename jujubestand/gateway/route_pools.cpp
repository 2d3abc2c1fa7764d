#include <jujubestand/gateway/route_pools.hpp>

#include <jujubestand/dispatch/standing.hpp>
#include <jujubestand/gateway/stream_origins.hpp>
#include <set>

namespace jujubestand::gateway
{

void record_former_pools(route_pools& state, traffic::tables const& tables,
                         mono_time now)
{
    for (auto& [route, pools] : state.former)
        std::erase_if(pools,
                      [now](auto const& row)
                      {
                          return now - row.second > software_memory;
                      });
    std::erase_if(state.former,
                  [](auto const& row)
                  {
                      return row.second.empty();
                  });
    for (auto const& route : tables.routes)
    {
        for (auto const& share : route.shares)
            state.former[route.name][share.pool] = now;
    }
}

std::vector<std::string> possible_pools(route_pools const& state,
                                        traffic::tables const& tables,
                                        traffic::route const& from,
                                        mono_time now)
{
    std::set<std::string> result;
    for (auto const& share : from.shares)
        result.insert(share.pool);
    auto const former = state.former.find(from.name);
    if (former != state.former.end())
    {
        for (auto const& [pool, last] : former->second)
        {
            if (now - last <= software_memory)
                result.insert(pool);
        }
    }
    bool const is_new =
        !state.known_since || now - *state.known_since <= software_memory;
    for (auto const& [name, pool] : tables.pools)
    {
        if (is_new && pool.engine)
            result.insert(name);
    }
    return {result.begin(), result.end()};
}

// A pool without weight gets no call by the configuration in force.
std::string choose_resume_pool(dispatch::state const& dispatcher,
                               dispatch::call const& request,
                               traffic::route const& from, std::uint64_t draw)
{
    traffic::route usable;
    for (auto const& share : from.shares)
    {
        dispatch::call elsewhere = request;
        elsewhere.pool = share.pool;
        if (share.weight > 0 && dispatch::has_candidate(dispatcher, elsewhere))
            usable.shares.push_back(share);
    }
    return std::string(traffic::choose_pool(usable, draw));
}

} // namespace jujubestand::gateway
