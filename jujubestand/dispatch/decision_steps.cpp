#include <jujubestand/dispatch/decision_steps.hpp>

#include <algorithm>
#include <jujubestand/dispatch/parts.hpp>
#include <jujubestand/dispatch/speeds.hpp>
#include <jujubestand/dispatch/upstreams.hpp>

namespace jujubestand::dispatch
{

namespace
{

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

bool can_be_served(state const& dispatcher, call const& request, mono_time now)
{
    return now + dispatcher.limits.service_time_min < request.deadline;
}

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

} // namespace

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
    in_flight.priority = request.priority;
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

bool precedes(call const& left, call const& right)
{
    if (left.priority != right.priority)
        return left.priority < right.priority;
    return left.arrived_at + left.target_latency <
           right.arrived_at + right.target_latency;
}

reason no_time_left(call const& request)
{
    return reason{reason_code::deadline_unreachable,
                  "no upstream has room in time", request.pool};
}

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

// Retry-After is the time in which the calls ahead of it will have been sent.
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

// Retry-After is the end of the first pause and up to `pause_return_spread`
// more, so that callers don't come back all at once.
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

} // namespace jujubestand::dispatch
