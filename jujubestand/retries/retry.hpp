#ifndef JUJUBESTAND_RETRIES_RETRY_HPP
#define JUJUBESTAND_RETRIES_RETRY_HPP

#include <chrono>
#include <cstdint>
#include <jujubestand/core/reason.hpp>
#include <jujubestand/core/time.hpp>
#include <jujubestand/core/verdict.hpp>

namespace jujubestand::retries
{

/// \brief Limits of retries and hedges.
struct retry_options
{
    std::uint32_t attempts_limit = 4;
    /// Retries and hedges per first attempt, in the long run.
    double budget_ratio = 0.1;
    /// Retries that an entry may always have saved up.
    double budget_limit = 20.0;
    /// Retries allowed per second, however little traffic there is.
    double budget_per_second = 0.5;
    std::chrono::milliseconds backoff_base{10};
    std::chrono::milliseconds backoff_limit{1'000};
    /// A retry that leaves less than this before the deadline is no use.
    std::chrono::milliseconds time_left_min{20};
    /// A hedge starts when a first token is later than this many times the
    /// slowest usual one.
    double hedge_factor = 2.0;
    std::chrono::milliseconds hedge_delay_min{50};
};

/// \brief Retries saved up; starts full, so that a restarted entry can serve
/// through a failure, and never above its limit.
struct retry_budget
{
    double saved = 20.0;
    mono_time refilled_at;
};

/// \brief What is known of a request after a failed attempt.
struct request_progress
{
    std::uint32_t attempts = 1;
    /// Worst verdict over its attempts so far, this failure's included.
    verdict worst = verdict::not_run;
    bool is_idempotent = false;
    /// The caller has bytes of an answer already.
    bool has_output = false;
    mono_time deadline;
};

/// \brief One failed attempt.
struct attempt_failure
{
    verdict outcome = verdict::may_have_run;
    reason why;
    microseconds retry_after{0};
    /// Another upstream can be asked at once, whatever `retry_after` says.
    bool has_alternative = false;
    /// Something of it reached an upstream. What did not is no load there, so
    /// the next attempt costs no budget.
    bool has_arrived = true;
};

/// \brief Whether to try again, and when.
struct retry_decision
{
    bool is_retry = false;
    mono_time at;
    /// Why not; set where `is_retry` is false.
    reason_code why = reason_code::none;
};

/// \brief A first attempt was made: saves up a share of a retry.
void take_request(retry_budget& budget, retry_options const& options,
                  mono_time now);

/// \brief Decides from the verdict alone whether a retry is allowed, and
/// from budget, attempts and deadline whether it is worth it.
/// \param draw random bits of the caller's, for the jitter
[[nodiscard]] retry_decision decide(retry_budget& budget,
                                    retry_options const& options,
                                    request_progress const& progress,
                                    attempt_failure const& failure,
                                    mono_time now, std::uint64_t draw);

/// \brief Whether a second attempt may run beside the first.
/// \param first_token_usual time that nearly all first tokens come within
[[nodiscard]] bool may_hedge(retry_budget& budget, retry_options const& options,
                             request_progress const& progress,
                             microseconds waited,
                             microseconds first_token_usual, mono_time now);

} // namespace jujubestand::retries

#endif
