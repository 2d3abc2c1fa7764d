#include <jujubestand/dispatch/failures.hpp>

#include <algorithm>
#include <cmath>
#include <jujubestand/dispatch/standing.hpp>

namespace jujubestand::dispatch
{

namespace
{

/// An answer that reports a failure is weaker evidence of a faulty upstream
/// than no answer.
constexpr double failed_weight = 0.4;
constexpr double unreachable_weight = 2.0;
constexpr double failures_limit = 8.0;

double failure_weight(send_outcome outcome) noexcept
{
    switch (outcome)
    {
    case send_outcome::failed:
        return failed_weight;
    case send_outcome::unreachable:
        return unreachable_weight;
    case send_outcome::cut:
        return 1.0;
    case send_outcome::served:
    case send_outcome::refused:
    case send_outcome::unproven:
    case send_outcome::cancelled:
        break;
    }
    return 0;
}

// Failures that were counted at `failures_at` have faded since.
double faded(state const& dispatcher, upstream const& target, double failures,
             mono_time now)
{
    if (failures <= 0)
        return 0;
    using milliseconds = std::chrono::duration<double, std::milli>;
    double const halves =
        milliseconds(now - target.failures_at).count() /
        static_cast<double>(dispatcher.limits.failure_half_life.count());
    return failures * std::exp2(-std::max(0.0, halves));
}

// Calls that were in flight together fail for one cause: only a call that was
// sent after the last failure was known tells whether the upstream still fails.
bool is_same_failure(upstream const& target, mono_time sent_at, mono_time now)
{
    return now < target.avoid_until && sent_at <= target.stepped_at;
}

void record_step(upstream& target, double weight, mono_time sent_at,
                 mono_time now)
{
    if (is_same_failure(target, sent_at, now))
    {
        target.failure_steps = std::max(target.failure_steps, weight);
        return;
    }
    target.failure_steps =
        std::min(target.failure_steps + weight, failures_limit);
    target.stepped_at = now;
}

bool has_other_available(state const& dispatcher, upstream const& target,
                         mono_time now)
{
    return std::any_of(dispatcher.upstreams.begin(), dispatcher.upstreams.end(),
                       [&](auto const& row)
                       {
                           return row.first != target.key &&
                                  row.second.record.pool ==
                                      target.record.pool &&
                                  is_available(dispatcher, row.second, now);
                       });
}

// While nothing else of its pool takes calls, these wait out the pause: it is
// no longer than the failures in a row ask for.
microseconds pause_after_failure(state const& dispatcher,
                                 upstream const& target, mono_time now)
{
    double const failures = has_other_available(dispatcher, target, now)
                                ? target.failures
                                : target.failure_steps;
    auto const pause = std::chrono::duration_cast<microseconds>(
        std::chrono::duration<double, std::milli>(
            static_cast<double>(dispatcher.limits.avoid_base.count()) *
            std::exp2(failures - 1)));
    return std::min<microseconds>(pause, dispatcher.limits.avoid_limit);
}

} // namespace

// A refusal means that the upstream is full or loads weights, so it is avoided
// only briefly.
void record_outcome(state const& dispatcher, upstream& target,
                    send_outcome outcome, mono_time sent_at, mono_time now)
{
    target.failures = faded(dispatcher, target, target.failures, now);
    target.failure_steps = faded(dispatcher, target, target.failure_steps, now);
    target.failures_at = now;
    if (outcome == send_outcome::served)
    {
        constexpr double success_decay = 0.6;
        target.failures *= success_decay;
        target.failure_steps *= success_decay;
        return;
    }
    double const weight = failure_weight(outcome);
    target.failures = std::min(target.failures + weight, failures_limit);
    if (weight > 0)
        record_step(target, weight, sent_at, now);
    if (outcome == send_outcome::refused || outcome == send_outcome::unproven)
    {
        constexpr std::chrono::milliseconds refused_pause{60};
        target.avoid_until = std::max(target.avoid_until, now + refused_pause);
    }
    if (outcome == send_outcome::unreachable || outcome == send_outcome::cut)
        target.avoid_until =
            std::max(target.avoid_until,
                     now + pause_after_failure(dispatcher, target, now));
}

double recent_failures(state const& dispatcher, upstream const& target,
                       mono_time now)
{
    return faded(dispatcher, target, target.failures, now);
}

} // namespace jujubestand::dispatch
