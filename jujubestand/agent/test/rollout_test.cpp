#include <gtest/gtest.h>
#include <jujubestand/agent/rollout.hpp>
#include <optional>

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

rollout ready(std::size_t index, std::size_t engine_count)
{
    rollout state;
    state.fence = 7;
    state.pool_index = index;
    state.pool_size = engine_count;
    return state;
}

/// First time in ms from `start_ms` on, in steps of 10 ms, at which an order is
/// due; -1 if there is none within 20 s.
int first_order(rollout& state, status::engine_report const& report,
                int start_ms)
{
    for (int ms = start_ms; ms < start_ms + 20'000; ms += 10)
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
    for (std::size_t index = 0; index < 20; ++index)
    {
        auto state = ready(index, 20);
        record_request(state, "m", 2, at(1'000));
        ++starts[first_order(state, engine(1, 0), 1'000)];
    }
    EXPECT_EQ(starts.size(), 5U);
    for (auto const& [when, count] : starts)
        EXPECT_EQ(count, 4);
}

// Busy engines all waited for their long calls until one and the same time, and
// then loaded together: for seconds no engine took calls, and those that waited
// were sent to the first ones back all at once (GONE).
TEST(rollout, engines_with_long_calls_load_a_few_at_a_time)
{
    std::map<int, int> starts;
    for (std::size_t index = 0; index < 20; ++index)
    {
        auto state = ready(index, 20);
        state.limits.long_call_wait_limit = std::chrono::milliseconds{5'400};
        update_running_calls(state, {1}, at(0));
        record_request(state, "m", 2, at(1'000));
        ++starts[first_order(state, engine(1, 0), 1'000)];
    }
    EXPECT_EQ(starts.size(), 5U);
    for (auto const& [when, count] : starts)
    {
        EXPECT_EQ(count, 4);
        EXPECT_LE(when, 1'000 + 5'400 + 500);
    }
}

// Busy engines of a pool of 49 waited for 10 s and then loaded within 2 s, more
// than could load at a time: no engine took calls for 4 s.
TEST(rollout, groups_of_busy_engines_have_time_to_load_one_after_the_other)
{
    constexpr std::size_t engine_count = 49;
    constexpr int load_ms = 1'000;
    std::map<int, int> starts;
    for (std::size_t index = 0; index < engine_count; ++index)
    {
        auto state = ready(index, engine_count);
        state.limits.long_call_wait_limit = std::chrono::milliseconds{12'000};
        update_running_calls(state, {1}, at(0));
        record_request(state, "m", 2, at(1'000));
        ++starts[first_order(state, engine(1, 0), 1'000)];
    }
    int before = 0;
    for (auto const& [when, count] : starts)
    {
        EXPECT_LE(count, 9);
        EXPECT_GE(when - before, load_ms);
        before = when;
    }
    EXPECT_LE(before, 1'000 + 12'000 + 500);
}

// With a short bound on old weights, an even part of the time would be less
// than the interval between groups that are not busy.
TEST(rollout, groups_of_busy_engines_keep_their_interval_where_time_is_short)
{
    std::optional<int> before;
    for (std::size_t const index : {0U, 2U, 4U, 6U, 8U})
    {
        auto state = ready(index, 9);
        state.limits.long_call_wait_limit = std::chrono::milliseconds{2'400};
        update_running_calls(state, {1}, at(0));
        record_request(state, "m", 2, at(1'000));
        int const when = first_order(state, engine(1, 0), 1'000);
        if (before)
        {
            EXPECT_GE(when - *before, state.limits.group_interval.count());
        }
        before = when;
    }
}

TEST(rollout, an_order_has_the_newest_version_and_the_accepted_count)
{
    auto state = ready(0, 9);
    EXPECT_TRUE(record_request(state, "m", 2, at(1'000)));
    EXPECT_TRUE(record_request(state, "m", 3, at(1'050)));
    EXPECT_FALSE(record_request(state, "m", 2, at(1'060)));
    int const when = first_order(state, engine(1, 4), 1'000);
    ASSERT_GT(when, 0);
    state.ordered_at.reset();
    auto const issued_order = next_order(state, engine(1, 4), at(when + 10));
    ASSERT_TRUE(issued_order);
    EXPECT_EQ(issued_order->version, 3U);
    EXPECT_EQ(issued_order->orders_accepted, 4U);
    EXPECT_EQ(issued_order->fence, 7U);
}

// An engine that refused an order and asked for a pause got it again 250 ms
// later (BUDGET).
TEST(rollout, an_order_waits_for_the_end_of_a_pause)
{
    auto state = ready(0, 9);
    record_request(state, "m", 2, at(1'000));
    state.paused_until = at(9'000);
    int const when = first_order(state, engine(1, 0), 1'000);
    EXPECT_GE(when, 9'000);
}

// An order was sent on top of the calls that the engine had limited.
TEST(rollout, an_order_waits_for_its_permit)
{
    auto state = ready(0, 9);
    record_request(state, "m", 2, at(1'000));
    state.is_order_permitted = false;
    EXPECT_EQ(first_order(state, engine(1, 0), 1'000), -1);
    EXPECT_TRUE(state.is_permit_awaited);
    state.is_order_permitted = true;
    EXPECT_TRUE(next_order(state, engine(1, 0), at(22'000)));
    EXPECT_FALSE(state.is_permit_awaited);
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

TEST(rollout, notice_precedes_the_order)
{
    auto state = ready(0, 9);
    record_request(state, "m", 2, at(1'000));
    EXPECT_TRUE(is_preparing(state, engine(1, 0), at(1'000)));
    EXPECT_GE(first_order(state, engine(1, 0), 1'000),
              1'000 + state.limits.notice_period.count());
    EXPECT_FALSE(is_preparing(state, engine(2, 1), at(3'000)));
}

TEST(rollout, loads_wait_for_long_calls_up_to_a_limit)
{
    auto state = ready(8, 9);
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
TEST(rollout, a_request_of_unknown_age_does_not_wait_for_long_calls)
{
    auto state = ready(0, 9);
    update_running_calls(state, {11}, at(0));
    record_request(state, "m", 2, at(1'000), false);
    EXPECT_LE(first_order(state, engine(1, 0), 1'000), 1'300);
}

TEST(rollout, an_order_waits_briefly_for_prefill)
{
    auto state = ready(0, 9);
    record_request(state, "m", 2, at(0));
    auto prefilling_engine = engine(1, 0);
    prefilling_engine.prefilling = 1;
    int const when = first_order(state, prefilling_engine, 0);
    EXPECT_GE(when, state.limits.queue_wait_limit.count());
    EXPECT_LE(when, state.limits.queue_wait_limit.count() + 300);
}

TEST(rollout, load_time_is_reported)
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
