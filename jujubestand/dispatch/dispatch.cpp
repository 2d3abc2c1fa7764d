#include <jujubestand/dispatch/dispatch.hpp>

#include <algorithm>
#include <jujubestand/dispatch/choice.hpp>
#include <jujubestand/dispatch/parts.hpp>
#include <jujubestand/dispatch/standing.hpp>

namespace jujubestand::dispatch
{

namespace
{

/// Retry-after of calls that find no upstream.
constexpr std::chrono::milliseconds nothing_usable_pause{500};

decision refuse(call const& asked, reason why,
                std::chrono::milliseconds retry_after)
{
    decision result;
    result.call = asked.key;
    result.what = action::refuse;
    result.why = std::move(why);
    result.retry_after = retry_after;
    return result;
}

decision hold(call const& asked)
{
    decision result;
    result.call = asked.key;
    return result;
}

// Marks the shared parts of a sent prompt as expected: the agent reports them
// only after the engine has prefilled them.
void expect_parts(upstream& one, call const& asked, choice const& chosen,
                  mono_time now)
{
    constexpr std::size_t expected_limit = 512;
    if (!asked.asked || asked.asked->parts.size() < 2)
        return;
    if (one.expected_parts.size() > expected_limit)
        one.expected_parts.clear();
    std::string const scope =
        cache_scope(asked.cache_owner, chosen.weights.value_or(0));
    for (std::size_t at = 0; at + 1 < asked.asked->parts.size(); ++at)
        one.expected_parts[status::hash_of(scope, asked.asked->parts[at].id)] =
            now;
}

decision send(state& all, call const& asked, choice const& chosen,
              mono_time now)
{
    upstream& one = all.upstreams.at(chosen.upstream);
    ++one.open_calls;
    open_send made;
    made.upstream = chosen.upstream;
    made.at = now;
    made.reading_tokens = chosen.reading_tokens;
    made.memory_tokens = chosen.memory_tokens;
    all.sends[asked.key] = made;
    if (asked.asked)
    {
        constexpr double weight = 0.02;
        all.mean_reading_tokens +=
            weight * (chosen.reading_tokens - all.mean_reading_tokens);
    }
    expect_parts(one, asked, chosen, now);
    decision result;
    result.call = asked.key;
    result.what = action::send;
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
bool goes_before(call const& left, call const& right)
{
    if (left.priority != right.priority)
        return left.priority < right.priority;
    return left.arrived_at + left.target_latency <
           right.arrived_at + right.target_latency;
}

bool can_be_served(state const& all, call const& asked, mono_time now)
{
    return now + all.limits.service_time_min < asked.deadline;
}

reason no_time(call const& asked)
{
    return reason{reason_code::deadline_unreachable,
                  "no upstream has room in time", asked.pool};
}

// Time to prefill the calls that wait ahead of this one, if this gateway's
// share of the available engines prefills nothing else.
double expected_wait_ms(state const& all, call const& asked, mono_time now)
{
    double tokens = 0;
    for (auto const& [key, other] : all.waiting)
    {
        if (other.pool == asked.pool && other.asked &&
            !goes_before(asked, other))
            tokens += other.asked->parts.empty()
                          ? other.asked->input_tokens
                          : other.asked->parts.back().tokens;
    }
    double const engines = static_cast<double>(std::max<std::size_t>(
                               1, usable(all, asked.pool, now))) /
                           all.gateways;
    return tokens / (all.limits.reading_tokens_per_ms * engines);
}

} // namespace

decision submit(state& all, call const& asked, mono_time now)
{
    if (!can_be_served(all, asked, now))
        return refuse(asked, no_time(asked), all.limits.return_margin);
    if (auto const chosen = choose(all, asked, now))
        return send(all, asked, *chosen, now);
    if (all.waiting.size() >= all.limits.waiting_limit)
        return refuse(
            asked, reason{reason_code::queue_full, "too many calls wait", {}},
            nothing_usable_pause);
    double const wait_ms = expected_wait_ms(all, asked, now);
    auto const wait =
        std::chrono::milliseconds{static_cast<std::int64_t>(wait_ms)};
    if (now + wait + all.limits.service_time_min >= asked.deadline)
        return refuse(asked, no_time(asked), wait / 2);
    all.waiting[asked.key] = asked;
    return hold(asked);
}

std::vector<decision> review(state& all, mono_time now)
{
    std::vector<call const*> order;
    order.reserve(all.waiting.size());
    for (auto const& [key, asked] : all.waiting)
        order.push_back(&asked);
    std::sort(order.begin(), order.end(),
              [](call const* left, call const* right)
              {
                  return goes_before(*left, *right);
              });
    std::vector<decision> result;
    for (call const* asked : order)
    {
        if (!can_be_served(all, *asked, now))
            result.push_back(
                refuse(*asked, no_time(*asked), all.limits.return_margin));
        else if (auto const chosen = choose(all, *asked, now))
            result.push_back(send(all, *asked, *chosen, now));
    }
    for (auto const& made : result)
        all.waiting.erase(made.call);
    return result;
}

bool has_alternative(state const& all, call const& asked, upstream_key besides,
                     mono_time now)
{
    call elsewhere = asked;
    elsewhere.tried.push_back(besides);
    return choose(all, elsewhere, now).has_value();
}

void forget(state& all, call_key call)
{
    all.waiting.erase(call);
}

} // namespace jujubestand::dispatch
