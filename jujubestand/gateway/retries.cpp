#include <jujubestand/gateway/retries.hpp>

#include <algorithm>
#include <iterator>
#include <jujubestand/core/wall_clock.hpp>
#include <jujubestand/dispatch/standing.hpp>
#include <jujubestand/gateway/resumed_streams.hpp>
#include <jujubestand/gateway/sends.hpp>
#include <jujubestand/retries/reserve_share.hpp>
#include <set>
#include <string_view>
#include <utility>

namespace jujubestand::gateway
{

namespace
{

/// Limit on the attempts of a call, including those that did not run.
constexpr std::uint32_t sends_limit = 6;

// A part of the reserve is left for gateways that are not known yet.
retries::shared_reserve reserve_of(gateway_state const& state)
{
    constexpr double reserve_share = 0.85;
    retries::shared_reserve reserve;
    reserve.retries = state.settings.limits.retry_reserve * reserve_share;
    reserve.window = state.settings.limits.retry_window;
    reserve.processes = state.retry_sharers.gateways;
    reserve.position = state.retry_sharers.position;
    // A process whose clock differs makes one retry too many in a window. What
    // is left of the reserve has room for that, unless the reserve is small.
    double const left = state.settings.limits.retry_reserve - reserve.retries;
    if (left < 1)
        reserve.clock_tolerance = clock_tolerance;
    return reserve;
}

// Without a list of gateways each would take the whole reserve for its own.
mono_time reserve_due_at(gateway_state const& state)
{
    return state.retry_sharers.gateways == 0
               ? mono_time::max()
               : state.started_at + state.settings.limits.retry_window;
}

// Retries that recent calls of the pool have earned and that may be saved up
// beside the share of the reserve: as part of the ratio they need none of it.
double saved_retries(gateway_state const& state, std::string const& pool,
                     mono_time now)
{
    constexpr double saved_share = 0.1;
    auto const calls = state.recent_calls.find(pool);
    if (calls == state.recent_calls.end())
        return 0;
    return state.settings.limits.retry_ratio * saved_share *
           limits::value_of(calls->second, now);
}

double budget_limit_of(retries::reserve_share const& share,
                       gateway_state const& state, std::string const& pool,
                       mono_time now)
{
    return share.retries + saved_retries(state, pool, now);
}

// Retries that were granted and wait for an upstream. They take up budget until
// they are sent: what several windows had granted could arrive within one.
double waiting_retries(gateway_state const& state, std::string const& pool)
{
    return static_cast<double>(std::count_if(
        state.dispatch.waiting.begin(), state.dispatch.waiting.end(),
        [&](auto const& row)
        {
            return row.second.is_paid_retry && row.second.pool == pool;
        }));
}

// A response that has started would be lost without a retry, others would not.
double kept_back_of(retries::reserve_share const& share)
{
    constexpr double kept_back_share = 0.25;
    return std::clamp(share.retries - 1, 0.0, share.retries * kept_back_share);
}

} // namespace

retries::retry_options retry_options_of(gateway_state const& state,
                                        std::string const& pool, mono_time now)
{
    auto const& limits = state.settings.limits;
    constexpr double ratio_share = 0.85;
    auto const share = retries::share_of(reserve_of(state), wall_now());
    retries::retry_options options;
    options.attempts_limit = sends_limit;
    options.budget_ratio = limits.retry_ratio * ratio_share;
    options.budget_limit =
        budget_limit_of(share, state, pool, now) - waiting_retries(state, pool);
    options.filled_from = reserve_due_at(state);
    options.budget_kept_back =
        now < options.filled_from ? 0 : kept_back_of(share);
    options.budget_turn = share.turn;
    options.budget_per_second = 0;
    options.backoff_base = std::chrono::milliseconds{0};
    options.time_left_min = state.dispatch.limits.service_time_min;
    return options;
}

// A list may lack gateways for a while: that of an agent which has just started
// or hears only some of them. And what a gateway that has left spent counts
// for one more window.
void update_retry_sharers(gateway_state& state, mono_time now)
{
    if (state.gateway_hosts.empty())
        return;
    constexpr std::chrono::milliseconds review_interval{1'000};
    state.retry_sharers.review_due_at = now + review_interval;
    std::set<std::string_view> hosts(state.gateway_hosts.begin(),
                                     state.gateway_hosts.end());
    hosts.insert(state.settings.ip);
    for (auto const& [host, seen_at] : state.gateway_seen_at)
    {
        if (now - seen_at <= state.settings.limits.retry_window)
            hosts.insert(host);
    }
    state.retry_sharers.gateways = static_cast<std::uint32_t>(hosts.size());
    state.retry_sharers.position = static_cast<std::uint32_t>(
        std::distance(hosts.begin(), hosts.find(state.settings.ip)));
}

void review_retry_sharers(gateway_state& state, mono_time now)
{
    if (now >= state.retry_sharers.review_due_at)
        update_retry_sharers(state, now);
}

double retry_budget_limit(gateway_state const& state, std::string const& pool,
                          mono_time now)
{
    return budget_limit_of(retries::share_of(reserve_of(state), wall_now()),
                           state, pool, now);
}

void record_call(gateway_state& state, std::string const& pool, mono_time now)
{
    limits::add_call(state.recent_calls[pool], now);
    retries::record_request(state.retry_budgets[pool],
                            retry_options_of(state, pool, now), now);
}

bool is_retryable(active_call const& call)
{
    return call.route.kind == traffic::call_kind::idempotent ||
           (call.route.kind == traffic::call_kind::stream &&
            call.route.is_resumable);
}

verdict verdict_of(dispatch::send_outcome outcome)
{
    using dispatch::send_outcome;
    if (outcome == send_outcome::unreachable ||
        outcome == send_outcome::refused)
        return verdict::not_run;
    return outcome == send_outcome::served || outcome == send_outcome::failed
               ? verdict::ran
               : verdict::may_have_run;
}

mono_time output_deadline(active_call const& call)
{
    if (call.is_response_started || !call.route.output_patience)
        return call.deadline;
    return std::min(call.deadline,
                    call.arrived_at + *call.route.output_patience);
}

void record_arrival(active_call& call)
{
    call.dispatch_call.reached.push_back(
        {call.upstream, call.upstream_address});
}

// The route's attempt limit counts only upstreams that may have executed the
// call.
void count_possible_run(active_call& call, dispatch::send_outcome outcome)
{
    ++call.possible_runs;
    record_arrival(call);
    // An upstream that has refused a call may have room for it the next time.
    if (outcome != dispatch::send_outcome::unproven)
        call.dispatch_call.tried.push_back(call.upstream_key);
}

reason_code acquire_retry(gateway_state& state, active_call& call,
                          dispatch::send_outcome outcome, mono_time now)
{
    bool const is_repeatable =
        verdict_of(outcome) == verdict::not_run || is_retryable(call);
    if (!is_repeatable)
        return reason_code::upstream_read_cut;
    if (call.possible_runs >= call.route.attempts_limit)
        return reason_code::attempts_spent;
    if (!dispatch::has_candidate(state.dispatch, call.dispatch_call))
        return reason_code::no_upstream;
    retries::request_progress progress;
    progress.attempts = call.upstream_attempts;
    progress.worst = is_retryable(call) ? verdict::not_run : call.outcome;
    progress.is_idempotent = is_retryable(call);
    progress.deadline = output_deadline(call);
    retries::attempt_failure failure;
    failure.outcome = verdict_of(outcome);
    failure.has_alternative = true;
    failure.has_arrived = outcome != dispatch::send_outcome::unreachable;
    auto options = retry_options_of(state, call.dispatch_call.pool, now);
    if (call.is_response_started)
        options.budget_kept_back = 0;
    auto const retry_decision =
        retries::decide(state.retry_budgets[call.dispatch_call.pool], options,
                        progress, failure, now, state.random_engine());
    call.dispatch_call.is_paid_retry =
        retry_decision.is_retry &&
        (failure.has_arrived || call.dispatch_call.is_paid_retry);
    return retry_decision.is_retry ? reason_code::none : retry_decision.why;
}

void suspend_call(gateway_state& state, dispatch::call_key key,
                  dispatch::send_outcome outcome)
{
    state.suspended_calls[key] = outcome;
}

void review_suspended_calls(gateway_state& state)
{
    auto const now = mono_now();
    auto const held = std::exchange(state.suspended_calls, {});
    for (auto const& [key, outcome] : held)
    {
        active_call* const call = find_call(state, key);
        // The caller has disconnected.
        if (call == nullptr)
            continue;
        select_resume_pool(state, *call);
        auto const why_not = acquire_retry(state, *call, outcome, now);
        if (why_not == reason_code::none)
            retry_call(state, key);
        else if (why_not == reason_code::retry_budget_spent)
            state.suspended_calls[key] = outcome;
        else
        {
            problem error;
            error.why =
                reason{why_not, "suspended call may not be retried", {}};
            error.outcome = call->outcome;
            fail_call(state, key, error);
        }
    }
}

} // namespace jujubestand::gateway
