#include <jujubestand/dispatch/dispatch.hpp>

#include <algorithm>
#include <jujubestand/dispatch/choice.hpp>
#include <jujubestand/dispatch/parts.hpp>
#include <jujubestand/dispatch/speeds.hpp>
#include <jujubestand/dispatch/standing.hpp>
#include <jujubestand/dispatch/upstreams.hpp>
#include <map>

namespace jujubestand::dispatch
{

namespace
{

/// Retry-after of calls that find no upstream.
constexpr std::chrono::milliseconds no_upstream_retry_after{500};

decision refuse(call const& request, reason why,
                std::chrono::milliseconds retry_after)
{
    decision result;
    result.call = request.key;
    result.next_action = action::refuse;
    result.why = std::move(why);
    result.retry_after = retry_after;
    return result;
}

decision hold(call const& request)
{
    decision result;
    result.call = request.key;
    return result;
}

// Marks the shared parts of a sent prompt as expected: the agent reports them
// only after the engine has prefilled them.
void mark_parts_expected(upstream& target, call const& request,
                         choice const& chosen, mono_time now)
{
    constexpr std::size_t expected_limit = 512;
    if (!request.model_prompt || request.model_prompt->parts.size() < 2)
        return;
    if (target.expected_parts.size() > expected_limit)
        target.expected_parts.clear();
    std::string const scope =
        cache_scope(request.cache_owner, chosen.weights.value_or(0));
    for (std::size_t index = 0; index + 1 < request.model_prompt->parts.size();
         ++index)
        target.expected_parts[status::hash_of(
            scope, request.model_prompt->parts[index].id)] = now;
}

decision send(state& dispatcher, call const& request, choice const& chosen,
              mono_time now)
{
    upstream& target = dispatcher.upstreams.at(chosen.upstream);
    ++target.open_calls;
    if (!target.unanswered_since)
        target.unanswered_since = now;
    count_send(dispatcher, target, now);
    open_send in_flight;
    in_flight.upstream = chosen.upstream;
    in_flight.process = latest_process(
        dispatcher.words, {target.record.id, target.record.born_ms});
    in_flight.sent_at = now;
    in_flight.prefill_tokens = chosen.prefill_tokens;
    in_flight.memory_tokens = chosen.memory_tokens;
    in_flight.forecast = chosen.forecast;
    if (request.model_prompt)
    {
        in_flight.model = request.model_prompt->model;
        in_flight.weights = chosen.weights.value_or(0);
        constexpr double weight = 0.02;
        dispatcher.mean_prefill_tokens +=
            weight * (chosen.prefill_tokens - dispatcher.mean_prefill_tokens);
    }
    dispatcher.sends[request.key] = in_flight;
    mark_parts_expected(target, request, chosen, now);
    decision result;
    result.call = request.key;
    result.next_action = action::send;
    result.cached_tokens = chosen.cached_tokens;
    result.upstream = chosen.upstream;
    result.weights = chosen.weights;
    result.fetch_from = chosen.fetch_from;
    result.save_to = chosen.save_to;
    result.expected_ms = chosen.expected_ms;
    return result;
}

// Orders calls by priority, then by the time of arrival plus target latency, so
// that calls with a long target latency do not starve.
bool precedes(call const& left, call const& right)
{
    if (left.priority != right.priority)
        return left.priority < right.priority;
    return left.arrived_at + left.target_latency <
           right.arrived_at + right.target_latency;
}

bool can_be_served(state const& dispatcher, call const& request, mono_time now)
{
    return now + dispatcher.limits.service_time_min < request.deadline;
}

reason no_time_left(call const& request)
{
    return reason{reason_code::deadline_unreachable,
                  "no upstream has room in time", request.pool};
}

// Reason to refuse a call that can't be served any more, if there is one.
std::optional<decision> refuse_hopeless(state const& dispatcher,
                                        call const& request, mono_time now)
{
    if (!can_be_served(dispatcher, request, now))
        return refuse(request, no_time_left(request),
                      dispatcher.limits.return_margin);
    if (!has_candidate(dispatcher, request))
        return refuse(request,
                      reason{reason_code::no_upstream,
                             "no upstream of the stream's software version",
                             *request.software_version},
                      no_upstream_retry_after);
    return std::nullopt;
}

// Time to prefill the calls that wait ahead of this one, if this gateway's
// share of the available engines prefills nothing else.
double expected_wait_ms(state const& dispatcher, call const& request,
                        mono_time now)
{
    double tokens = 0;
    for (auto const& [key, other] : dispatcher.waiting)
    {
        if (other.pool == request.pool && other.model_prompt &&
            !precedes(request, other))
            tokens += other.model_prompt->parts.empty()
                          ? other.model_prompt->input_tokens
                          : other.model_prompt->parts.back().tokens;
    }
    double const engines =
        static_cast<double>(std::max<std::size_t>(
            1, available_count(dispatcher, request.pool, now))) /
        dispatcher.gateways;
    return tokens / (pool_prefill_tokens_per_ms(dispatcher, request.pool, now) *
                     engines);
}

/// The queue of a pool, as far as a call in it is concerned.
struct pool_queue
{
    /// How calls leave it; empty: not bound by limits.
    std::optional<limited_flow> flow;
    /// Calls that leave it before the call.
    std::size_t ahead = 0;
};

// Time until a call of a queue is sent, up to a limit.
std::chrono::duration<double> wait_of(limited_flow const& flow,
                                      std::size_t ahead,
                                      std::chrono::duration<double> limit)
{
    if (flow.calls_per_second <= 0)
        return limit;
    std::chrono::duration<double> const interval{1 / flow.calls_per_second};
    std::chrono::duration<double> const first =
        std::max<std::chrono::duration<double>>(flow.first_in, interval);
    return std::min(limit, first + static_cast<double>(ahead) * interval);
}

// Refuses a call of a pool whose upstreams all have limits if its turn comes
// later than in this share of the time that it has left. Retry-After is the
// time in which the calls ahead of it will have been sent.
std::optional<decision> refuse_limited(state const& dispatcher,
                                       call const& request,
                                       pool_queue const& queue,
                                       double wait_share, mono_time now)
{
    if (!queue.flow)
        return std::nullopt;
    auto const wait = wait_of(*queue.flow, queue.ahead,
                              dispatcher.limits.limited_retry_limit);
    std::chrono::duration<double> const time_left =
        request.deadline - now - dispatcher.limits.service_time_min;
    if (wait <= time_left * wait_share)
        return std::nullopt;
    return refuse(request,
                  reason{reason_code::upstream_limited,
                         "limits of the upstreams leave no room in time",
                         request.pool},
                  std::max(dispatcher.limits.return_margin,
                           std::chrono::ceil<std::chrono::milliseconds>(wait)));
}

// Refuses a call of a pool whose upstreams have all asked for a pause that ends
// too late for it. Retry-After is the end of the first pause and up to
// `pause_return_spread` more, so that callers don't come back all at once.
std::optional<decision> refuse_paused(state const& dispatcher,
                                      call const& request, mono_time now)
{
    auto const end = pool_paused_until(dispatcher, request.pool, now);
    auto const time_left =
        request.deadline - now - dispatcher.limits.service_time_min;
    // A stream that has begun would be cut.
    double const share =
        request.software_version ? 1.0 : dispatcher.limits.limited_wait_share;
    if (!end || *end - now <= time_left * share)
        return std::nullopt;
    constexpr std::chrono::milliseconds pause_return_spread{1'000};
    constexpr call_key steps = 16;
    auto const spread = pause_return_spread * (request.key % steps) / steps;
    return refuse(request,
                  reason{reason_code::upstream_paused,
                         "the upstreams have asked for a pause", request.pool},
                  std::chrono::ceil<std::chrono::milliseconds>(*end - now) +
                      spread);
}

// The queue that a new call would wait in.
pool_queue queue_of(state const& dispatcher, call const& request, mono_time now)
{
    pool_queue result;
    result.flow = find_flow(dispatcher, request.pool, now);
    for (auto const& [key, other] : dispatcher.waiting)
        result.ahead += other.pool == request.pool && !precedes(request, other);
    return result;
}

} // namespace

decision submit(state& dispatcher, call const& request, mono_time now)
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

std::vector<decision> decide_waiting(state& dispatcher, mono_time now)
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
