#include <jujubestand/gateway/repeats.hpp>

#include <algorithm>
#include <jujubestand/gateway/sends.hpp>
#include <utility>

namespace jujubestand::gateway
{

namespace
{

/// Limit on the attempts of a call, including those that did not run.
constexpr std::uint32_t sends_limit = 6;

} // namespace

retries::retry_options retry_options_of(gateway_state const& self)
{
    auto const& limits = self.settings.limits;
    // All gateways share the reserve; a part of it is left for gateways that
    // are not known yet.
    constexpr double ratio_share = 0.85;
    constexpr double reserve_share = 0.65;
    retries::retry_options options;
    options.attempts_limit = sends_limit;
    options.budget_ratio = limits.retry_ratio * ratio_share;
    options.budget_limit =
        std::max(2.0, limits.retry_reserve * reserve_share /
                          static_cast<double>(self.dispatch.gateways));
    options.budget_per_second = 0;
    options.backoff_base = std::chrono::milliseconds{0};
    return options;
}

retries::retry_options rescue_options_of(gateway_state const& self)
{
    auto const& limits = self.settings.limits;
    constexpr double ratio_share = 0.05;
    constexpr double reserve_share = 0.2;
    auto options = retry_options_of(self);
    options.budget_ratio = limits.retry_ratio * ratio_share;
    options.budget_limit =
        std::max(1.0, limits.retry_reserve * reserve_share /
                          static_cast<double>(self.dispatch.gateways));
    return options;
}

bool may_repeat(live_call const& call)
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

// The route's attempt limit counts only upstreams that may have executed the
// call.
void count_run(live_call& call)
{
    ++call.runs;
    call.terms.tried.push_back(call.upstream_key);
}

reason_code why_not_again(gateway_state& self, live_call const& call,
                          dispatch::send_outcome outcome, mono_time now)
{
    bool const is_repeatable =
        verdict_of(outcome) == verdict::not_run || may_repeat(call);
    if (!is_repeatable)
        return reason_code::upstream_read_cut;
    if (call.runs >= call.route.attempts_limit)
        return reason_code::attempts_spent;
    retries::request_progress progress;
    progress.attempts = call.sends;
    progress.worst = may_repeat(call) ? verdict::not_run : call.outcome;
    progress.is_idempotent = may_repeat(call);
    progress.deadline = call.deadline;
    retries::attempt_failure failure;
    failure.outcome = verdict_of(outcome);
    failure.has_alternative = true;
    failure.has_arrived = outcome != dispatch::send_outcome::unreachable;
    auto made =
        retries::decide(self.budgets[call.terms.pool], retry_options_of(self),
                        progress, failure, now, self.draw());
    // A response that has started would be lost without a retry.
    if (made.why == reason_code::retry_budget_spent && call.is_begun)
        made = retries::decide(self.rescues[call.terms.pool],
                               rescue_options_of(self), progress, failure, now,
                               self.draw());
    return made.is_retry ? reason_code::none : made.why;
}

void suspend(gateway_state& self, dispatch::call_key key,
             dispatch::send_outcome outcome)
{
    self.suspended[key] = outcome;
}

void review_suspended(gateway_state& self)
{
    auto const now = mono_now();
    auto const held = std::exchange(self.suspended, {});
    for (auto const& [key, outcome] : held)
    {
        live_call const* const call = find_call(self, key);
        // The caller has disconnected.
        if (call == nullptr)
            continue;
        auto const why_not = why_not_again(self, *call, outcome, now);
        if (why_not == reason_code::none)
            send_again(self, key);
        else if (why_not == reason_code::retry_budget_spent)
            self.suspended[key] = outcome;
        else
        {
            problem what;
            what.why = reason{why_not, "suspended call may not be retried", {}};
            what.outcome = call->outcome;
            fail_call(self, key, what);
        }
    }
}

} // namespace jujubestand::gateway
