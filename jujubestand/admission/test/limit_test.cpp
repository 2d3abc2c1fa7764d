#include <gtest/gtest.h>
#include <jujubestand/admission/start_limit.hpp>
#include <jujubestand/admission/test/queue_items.hpp>

// Upstreams that state how many requests a second they take.
namespace jujubestand::admission
{

namespace
{

using namespace std::chrono_literals;

limits::statement names(std::optional<double> per_second)
{
    return {per_second, wall_time{1'700'000'000'000ms}};
}

// Starts requests as they may start, each of which ends at once.
std::size_t started_until(queue_state& state, mono_time from, mono_time until)
{
    std::size_t started = 0;
    for (auto now = from; now < until; now += 10ms)
    {
        for (auto const& request : schedule(state, now).started)
        {
            ++started;
            record_first_token(state, request, now);
            record_finish(state, request, now);
        }
    }
    return started;
}

void offer_many(queue_state& state, std::uint64_t first, std::uint64_t count)
{
    for (auto number = first; number < first + count; ++number)
        ASSERT_TRUE(offer(state, item_of(number, "a", 10), start).is_accepted);
}

} // namespace

// A sidecar started all that its upstream had slots for (LIMIT).
TEST(queue_limit, starts_are_bound_by_the_stated_limit)
{
    queue_state state;
    offer_many(state, 1, 100);
    apply_limit(state, names(2), start);
    auto const started = started_until(state, start, start + 10s);
    EXPECT_GE(started, 18U);
    EXPECT_LE(started, 21U);
}

TEST(queue_limit, requests_started_before_it_was_stated_count)
{
    queue_state state;
    offer_many(state, 1, 100);
    EXPECT_GE(started_until(state, start, start + 100ms), 90U);
    offer_many(state, 200, 50);
    apply_limit(state, names(2), start + 100ms);
    EXPECT_EQ(started_until(state, start + 100ms, start + 2'500ms), 0U);
}

// A request waited until its deadline for a turn that could not come.
TEST(queue_limit, a_request_whose_turn_comes_too_late_is_refused_at_once)
{
    queue_state state;
    apply_limit(state, names(0.5), start);
    auto item = item_of(1, "a", 10);
    item.deadline = start + 5s;
    EXPECT_TRUE(offer(state, item, start).is_accepted);
    item.request = request_of(2);
    EXPECT_TRUE(offer(state, item, start).is_accepted);
    item.request = request_of(3);
    auto const refused = offer(state, item, start);
    EXPECT_FALSE(refused.is_accepted);
    EXPECT_EQ(refused.why.code, reason_code::deadline_unreachable);
    EXPECT_GT(refused.retry_after, 900ms);
}

TEST(queue_limit, the_next_turn_wakes_the_queue)
{
    queue_state state;
    offer_many(state, 1, 2);
    EXPECT_EQ(next_schedule(state, start), next_expiry(state));
    apply_limit(state, names(2), start);
    EXPECT_EQ(next_schedule(state, start), start + 500ms);
    EXPECT_EQ(started_until(state, start + 500ms, start + 510ms), 1U);
}

TEST(queue_limit, its_end_starts_what_waits_step_by_step)
{
    queue_state state;
    offer_many(state, 1, 200);
    apply_limit(state, names(1), start);
    apply_limit(state, names(std::nullopt), start + 1s);
    EXPECT_LE(started_until(state, start + 1s, start + 1'500ms), 5U);
    EXPECT_GE(started_until(state, start + 1'500ms, start + 6s), 150U);
}

} // namespace jujubestand::admission
