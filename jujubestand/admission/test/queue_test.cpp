#include <algorithm>
#include <gtest/gtest.h>
#include <jujubestand/admission/test/queue_items.hpp>

namespace jujubestand::admission
{

namespace
{

using namespace std::chrono_literals;

} // namespace

TEST(queue, large_team_does_not_starve_a_small_one)
{
    queue_state state(single_slot_options());
    for (std::uint64_t number = 0; number < 100; ++number)
        ASSERT_TRUE(
            offer(state, item_of(number, "large", 100), start).is_accepted);
    ASSERT_TRUE(offer(state, item_of(500, "small", 100), start).is_accepted);
    auto const order = drain(state);
    auto const place =
        std::find(order.begin(), order.end(), request_of(500)) - order.begin();
    EXPECT_LE(place, 2);
}

TEST(queue, shares_are_by_tokens_not_requests)
{
    queue_state state(single_slot_options());
    for (std::uint64_t number = 0; number < 20; ++number)
    {
        ASSERT_TRUE(
            offer(state, item_of(number, "long", 400), start).is_accepted);
        ASSERT_TRUE(offer(state, item_of(100 + number, "short", 100), start)
                        .is_accepted);
    }
    auto order = drain(state);
    order.resize(20);
    auto const longer = std::count_if(order.begin(), order.end(),
                                      [](request_id const& each)
                                      {
                                          return each.low < 100;
                                      });
    EXPECT_NEAR(static_cast<double>(longer), 4.0, 1.0);
}

TEST(queue, urgent_goes_first)
{
    queue_state state(single_slot_options());
    queue_item urgent = item_of(2, "b", 10);
    urgent.priority = 0;
    ASSERT_TRUE(offer(state, item_of(1, "a", 10), start).is_accepted);
    ASSERT_TRUE(offer(state, urgent, start).is_accepted);
    EXPECT_EQ(drain(state).front(), request_of(2));
}

TEST(queue, limits_prompt_tokens_at_the_engine)
{
    queue_options options;
    options.slots = 100;
    options.ahead_tokens = 1000;
    queue_state state(options);
    for (std::uint64_t number = 0; number < 10; ++number)
        ASSERT_TRUE(offer(state, item_of(number, "a", 400), start).is_accepted);
    EXPECT_EQ(schedule(state, start).started.size(), 2U);
    EXPECT_TRUE(schedule(state, start).started.empty());
    record_first_token(state, request_of(0), start);
    EXPECT_EQ(schedule(state, start).started.size(), 1U);
}

TEST(queue, prompt_token_limit_grows_with_engine_speed)
{
    queue_options options;
    options.slots = 100;
    options.ahead_tokens = 1000;
    options.ahead_time = 100ms;
    options.prefill_us_per_token = 25;
    queue_state state(options);
    for (std::uint64_t number = 0; number < 20; ++number)
        ASSERT_TRUE(offer(state, item_of(number, "a", 400), start).is_accepted);
    EXPECT_EQ(schedule(state, start).started.size(), 10U);
}

TEST(queue, prompt_over_the_limit_starts_on_an_idle_engine)
{
    queue_options options;
    options.ahead_tokens = 1000;
    queue_state state(options);
    ASSERT_TRUE(offer(state, item_of(1, "a", 50'000), start).is_accepted);
    EXPECT_EQ(schedule(state, start).started.size(), 1U);
}

TEST(queue, expired_request_is_dropped_before_its_turn)
{
    queue_state state(single_slot_options());
    queue_item late = item_of(2, "a", 1);
    late.deadline = start + 10ms;
    ASSERT_TRUE(offer(state, item_of(1, "a", 1), start).is_accepted);
    ASSERT_EQ(schedule(state, start).started.size(), 1U);
    ASSERT_TRUE(offer(state, late, start).is_accepted);
    EXPECT_EQ(next_expiry(state), start + 10ms);
    schedule_result const step = schedule(state, start + 10ms);
    EXPECT_TRUE(step.started.empty());
    ASSERT_EQ(step.dropped.size(), 1U);
    EXPECT_EQ(step.dropped[0].why.code, reason_code::deadline_passed);
    EXPECT_FALSE(cancel(state, request_of(2)));
    record_finish(state, request_of(1), start + 20ms);
    EXPECT_TRUE(schedule(state, start + 20ms).started.empty());
}

TEST(queue, refuses_unreachable_first_token_deadline)
{
    queue_options options;
    options.prefill_us_per_token = 1000;
    options.ahead_tokens = 1;
    queue_state state(options);
    ASSERT_TRUE(offer(state, item_of(1, "a", 500), start).is_accepted);
    queue_item hurried = item_of(2, "b", 100);
    hurried.first_token_deadline = start + 550ms;
    offer_result const result = offer(state, hurried, start);
    EXPECT_FALSE(result.is_accepted);
    EXPECT_EQ(result.why.code, reason_code::deadline_unreachable);
    EXPECT_GE(result.retry_after, options.retry_after_min);
    hurried.first_token_deadline = start + 650ms;
    EXPECT_TRUE(offer(state, hurried, start).is_accepted);
}

TEST(queue, is_bounded_and_urgent_requests_displace_others)
{
    queue_options options = single_slot_options();
    options.waiting_limit = 3;
    queue_state state(options);
    for (std::uint64_t number = 0; number < 3; ++number)
        ASSERT_TRUE(offer(state, item_of(number, "a", 1), start).is_accepted);
    offer_result const refused = offer(state, item_of(9, "a", 1), start);
    EXPECT_EQ(refused.why.code, reason_code::queue_full);
    queue_item urgent = item_of(10, "b", 1);
    urgent.priority = 0;
    offer_result const taken = offer(state, urgent, start);
    EXPECT_TRUE(taken.is_accepted);
    ASSERT_EQ(taken.displaced.size(), 1U);
    EXPECT_EQ(taken.displaced[0], request_of(2));
    EXPECT_EQ(state.waiting.size(), 3U);
    auto const order = drain(state);
    EXPECT_EQ(std::count(order.begin(), order.end(), request_of(2)), 0);
}

TEST(queue, token_limit_applies_per_team)
{
    queue_options options = single_slot_options();
    options.team_tokens_limit = 100;
    queue_state state(options);
    ASSERT_TRUE(offer(state, item_of(1, "a", 80), start).is_accepted);
    EXPECT_EQ(offer(state, item_of(2, "a", 80), start).why.code,
              reason_code::team_limit);
    EXPECT_TRUE(offer(state, item_of(3, "b", 80), start).is_accepted);
}

TEST(queue, cancelled_request_never_starts)
{
    queue_state state(single_slot_options());
    ASSERT_TRUE(offer(state, item_of(1, "a", 1), start).is_accepted);
    ASSERT_TRUE(offer(state, item_of(2, "a", 1), start).is_accepted);
    EXPECT_TRUE(cancel(state, request_of(1)));
    EXPECT_FALSE(cancel(state, request_of(1)));
    EXPECT_EQ(drain(state), std::vector{request_of(2)});
}

TEST(queue, cancel_all_removes_all_waiting_requests)
{
    queue_state state(single_slot_options());
    ASSERT_TRUE(offer(state, item_of(1, "a", 1), start).is_accepted);
    ASSERT_TRUE(offer(state, item_of(2, "b", 1), start).is_accepted);
    EXPECT_EQ(cancel_all(state).size(), 2U);
    EXPECT_TRUE(schedule(state, start).started.empty());
    EXPECT_FALSE(next_expiry(state).has_value());
}

TEST(queue, expected_wait_includes_requests_served_before)
{
    queue_options options;
    options.prefill_us_per_token = 10;
    queue_state state(options);
    EXPECT_EQ(expected_wait(state, 1, start), 0us);
    ASSERT_TRUE(offer(state, item_of(1, "a", 100), start).is_accepted);
    EXPECT_EQ(expected_wait(state, 1, start), 1000us);
    EXPECT_EQ(expected_wait(state, 0, start), 0us);
    ASSERT_EQ(schedule(state, start).started.size(), 1U);
    EXPECT_EQ(expected_wait(state, 0, start), 1000us);
    record_first_token(state, request_of(1), start);
    EXPECT_EQ(expected_wait(state, 0, start), 0us);
}

TEST(queue, expected_wait_includes_stalled_time)
{
    queue_options options;
    options.prefill_us_per_token = 10;
    queue_state state(options);
    ASSERT_TRUE(offer(state, item_of(1, "a", 100), start).is_accepted);
    ASSERT_EQ(schedule(state, start).started.size(), 1U);
    EXPECT_EQ(expected_wait(state, 1, start + 100ms), 1000us);
    EXPECT_EQ(expected_wait(state, 1, start + 2s), 2s + 1000us);
    record_progress(state, start + 2s);
    EXPECT_EQ(expected_wait(state, 1, start + 2s), 1000us);
}

TEST(queue, learns_prefill_cost_per_token)
{
    queue_options options;
    options.prefill_us_per_token = 10;
    queue_state state(options);
    for (std::uint64_t number = 0; number < 200; ++number)
    {
        mono_time const at = start + number * 1s;
        ASSERT_TRUE(offer(state, item_of(number, "a", 1000), at).is_accepted);
        ASSERT_EQ(schedule(state, at).started.size(), 1U);
        record_first_token(state, request_of(number), at + 70ms);
        record_finish(state, request_of(number), at + 100ms);
    }
    EXPECT_NEAR(state.prefill_us_per_token, 70.0, 1.0);
    apply_report(state, {16, 10});
    EXPECT_NEAR(state.prefill_us_per_token, 70.0, 1.0);
}

} // namespace jujubestand::admission
