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

bool has_software(upstream const& target, call const& request)
{
    return !request.software_version ||
           target.record.software_version == *request.software_version;
}

bool was_tried(call const& request, upstream_key key)
{
    return std::find(request.tried.begin(), request.tried.end(), key) !=
           request.tried.end();
}

// New upstreams usually run the newest software, so a call without a needed
// version always has a candidate to wait for.
bool has_candidate(state const& dispatcher, call const& request)
{
    return !request.software_version ||
           std::any_of(dispatcher.upstreams.begin(), dispatcher.upstreams.end(),
                       [&](auto const& row)
                       {
                           upstream const& target = row.second;
                           return target.record.pool == request.pool &&
                                  !target.record.is_leaving &&
                                  !target.is_replaced &&
                                  has_software(target, request) &&
                                  !was_tried(request, row.first);
                       });
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
