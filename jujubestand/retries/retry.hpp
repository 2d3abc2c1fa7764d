#ifndef JUJUBESTAND_RETRIES_RETRY_HPP
#define JUJUBESTAND_RETRIES_RETRY_HPP

#include <chrono>
#include <cstdint>
#include <jujubestand/core/reason.hpp>
#include <jujubestand/core/time.hpp>
#include <jujubestand/core/verdict.hpp>
#include <limits>

namespace jujubestand::retries
{

/// \brief Limits of retries and hedges.
struct retry_options
{
    std::uint32_t attempts_limit = 4;
    /// Retries and hedges per first attempt, in the long run.
    double budget_ratio = 0.1;
    /// Maximum balance of the retry budget.
    double budget_limit = 20.0;
    /// Part of the balance that is left for requests with output.
    double budget_kept_back = 0;
    /// Turn of this process with a retry of a reserve that it shares; it adds
    /// one to the budget as each turn begins. 0: none.
    std::uint64_t budget_turn = 0;
    /// Retries allowed per second, however little traffic there is.
    double budget_per_second = 0.5;
    /// Before this time a new budget holds no more than its share of the
    /// requests since; at this time it is filled. For processes that share one
    /// limit: a restarted one must not spend again what it spent before.
    mono_time filled_from{};
    std::chrono::milliseconds backoff_base{10};
    std::chrono::milliseconds backoff_limit{1'000};
    /// Retries with less time than this before the deadline are not made.
    std::chrono::milliseconds time_left_min{20};
    /// A hedge starts when the first token takes longer than this multiple of
    /// a high percentile of the time to first token.
    double hedge_factor = 2.0;
    std::chrono::milliseconds hedge_delay_min{50};
};

/// \brief Token bucket of retries, bounded by `budget_limit`. Starts full, so
/// that a restarted entry can retry during a failure, unless
/// `retry_options::filled_from` is later.
struct retry_budget
{
    /// More than any limit: the first use reduces it to the limit in force.
    double tokens = std::numeric_limits<double>::max();
    mono_time refilled_at;
    /// It is yet to be filled.
    bool awaits_filling = false;
    /// Last turn that added a retry.
    std::uint64_t turn = 0;
};

/// \brief State of a request after a failed attempt.
struct request_progress
{
    std::uint32_t attempts = 1;
    /// Worst verdict of the attempts so far, including this failure.
    verdict worst = verdict::not_run;
    bool is_idempotent = false;
    /// Part of an answer has already been sent to the caller.
    bool has_output = false;
    mono_time deadline;
};

/// \brief One failed attempt.
struct attempt_failure
{
    verdict outcome = verdict::may_have_run;
    reason why;
    microseconds retry_after{0};
    /// Another upstream can be tried immediately, regardless of `retry_after`.
    bool has_alternative = false;
    /// Part of the attempt reached an upstream. If nothing did, the upstream
    /// bore no load and the next attempt costs no budget.
    bool has_arrived = true;
};

/// \brief Whether to try again, and when.
struct retry_decision
{
    bool is_retry = false;
    mono_time at;
    /// Set if `is_retry` is false.
    reason_code why = reason_code::none;
};

/// \brief Records a first attempt, which adds `budget_ratio` to the budget.
void record_request(retry_budget& budget, retry_options const& options,
                    mono_time now);

/// \brief Decides whether to retry: the verdict alone determines whether a
/// retry is safe; budget, attempts and deadline whether it is worthwhile.
/// \param random_bits source of the jitter
[[nodiscard]] retry_decision decide(retry_budget& budget,
                                    retry_options const& options,
                                    request_progress const& progress,
                                    attempt_failure const& failure,
                                    mono_time now, std::uint64_t random_bits);

/// \brief Whether a hedge, which is a second attempt in parallel to the first,
/// may start; spends budget if so.
/// \param first_token_usual high percentile of the time to first token
[[nodiscard]] bool may_hedge(retry_budget& budget, retry_options const& options,
                             request_progress const& progress,
                             microseconds waited,
                             microseconds first_token_usual, mono_time now);

} // namespace jujubestand::retries

#endif
