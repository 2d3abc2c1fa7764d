#include <jujubestand/dispatch/standing.hpp>

#include <algorithm>

namespace jujubestand::dispatch
{

namespace
{

// Time since newer weights than a version were requested; empty if none were.
// Each request has a time limit of its own: a newer one doesn't extend that of
// the ones before, so the lag counts from the first that is not loaded.
std::optional<microseconds> weights_lag(state const& dispatcher,
                                        std::string const& model,
                                        std::uint64_t version, mono_time now)
{
    auto const found = dispatcher.weights.find(model);
    if (found == dispatcher.weights.end())
        return std::nullopt;
    auto const first_missing =
        std::find_if(found->second.begin(), found->second.end(),
                     [version](wanted_version const& request)
                     {
                         return request.version > version;
                     });
    if (first_missing == found->second.end())
        return std::nullopt;
    return now - first_missing->since;
}

// Time since the next report on an engine was due. One that this gateway sends
// calls to is reported on more often from then on.
microseconds overdue_for(state const& dispatcher, upstream const& target,
                         mono_time now)
{
    auto due = target.load->reported_at + dispatcher.idle_report_delay;
    if (target.unanswered_since)
        due = std::min(
            due, std::max(target.load->reported_at, *target.unanswered_since));
    return now - due;
}

// A report describes the engine, so that an agent which answers while its
// engine doesn't is no sign of it. What came while the gateway stood still
// itself is read late.
bool is_silent(state const& dispatcher, upstream const& target, mono_time now)
{
    auto const limit = dispatcher.limits.silence_limit;
    return target.load && target.unanswered_since &&
           now - dispatcher.running_since >= limit &&
           now - *target.unanswered_since >= limit &&
           overdue_for(dispatcher, target, now) >= limit;
}

// If not, the gateway itself is cut off, or has stood still.
bool hears_half_of_pool(state const& dispatcher, std::string const& pool,
                        std::chrono::milliseconds limit, mono_time now)
{
    std::size_t known = 0;
    std::size_t heard = 0;
    for (auto const& [key, target] : dispatcher.upstreams)
    {
        if (target.record.pool != pool || target.is_replaced || !target.load)
            continue;
        ++known;
        heard += overdue_for(dispatcher, target, now) < limit;
    }
    return 2 * heard >= known;
}

// Calls that wait would all go to an engine that stands still, since it seems
// to have room. One whose agent has ended is known by its answers, or once its
// last report is too old to say anything.
bool is_quiet(state const& dispatcher, upstream const& target, mono_time now)
{
    auto const limit = dispatcher.limits.quiet_limit;
    return has_fresh_report(dispatcher, target, now) &&
           overdue_for(dispatcher, target, now) >= limit &&
           now - target.answered_at >= limit &&
           now - dispatcher.running_since >= limit &&
           hears_half_of_pool(dispatcher, target.record.pool, limit, now);
}

} // namespace

bool has_fresh_report(state const& dispatcher, upstream const& target,
                      mono_time now)
{
    return target.load && now - target.load->reported_at <=
                              dispatcher.limits.report_age_limit +
                                  dispatcher.idle_report_delay;
}

bool stands_still(state const& dispatcher, upstream const& target,
                  mono_time now)
{
    return is_silent(dispatcher, target, now) &&
           hears_half_of_pool(dispatcher, target.record.pool,
                              dispatcher.limits.silence_limit, now);
}

bool is_available(state const& dispatcher, upstream const& target,
                  mono_time now)
{
    if (target.record.is_leaving || target.is_replaced ||
        target.avoid_until > now || target.paused_until > now)
        return false;
    if (limits::applies(target.limit, now) &&
        !limits::has_permit(target.permits, now))
        return false;
    bool const is_known_down =
        has_fresh_report(dispatcher, target, now) && target.load->is_down;
    return !is_known_down && !is_quiet(dispatcher, target, now) &&
           !stands_still(dispatcher, target, now);
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

endpoint endpoint_of(upstream const& target)
{
    return {target.record.id, target.record.where};
}

// A process keeps its connections while its record is removed, comes back or is
// replaced by one of another id, and may be reached at another address.
bool has_reached(call const& request, endpoint const& target)
{
    return std::any_of(request.reached.begin(), request.reached.end(),
                       [&](endpoint const& row)
                       {
                           return row.where == target.where ||
                                  row.upstream == target.upstream;
                       });
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

std::optional<limited_flow> find_flow(state const& dispatcher,
                                      std::string const& pool, mono_time now)
{
    std::optional<limited_flow> result;
    for (auto const& [key, target] : dispatcher.upstreams)
    {
        if (target.record.pool != pool || target.record.is_leaving ||
            target.is_replaced)
            continue;
        if (!limits::applies(target.limit, now))
            return std::nullopt;
        if (!result)
            result = limited_flow{};
        result->calls_per_second += limits::expected_rate(
            target.permits, limits::rate_of(*target.limit, now));
        result->first_in = std::min(
            result->first_in, limits::time_to_permit(target.permits, now));
    }
    return result;
}

std::optional<mono_time> pool_paused_until(state const& dispatcher,
                                           std::string const& pool,
                                           mono_time now)
{
    std::optional<mono_time> result;
    for (auto const& [key, target] : dispatcher.upstreams)
    {
        if (target.record.pool != pool || target.record.is_leaving ||
            target.is_replaced)
            continue;
        if (target.paused_until <= now)
            return std::nullopt;
        result =
            std::min(result.value_or(mono_time::max()), target.paused_until);
    }
    return result;
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
    auto const requests = dispatcher.weights.find(model);
    if (requests == dispatcher.weights.end())
        return result;
    result.wanted_version = requests->second.back().version;
    auto const lag = weights_lag(dispatcher, model, result.version, now);
    if (!lag)
        return result;
    result.is_old = true;
    result.lag = *lag;
    result.is_allowed = result.lag < dispatcher.limits.weights_lag;
    if (result.lag > dispatcher.limits.weights_grace)
        result.cost_ms = dispatcher.limits.old_weights_cost_ms;
    return result;
}

std::vector<call_key> overdue_calls(state const& dispatcher, mono_time now)
{
    std::vector<call_key> result;
    for (auto const& [key, send] : dispatcher.sends)
    {
        if (!send.is_prefilling || send.model.empty())
            continue;
        auto const lag = weights_lag(dispatcher, send.model, send.weights, now);
        if (lag && *lag >= dispatcher.limits.weights_begin_limit)
            result.push_back(key);
    }
    return result;
}

std::vector<call_key> stranded_calls(state const& dispatcher, mono_time now)
{
    std::vector<call_key> result;
    for (auto const& [key, send] : dispatcher.sends)
    {
        if (send.model.empty())
            continue;
        auto const target = dispatcher.upstreams.find(send.upstream);
        if (target != dispatcher.upstreams.end() &&
            stands_still(dispatcher, target->second, now))
            result.push_back(key);
    }
    return result;
}

} // namespace jujubestand::dispatch
