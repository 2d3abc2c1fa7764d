#include <jujubestand/gateway/unattended_engines.hpp>

#include <algorithm>
#include <map>
#include <string>

namespace jujubestand::gateway
{

namespace
{

/// Engines that lack weights and make no progress for so long have no gateway
/// that orders them.
constexpr std::chrono::milliseconds stall_limit{1'500};

bool lacks_weights(dispatch::state const& dispatcher,
                   dispatch::upstream const& engine)
{
    return std::any_of(engine.versions.begin(), engine.versions.end(),
                       [&](auto const& row)
                       {
                           auto const found =
                               dispatcher.weights.find(row.first);
                           return found != dispatcher.weights.end() &&
                                  found->second.back().version > row.second;
                       });
}

bool is_silent(query_map const& queries, std::string const& host,
               std::chrono::milliseconds silence, mono_time now)
{
    auto const query = queries.find(host);
    return query != queries.end() &&
           now - std::max(query->second.first_sent_at,
                          query->second.answered_at) >=
               silence;
}

} // namespace

// Engines are numbered in order of their ids, as agents number them.
std::vector<unattended_engine>
find_unattended(dispatch::state const& dispatcher, query_map const& queries,
                std::chrono::milliseconds silence, mono_time now)
{
    std::map<std::string, std::size_t> pools;
    std::vector<unattended_engine> result;
    for (auto const& [id, key] : dispatcher.keys_by_id)
    {
        auto const& engine = dispatcher.upstreams.at(key);
        if (engine.versions.empty() || engine.is_replaced ||
            engine.record.is_leaving)
            continue;
        auto const index = pools[engine.record.pool]++;
        if (is_silent(queries, engine.record.where.host, silence, now))
            result.push_back(
                {key, index, 1, lacks_weights(dispatcher, engine)});
    }
    for (auto& found : result)
        found.pool_size = pools[dispatcher.upstreams.at(found.key).record.pool];
    return result;
}

void update_claim(lease_claim& claim,
                  std::vector<unattended_engine> const& engines, mono_time now)
{
    auto const lacking = static_cast<std::size_t>(
        std::count_if(engines.begin(), engines.end(),
                      [](unattended_engine const& engine)
                      {
                          return engine.lacks_weights;
                      }));
    if (engines.empty())
        claim.unattended_since.reset();
    else if (!claim.unattended_since)
        claim.unattended_since = now;
    if (lacking == 0)
        claim.stalled_since.reset();
    else if (!claim.stalled_since || lacking < claim.lacking)
        claim.stalled_since = now;
    claim.lacking = lacking;
}

// The first try shows whether another gateway holds the lease. If one does,
// this gateway tries again only if that one doesn't do its work.
bool wants_lease(lease_claim const& claim, order_lease const& lease,
                 mono_time now)
{
    if (!claim.unattended_since)
        return false;
    if (is_valid(lease, now))
        return true;
    if (!lease.end)
        return now - *claim.unattended_since >= claim.delay;
    return claim.stalled_since &&
           now - *claim.stalled_since >= stall_limit + claim.delay;
}

} // namespace jujubestand::gateway
