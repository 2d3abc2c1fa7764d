#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <jujubestand/retries/retry.hpp>

namespace jujubestand::retries
{

namespace
{

using namespace std::chrono_literals;

mono_time const start{1s};
retry_options const options;

request_progress progress_of(verdict worst, bool is_idempotent)
{
    request_progress progress;
    progress.worst = worst;
    progress.is_idempotent = is_idempotent;
    progress.deadline = start + 10s;
    return progress;
}

attempt_failure failure_of(verdict outcome)
{
    attempt_failure failure;
    failure.outcome = outcome;
    failure.why.code = reason_code::link_cut_after_send;
    return failure;
}

bool retries(request_progress const& progress, attempt_failure const& failure)
{
    retry_budget budget;
    return decide(budget, options, progress, failure, start, 5).is_retry;
}

} // namespace

TEST(retry, follows_the_verdict)
{
    auto const not_run = failure_of(verdict::not_run);
    auto const may_have_run = failure_of(verdict::may_have_run);
    EXPECT_TRUE(retries(progress_of(verdict::not_run, false), not_run));
    EXPECT_TRUE(retries(progress_of(verdict::not_run, true), not_run));
    EXPECT_TRUE(
        retries(progress_of(verdict::may_have_run, true), may_have_run));
    EXPECT_FALSE(
        retries(progress_of(verdict::may_have_run, false), may_have_run));
}

TEST(retry, refusal_does_not_clear_an_earlier_may_have_run)
{
    EXPECT_FALSE(retries(progress_of(verdict::may_have_run, false),
                         failure_of(verdict::not_run)));
}

TEST(retry, never_after_output)
{
    request_progress progress = progress_of(verdict::may_have_run, true);
    progress.has_output = true;
    EXPECT_FALSE(retries(progress, failure_of(verdict::may_have_run)));
}

TEST(retry, never_past_the_deadline)
{
    request_progress progress = progress_of(verdict::not_run, true);
    progress.deadline = start + 10ms;
    EXPECT_FALSE(retries(progress, failure_of(verdict::not_run)));
}

TEST(retry, retry_after_applies_only_without_an_alternative)
{
    retry_budget budget;
    attempt_failure failure = failure_of(verdict::not_run);
    failure.retry_after = 500ms;
    auto const progress = progress_of(verdict::not_run, true);
    auto const alone = decide(budget, options, progress, failure, start, 0);
    EXPECT_EQ(alone.at, start + 500ms);
    failure.has_alternative = true;
    auto const other = decide(budget, options, progress, failure, start, 0);
    EXPECT_EQ(other.at, start);
}

TEST(retry, budget_bounds_retries_to_a_share_of_traffic)
{
    retry_budget budget;
    std::uint32_t retried = 0;
    for (std::uint32_t request = 0; request < 10'000; ++request)
    {
        record_request(budget, options, start);
        auto const decision =
            decide(budget, options, progress_of(verdict::not_run, true),
                   failure_of(verdict::not_run), start, request);
        retried += decision.is_retry ? 1 : 0;
    }
    EXPECT_LE(retried, 1'000 + 20);
    EXPECT_GE(retried, 990U);
}

TEST(retry, attempts_that_never_arrived_cost_no_budget)
{
    retry_budget budget;
    budget.tokens = 0;
    auto progress = progress_of(verdict::not_run, false);
    auto failure = failure_of(verdict::not_run);
    EXPECT_EQ(decide(budget, options, progress, failure, start, 0).why,
              reason_code::retry_budget_spent);
    failure.has_arrived = false;
    EXPECT_TRUE(decide(budget, options, progress, failure, start, 0).is_retry);
    progress.attempts = options.attempts_limit;
    EXPECT_EQ(decide(budget, options, progress, failure, start, 0).why,
              reason_code::attempts_spent);
}

TEST(retry, attempts_are_bounded)
{
    request_progress progress = progress_of(verdict::not_run, true);
    progress.attempts = options.attempts_limit;
    EXPECT_FALSE(retries(progress, failure_of(verdict::not_run)));
}

TEST(retry, refusals_for_the_requests_own_fault_are_final)
{
    attempt_failure failure = failure_of(verdict::not_run);
    failure.why.code = reason_code::quarantined;
    EXPECT_FALSE(retries(progress_of(verdict::not_run, true), failure));
}

RC_GTEST_PROP(retry, backoff_stays_within_its_bound,
              (std::uint64_t random_bits, std::uint8_t attempts))
{
    retry_budget budget;
    retry_options unlimited = options;
    unlimited.attempts_limit = 1'000;
    request_progress progress = progress_of(verdict::not_run, true);
    progress.attempts = 1U + attempts;
    auto const decision =
        decide(budget, unlimited, progress, failure_of(verdict::not_run), start,
               random_bits);
    RC_ASSERT(decision.is_retry);
    RC_ASSERT(decision.at >= start);
    RC_ASSERT(decision.at <= start + unlimited.backoff_limit);
}

TEST(hedge, only_late_idempotent_requests_without_output)
{
    retry_budget budget;
    auto progress = progress_of(verdict::not_run, true);
    EXPECT_TRUE(may_hedge(budget, options, progress, 400ms, 100ms, start));
    EXPECT_FALSE(may_hedge(budget, options, progress, 150ms, 100ms, start));
    progress.has_output = true;
    EXPECT_FALSE(may_hedge(budget, options, progress, 400ms, 100ms, start));
    progress = progress_of(verdict::not_run, false);
    EXPECT_FALSE(may_hedge(budget, options, progress, 400ms, 100ms, start));
    budget.tokens = 0;
    progress = progress_of(verdict::not_run, true);
    EXPECT_FALSE(may_hedge(budget, options, progress, 400ms, 100ms, start));
}

} // namespace jujubestand::retries
