#include <gtest/gtest.h>
#include <jujubestand/dispatch/test/overload.hpp>

// Waiting calls under steady overload, bursts and the loss of upstreams.
namespace jujubestand::dispatch
{

namespace
{

kind_result total_of(std::vector<kind_result> const& results)
{
    kind_result total;
    for (auto const& row : results)
    {
        total.calls += row.calls;
        total.in_time += row.in_time;
        total.late += row.late;
        total.refused += row.refused;
        total.left_waiting += row.left_waiting;
        total.left_sent += row.left_sent;
        total.accepted_tokens += row.accepted_tokens;
        total.useful_tokens += row.useful_tokens;
    }
    return total;
}

/// Offered tokens per millisecond.
double demand_of(std::vector<call_kind> const& kinds)
{
    double tokens_per_second = 0;
    for (auto const& kind : kinds)
        tokens_per_second += kind.calls_per_second * kind.tokens;
    return tokens_per_second / 1'000;
}

// What holds under any overload: no caller leaves before its call is refused or
// served, what the pool accepts is in time, and the pool is used.
void expect_useful(overload_plan const& plan,
                   std::vector<kind_result> const& results, double useful_share)
{
    auto const total = total_of(results);
    auto const name = testing::Message()
                      << plan.tokens_per_ms << " tokens/ms, seed " << plan.seed;
    EXPECT_EQ(total.left_waiting, 0) << name;
    EXPECT_EQ(total.left_sent, 0) << name;
    EXPECT_EQ(total.in_time + total.late + total.refused, total.calls) << name;
    EXPECT_GT(total.useful_tokens, useful_share * total.accepted_tokens)
        << name;
    double const offered_ms = to_ms(plan.duration);
    EXPECT_GT(total.accepted_tokens, 0.9 * plan.tokens_per_ms * offered_ms)
        << name;
}

} // namespace

// On the worst day with quotas half of the short streams finished, after 7.0 s
// at the median against a target of 0.8 s, while long ones took 1.6 s.
TEST(overload, the_urgent_kind_is_in_time_and_the_patient_one_has_its_fifth)
{
    for (double const factor : {1.5, 3.0})
    {
        for (unsigned seed = 1; seed <= 5; ++seed)
        {
            overload_plan plan;
            plan.kinds = {urgent_kind(24), patient_kind(11)};
            plan.tokens_per_ms = demand_of(plan.kinds) / factor;
            plan.seed = seed;
            auto const results = overload(plan).run();
            expect_useful(plan, results, 0.9);
            EXPECT_GT(results[0].in_time, 0.97 * results[0].calls) << seed;
            EXPECT_GT(results[1].accepted_tokens,
                      0.2 * total_of(results).accepted_tokens)
                << seed;
        }
    }
}

// More urgent calls than the pool can take left nothing to patient ones.
TEST(overload, an_urgent_kind_beyond_the_pool_leaves_a_fifth)
{
    for (double const factor : {1.5, 3.0})
    {
        for (unsigned seed = 1; seed <= 5; ++seed)
        {
            overload_plan plan;
            plan.kinds = {urgent_kind(120), patient_kind(5)};
            plan.tokens_per_ms = demand_of(plan.kinds) / factor;
            plan.seed = seed;
            auto const results = overload(plan).run();
            expect_useful(plan, results, 0.9);
            EXPECT_GT(results[1].accepted_tokens,
                      0.19 * total_of(results).accepted_tokens)
                << seed;
            EXPECT_GT(results[0].accepted_tokens,
                      0.7 * total_of(results).accepted_tokens)
                << seed;
        }
    }
}

// A gateway with few callers knows the rate less well: a patient call takes as
// long as the target of an urgent one.
TEST(overload, few_calls_are_enough_for_an_estimate)
{
    for (double const factor : {1.5, 3.0})
    {
        for (unsigned seed = 1; seed <= 5; ++seed)
        {
            overload_plan plan;
            plan.kinds = {urgent_kind(6), patient_kind(2.7)};
            plan.tokens_per_ms = demand_of(plan.kinds) / factor;
            plan.seed = seed;
            expect_useful(plan, overload(plan).run(), 0.88);
        }
    }
}

// The two largest teams sent 56% of all calls; the others waited behind them.
TEST(overload, a_burst_of_one_team_costs_that_team)
{
    for (unsigned seed = 1; seed <= 5; ++seed)
    {
        overload_plan plan;
        for (char const* team : {"quiet a", "quiet b", "quiet c", "quiet d"})
        {
            plan.kinds.push_back(urgent_kind(4));
            plan.kinds.back().team = team;
        }
        plan.kinds.push_back(urgent_kind(100));
        plan.kinds.back().team = "burst";
        plan.kinds.back().from = milliseconds{5'000};
        plan.kinds.back().until = milliseconds{12'000};
        plan.tokens_per_ms = 24;
        plan.seed = seed;
        auto const results = overload(plan).run();
        for (std::size_t quiet = 0; quiet < 4; ++quiet)
            EXPECT_GT(results[quiet].in_time, 0.96 * results[quiet].calls)
                << seed;
        // What the others leave goes to the burst.
        EXPECT_GT(results[4].in_time, 7 * 6) << seed;
        EXPECT_EQ(total_of(results).left_sent, 0);
        EXPECT_EQ(total_of(results).left_waiting, 0);
    }
}

// A burst of long streams made short ones wait.
TEST(overload, a_burst_of_one_kind_costs_that_kind)
{
    for (unsigned seed = 1; seed <= 5; ++seed)
    {
        overload_plan plan;
        plan.kinds = {urgent_kind(24), patient_kind(3), patient_kind(40)};
        plan.kinds[2].from = milliseconds{5'000};
        plan.kinds[2].until = milliseconds{10'000};
        plan.tokens_per_ms = 60;
        plan.seed = seed;
        auto const results = overload(plan).run();
        EXPECT_GT(results[0].in_time, 0.98 * results[0].calls) << seed;
        EXPECT_EQ(total_of(results).left_sent, 0);
        EXPECT_EQ(total_of(results).left_waiting, 0);
    }
}

// Calls that the remaining upstreams could not serve in time waited on.
TEST(overload, the_loss_of_half_of_the_upstreams_is_seen_in_the_next_review)
{
    for (unsigned seed = 1; seed <= 5; ++seed)
    {
        overload_plan plan;
        plan.kinds = {urgent_kind(90)};
        plan.tokens_per_ms = demand_of(plan.kinds) / 1.5;
        plan.loss_at = milliseconds{10'000};
        plan.seed = seed;
        overload run(plan);
        auto const results = run.run();
        EXPECT_GT(run.refused_at_loss, 2U) << seed;
        EXPECT_EQ(results[0].left_waiting, 0) << seed;
        EXPECT_EQ(results[0].left_sent, 0) << seed;
        EXPECT_GT(results[0].useful_tokens, 0.94 * results[0].accepted_tokens)
            << seed;
    }
}

// Without overload the queue must cost no call anything.
TEST(overload, nothing_is_refused_while_the_pool_has_room)
{
    for (unsigned seed = 1; seed <= 5; ++seed)
    {
        overload_plan plan;
        plan.kinds = {urgent_kind(24), patient_kind(11)};
        plan.tokens_per_ms = demand_of(plan.kinds) / 0.7;
        plan.seed = seed;
        auto const total = total_of(overload(plan).run());
        EXPECT_EQ(total.in_time, total.calls) << seed;
    }
}

} // namespace jujubestand::dispatch
