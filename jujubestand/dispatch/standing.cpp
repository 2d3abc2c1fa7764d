#include <jujubestand/dispatch/standing.hpp>

#include <algorithm>

namespace jujubestand::dispatch
{

bool is_fresh(state const& all, upstream const& one, mono_time now)
{
    return one.load && now - one.load->at <= all.limits.report_age_limit;
}

bool is_in_use(state const& all, upstream const& one, mono_time now)
{
    if (one.record.is_leaving || one.is_replaced || one.avoid_until > now)
        return false;
    return !is_fresh(all, one, now) || !one.load->is_down;
}

std::size_t usable(state const& all, std::string const& pool, mono_time now)
{
    return static_cast<std::size_t>(
        std::count_if(all.upstreams.begin(), all.upstreams.end(),
                      [&](auto const& row)
                      {
                          return row.second.record.pool == pool &&
                                 is_in_use(all, row.second, now);
                      }));
}

weights_standing weights_of(state const& all, upstream const& one,
                            std::string const& model, mono_time now)
{
    weights_standing result;
    auto const known = one.versions.find(model);
    if (known == one.versions.end())
        return result;
    result.version = known->second;
    result.is_allowed = true;
    auto const want = all.weights.find(model);
    if (want == all.weights.end() || known->second >= want->second.version)
        return result;
    result.is_old = true;
    auto const lag = now - want->second.since;
    result.is_allowed = lag < all.limits.weights_lag;
    if (lag > all.limits.weights_grace)
        result.cost_ms = all.limits.old_weights_cost_ms;
    return result;
}

} // namespace jujubestand::dispatch
