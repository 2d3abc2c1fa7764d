#include <jujubestand/retries/retry.hpp>

#include <algorithm>

namespace jujubestand::retries
{

namespace
{

constexpr std::uint32_t doublings_limit = 16;

void fill_late(retry_budget& budget, retry_options const& options,
               mono_time now)
{
    bool const is_new = budget.refilled_at == mono_time{};
    if (is_new && now < options.filled_from)
    {
        budget.tokens = 0;
        budget.awaits_filling = true;
    }
    if (!budget.awaits_filling || now < options.filled_from)
        return;
    budget.tokens = options.budget_limit;
    budget.awaits_filling = false;
}

void begin_turn(retry_budget& budget, retry_options const& options,
                mono_time now)
{
    // A wall clock that is set back brings no turn again.
    if (options.budget_turn <= budget.turn || now < options.filled_from)
        return;
    budget.turn = options.budget_turn;
    budget.tokens += 1.0;
}

void refill(retry_budget& budget, retry_options const& options, mono_time now)
{
    fill_late(budget, options, now);
    begin_turn(budget, options, now);
    if (budget.refilled_at != mono_time{} && now > budget.refilled_at)
    {
        std::chrono::duration<double> const since = now - budget.refilled_at;
        budget.tokens += options.budget_per_second * since.count();
    }
    budget.refilled_at = std::max(budget.refilled_at, now);
    budget.tokens = std::min(budget.tokens, options.budget_limit);
}

bool spend(retry_budget& budget, retry_options const& options, mono_time now)
{
    refill(budget, options, now);
    if (budget.tokens < 1.0 + options.budget_kept_back)
        return false;
    budget.tokens -= 1.0;
    return true;
}

/// Exponential backoff with full jitter, from 0 to a bound that doubles per
/// attempt, so that requests that failed together are not retried together.
microseconds backoff(retry_options const& options, std::uint32_t attempts,
                     std::uint64_t random_bits)
{
    std::uint32_t const doublings =
        std::min(attempts > 0 ? attempts - 1 : 0, doublings_limit);
    microseconds const bound = std::min<microseconds>(
        options.backoff_base * (std::int64_t{1} << doublings),
        options.backoff_limit);
    auto const range = static_cast<std::uint64_t>(bound.count()) + 1;
    return microseconds(static_cast<std::int64_t>(random_bits % range));
}

/// Delay before the next attempt: a refusing upstream's `retry_after` applies
/// only if there is no other upstream to try.
microseconds delay_of(retry_options const& options,
                      request_progress const& progress,
                      attempt_failure const& failure, std::uint64_t random_bits)
{
    microseconds const jittered =
        backoff(options, progress.attempts, random_bits);
    if (failure.has_alternative)
        return progress.attempts <= 1 ? microseconds{0} : jittered;
    return failure.retry_after + jittered;
}

bool may_run_again(request_progress const& progress)
{
    if (progress.has_output)
        return false;
    return progress.worst == verdict::not_run ||
           (progress.is_idempotent && progress.worst == verdict::may_have_run);
}

/// Refusals that any upstream would repeat.
bool is_final(reason_code code)
{
    switch (code)
    {
    case reason_code::malformed_request:
    case reason_code::body_too_large:
    case reason_code::malformed_json:
    case reason_code::missing_key:
    case reason_code::malformed_key:
    case reason_code::caller_gone:
    case reason_code::deadline_passed:
    case reason_code::claim_body_differs:
    case reason_code::already_ran:
    case reason_code::key_too_old:
    case reason_code::key_from_future:
    case reason_code::quarantined:
        return true;
    default:
        return false;
    }
}

} // namespace

void record_request(retry_budget& budget, retry_options const& options,
                    mono_time now)
{
    refill(budget, options, now);
    budget.tokens =
        std::min(budget.tokens + options.budget_ratio, options.budget_limit);
}

retry_decision decide(retry_budget& budget, retry_options const& options,
                      request_progress const& progress,
                      attempt_failure const& failure, mono_time now,
                      std::uint64_t random_bits)
{
    retry_decision decision;
    if (!may_run_again(progress) || is_final(failure.why.code))
    {
        decision.why = failure.why.code;
        return decision;
    }
    if (progress.attempts >= options.attempts_limit)
    {
        decision.why = reason_code::attempts_spent;
        return decision;
    }
    mono_time const at =
        now + delay_of(options, progress, failure, random_bits);
    if (at + options.time_left_min > progress.deadline)
    {
        decision.why = reason_code::deadline_unreachable;
        return decision;
    }
    if (failure.has_arrived && !spend(budget, options, now))
    {
        decision.why = reason_code::retry_budget_spent;
        return decision;
    }
    decision.is_retry = true;
    decision.at = at;
    return decision;
}

bool may_hedge(retry_budget& budget, retry_options const& options,
               request_progress const& progress, microseconds waited,
               microseconds first_token_usual, mono_time now)
{
    if (!progress.is_idempotent || progress.has_output ||
        progress.attempts != 1)
        return false;
    std::chrono::duration<double, std::micro> const usual = first_token_usual;
    auto const hedge_delay =
        std::max<std::chrono::duration<double, std::micro>>(
            usual * options.hedge_factor, options.hedge_delay_min);
    if (waited < hedge_delay || now + options.time_left_min > progress.deadline)
        return false;
    return spend(budget, options, now);
}

} // namespace jujubestand::retries
