#include <gtest/gtest.h>
#include <jujubestand/dispatch/dispatch.hpp>
#include <jujubestand/gateway/queue_discipline.hpp>
#include <jujubestand/gateway/wasted_work.hpp>

namespace jujubestand::gateway
{

namespace
{

mono_time at(int ms)
{
    return mono_time{std::chrono::milliseconds{100'000 + ms}};
}

} // namespace

// Under overload a line for each caller that left would use up the rate limit
// of the log.
TEST(wasted_work, is_reported_at_most_once_a_second)
{
    wasted_work work;
    EXPECT_FALSE(take_wasted_work(work, at(0)));
    add_wasted_call(work, 900);
    add_wasted_call(work, 9'250);
    auto const first = take_wasted_work(work, at(10));
    ASSERT_TRUE(first);
    EXPECT_EQ(first->calls, 2U);
    EXPECT_EQ(first->tokens, 10'150);
    add_wasted_call(work, 900);
    EXPECT_FALSE(take_wasted_work(work, at(1'000)));
    auto const second = take_wasted_work(work, at(1'010));
    ASSERT_TRUE(second);
    EXPECT_EQ(second->calls, 1U);
    EXPECT_FALSE(take_wasted_work(work, at(3'000)));
}

// Deployments without quotas keep the order that they had.
TEST(queue_discipline, is_by_target_without_quotas)
{
    dispatch::state dispatcher;
    traffic::tables tables;
    tables.teams.emplace_back().name = "a";
    apply_queue_discipline(dispatcher, tables);
    EXPECT_EQ(dispatcher.limits.queue_discipline,
              dispatch::queue_discipline::by_target);
    dispatch::set_queue_discipline(dispatcher,
                                   dispatch::queue_discipline::useful_first);
    apply_queue_discipline(dispatcher, tables);
    EXPECT_EQ(dispatcher.limits.queue_discipline,
              dispatch::queue_discipline::by_target);
}

// The order by use serves teams that compete; it must follow the tables.
TEST(queue_discipline, is_useful_first_while_a_team_has_a_quota)
{
    dispatch::state dispatcher;
    traffic::tables tables;
    tables.teams.resize(2);
    tables.teams.back().quota.emplace().rate = 10;
    apply_queue_discipline(dispatcher, tables);
    EXPECT_EQ(dispatcher.limits.queue_discipline,
              dispatch::queue_discipline::useful_first);
}

} // namespace jujubestand::gateway
