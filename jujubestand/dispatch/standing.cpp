#include <jujubestand/dispatch/standing.hpp>

#include <algorithm>

namespace jujubestand::dispatch
{

bool has_fresh_report(state const& dispatcher, upstream const& target,
                      mono_time now)
{
    return target.load &&
           now - target.load->reported_at <= dispatcher.limits.report_age_limit;
}

bool is_available(state const& dispatcher, upstream const& target,
                  mono_time now)
{
    if (target.record.is_leaving || target.is_replaced ||
        target.avoid_until > now)
        return false;
    return !has_fresh_report(dispatcher, target, now) || !target.load->is_down;
}

std::size_t available_count(state const& dispatcher, std::string const& pool,
                            mono_time now)
{
    return static_cast<std::size_t>(
        std::count_if(dispatcher.upstreams.begin(), dispatcher.upstreams.end(),
                      [&](auto const& row)
                      {
                          return row.second.record.pool == pool &&
                                 is_available(dispatcher, row.second, now);
                      }));
}

weights_status check_weights(state const& dispatcher, upstream const& target,
                             std::string const& model, mono_time now)
{
    weights_status result;
    auto const known = target.versions.find(model);
    if (known == target.versions.end())
        return result;
    result.version = known->second;
    result.is_allowed = true;
    auto const wanted_weights = dispatcher.weights.find(model);
    if (wanted_weights == dispatcher.weights.end())
        return result;
    auto const& requests = wanted_weights->second;
    result.wanted_version = requests.back().version;
    // Each request has a time limit of its own: a newer one doesn't extend that
    // of the ones before, so the lag counts from the first that is not loaded.
    auto const first_missing =
        std::find_if(requests.begin(), requests.end(),
                     [&](wanted_version const& request)
                     {
                         return request.version > result.version;
                     });
    if (first_missing == requests.end())
        return result;
    result.is_old = true;
    result.lag = now - first_missing->since;
    result.is_allowed = result.lag < dispatcher.limits.weights_lag;
    if (result.lag > dispatcher.limits.weights_grace)
        result.cost_ms = dispatcher.limits.old_weights_cost_ms;
    return result;
}

} // namespace jujubestand::dispatch
