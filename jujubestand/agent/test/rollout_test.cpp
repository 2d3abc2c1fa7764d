#include <gtest/gtest.h>
#include <jujubestand/agent/rollout.hpp>

namespace jujubestand::agent
{

namespace
{

mono_time at(int ms)
{
    return mono_time{std::chrono::milliseconds{ms}};
}

status::engine_report engine(std::uint64_t version, std::uint64_t orders)
{
    status::engine_report report;
    report.versions["m"] = version;
    report.orders_accepted = orders;
    return report;
}

rollout ready(std::size_t place, std::size_t engines)
{
    rollout state;
    state.fence = 7;
    state.pool_index = place;
    state.pool_size = engines;
    return state;
}

/// First time in ms from `from` on, in steps of 10 ms, at which an order is
/// due; -1 if there is none within 20 s.
int first_order(rollout& state, status::engine_report const& report, int from)
{
    for (int ms = from; ms < from + 20'000; ms += 10)
    {
        if (next_order(state, report, at(ms)))
            return ms;
    }
    return -1;
}

} // namespace

TEST(rollout, engines_load_a_few_at_a_time)
{
    std::map<int, int> starts;
    for (std::size_t place = 0; place < 20; ++place)
    {
        auto state = ready(place, 20);
        record_request(state, "m", 2, at(1'000));
        ++starts[first_order(state, engine(1, 0), 1'000)];
    }
    EXPECT_EQ(starts.size(), 5U);
    for (auto const& [when, count] : starts)
        EXPECT_EQ(count, 4);
}

TEST(rollout, an_order_names_the_newest_version_and_what_came_before)
{
    auto state = ready(0, 9);
    EXPECT_TRUE(record_request(state, "m", 2, at(1'000)));
    EXPECT_TRUE(record_request(state, "m", 3, at(1'050)));
    EXPECT_FALSE(record_request(state, "m", 2, at(1'060)));
    int const when = first_order(state, engine(1, 4), 1'000);
    ASSERT_GT(when, 0);
    state.ordered_at.reset();
    auto const given = next_order(state, engine(1, 4), at(when + 10));
    ASSERT_TRUE(given);
    EXPECT_EQ(given->version, 3U);
    EXPECT_EQ(given->orders_accepted, 4U);
    EXPECT_EQ(given->fence, 7U);
}

TEST(rollout, a_lost_order_is_repeated_for_the_same_state_only)
{
    auto state = ready(0, 9);
    record_request(state, "m", 2, at(0));
    int const first = first_order(state, engine(1, 0), 0);
    on_order_response(state, order_response::no_response, at(first));
    EXPECT_FALSE(next_order(state, engine(1, 0), at(first + 100)));
    int const second = first_order(state, engine(1, 0), first + 100);
    EXPECT_GE(second - first, state.limits.order_retry_interval.count());
    EXPECT_FALSE(next_order(state, engine(2, 1), at(second + 2'000)));
}

TEST(rollout, nothing_is_ordered_without_a_fence_or_while_busy)
{
    auto state = ready(0, 9);
    record_request(state, "m", 2, at(0));
    auto busy = engine(1, 0);
    busy.is_busy = true;
    EXPECT_EQ(first_order(state, busy, 0), -1);
    on_order_response(state, order_response::stale_fence, at(0));
    EXPECT_FALSE(state.fence);
    EXPECT_EQ(first_order(state, engine(1, 0), 0), -1);
    EXPECT_FALSE(is_preparing(state, engine(1, 0), at(5'000)));
}

TEST(rollout, gateways_are_told_before_the_order)
{
    auto state = ready(0, 9);
    record_request(state, "m", 2, at(1'000));
    EXPECT_TRUE(is_preparing(state, engine(1, 0), at(1'000)));
    EXPECT_GE(first_order(state, engine(1, 0), 1'000),
              1'000 + state.limits.notice_period.count());
    EXPECT_FALSE(is_preparing(state, engine(2, 1), at(3'000)));
}

TEST(rollout, loads_wait_for_long_calls_but_not_for_ever)
{
    auto state = ready(0, 9);
    update_running_calls(state, {11}, at(0));
    record_request(state, "m", 2, at(1'000));
    update_running_calls(state, {11, 12}, at(2'900));
    EXPECT_FALSE(is_preparing(state, engine(1, 0), at(2'900)));
    int const when = first_order(state, engine(1, 0), 1'000);
    EXPECT_GE(when, 1'000 + state.limits.long_call_wait_limit.count());
    EXPECT_LE(when, 1'000 + state.limits.long_call_wait_limit.count() + 500);
}

// hunt-0742-19: a restarted agent took its start for the time of the request
// and waited for long calls again.
TEST(rollout, a_wish_of_unknown_age_is_not_held_back)
{
    auto state = ready(0, 9);
    update_running_calls(state, {11}, at(0));
    record_request(state, "m", 2, at(1'000), false);
    EXPECT_LE(first_order(state, engine(1, 0), 1'000), 1'300);
}

TEST(rollout, calls_that_are_read_hold_an_order_back_briefly)
{
    auto state = ready(0, 9);
    record_request(state, "m", 2, at(0));
    auto reading = engine(1, 0);
    reading.prefilling = 1;
    int const when = first_order(state, reading, 0);
    EXPECT_GE(when, state.limits.queue_wait_limit.count());
    EXPECT_LE(when, state.limits.queue_wait_limit.count() + 300);
}

TEST(rollout, the_time_of_the_load_is_told)
{
    auto state = ready(4, 9);
    EXPECT_FALSE(load_due(state, engine(1, 0), at(0)));
    record_request(state, "m", 2, at(1'000));
    auto const due = load_due(state, engine(1, 0), at(1'000));
    ASSERT_TRUE(due);
    EXPECT_EQ(*due,
              state.limits.notice_period + 2 * state.limits.group_interval);
    EXPECT_EQ(load_due(state, engine(1, 0), at(9'000)), microseconds{0});
}

} // namespace jujubestand::agent
