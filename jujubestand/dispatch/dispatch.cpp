#include <jujubestand/dispatch/dispatch.hpp>

#include <algorithm>
#include <jujubestand/dispatch/choice.hpp>
#include <jujubestand/dispatch/decision_steps.hpp>
#include <jujubestand/dispatch/upstreams.hpp>
#include <jujubestand/dispatch/useful_first.hpp>
#include <map>

namespace jujubestand::dispatch
{

namespace
{

// The queue that a new call would wait in.
pool_queue queue_of(state const& dispatcher, call const& request, mono_time now)
{
    pool_queue result;
    result.flow = find_flow(dispatcher, request.pool, now);
    for (auto const& [key, other] : dispatcher.waiting)
        result.ahead += other.pool == request.pool && !precedes(request, other);
    return result;
}

decision submit_by_target(state& dispatcher, call const& request, mono_time now)
{
    record_need(dispatcher, request.pool, now);
    if (auto const refusal = refuse_hopeless(dispatcher, request, now))
        return *refusal;
    if (auto const chosen = choose(dispatcher, request, now))
        return send(dispatcher, request, *chosen, now);
    if (auto const refusal = refuse_paused(dispatcher, request, now))
        return *refusal;
    if (auto const refusal = refuse_limited(
            dispatcher, request, queue_of(dispatcher, request, now),
            dispatcher.limits.limited_wait_share, now))
        return *refusal;
    if (dispatcher.waiting.size() >= dispatcher.limits.waiting_limit)
        return refuse(
            request, reason{reason_code::queue_full, "too many calls wait", {}},
            no_upstream_retry_after);
    double const wait_ms = expected_wait_ms(dispatcher, request, now);
    auto const wait =
        std::chrono::milliseconds{static_cast<std::int64_t>(wait_ms)};
    if (now + wait + dispatcher.limits.service_time_min >= request.deadline)
        return refuse(request, no_time_left(request), wait / 2);
    dispatcher.waiting[request.key] = request;
    return hold(request);
}

std::vector<decision> decide_by_target(state& dispatcher, mono_time now)
{
    std::vector<call const*> ordered_calls;
    ordered_calls.reserve(dispatcher.waiting.size());
    for (auto const& [key, request] : dispatcher.waiting)
        ordered_calls.push_back(&request);
    std::sort(ordered_calls.begin(), ordered_calls.end(),
              [](call const* left, call const* right)
              {
                  return precedes(*left, *right);
              });
    std::vector<decision> result;
    std::map<std::string, pool_queue> queues;
    for (call const* request : ordered_calls)
    {
        auto const [queue, is_first] = queues.try_emplace(request->pool);
        if (is_first)
        {
            record_need(dispatcher, request->pool, now);
            queue->second.flow = find_flow(dispatcher, request->pool, now);
        }
        if (auto const refusal = refuse_hopeless(dispatcher, *request, now))
            result.push_back(*refusal);
        else if (auto const chosen = choose(dispatcher, *request, now))
            result.push_back(send(dispatcher, *request, *chosen, now));
        else if (auto const paused = refuse_paused(dispatcher, *request, now))
            result.push_back(*paused);
        // The rate is an estimate: what waits already is refused only once
        // its turn can't come in time at all.
        else if (auto const limited = refuse_limited(dispatcher, *request,
                                                     queue->second, 1.0, now))
            result.push_back(*limited);
        else
            ++queue->second.ahead;
    }
    for (auto const& decided : result)
        dispatcher.waiting.erase(decided.call);
    return result;
}

} // namespace

decision submit(state& dispatcher, call const& request, mono_time now)
{
    return dispatcher.limits.queue_discipline == queue_discipline::useful_first
               ? submit_useful_first(dispatcher, request, now)
               : submit_by_target(dispatcher, request, now);
}

std::vector<decision> decide_waiting(state& dispatcher, mono_time now)
{
    return dispatcher.limits.queue_discipline == queue_discipline::useful_first
               ? decide_useful_first(dispatcher, now)
               : decide_by_target(dispatcher, now);
}

void set_queue_discipline(state& dispatcher, queue_discipline discipline)
{
    if (dispatcher.limits.queue_discipline == discipline)
        return;
    dispatcher.limits.queue_discipline = discipline;
    dispatcher.flows.clear();
}

bool has_alternative(state const& dispatcher, call const& request,
                     upstream_key excluded, mono_time now)
{
    call elsewhere = request;
    elsewhere.tried.push_back(excluded);
    return choose(dispatcher, elsewhere, now).has_value();
}

void set_cache_owner(state& dispatcher, call_key call, std::string const& owner)
{
    auto const waiting = dispatcher.waiting.find(call);
    if (waiting != dispatcher.waiting.end())
        waiting->second.cache_owner = owner;
}

void remove_waiting(state& dispatcher, call_key call)
{
    dispatcher.waiting.erase(call);
}

} // namespace jujubestand::dispatch
