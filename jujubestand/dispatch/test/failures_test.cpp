#include <gtest/gtest.h>
#include <jujubestand/dispatch/dispatch.hpp>
#include <jujubestand/dispatch/failures.hpp>
#include <jujubestand/dispatch/test/fleet.hpp>

// Back-off of upstreams that fail, beside others of their pool and alone.
namespace jujubestand::dispatch
{

namespace
{

/// A pool of one service with a queue, at which all sends end as told.
struct one_service
{
    state dispatcher;
    call_key last_call = 0;

    one_service()
    {
        traffic::upstream_record record;
        record.id = "s1";
        record.pool = "services";
        record.where = {"10.0.1.1", 80};
        record.slots = 6;
        record.born_ms = 1;
        on_upstream_record(this->dispatcher, record);
    }

    decision ask(int ms)
    {
        call request;
        request.key = ++this->last_call;
        request.pool = "services";
        request.arrived_at = at(ms);
        request.deadline = at(ms + 4'000);
        return submit(this->dispatcher, request, at(ms));
    }

    void end(call_key first, call_key last, send_outcome outcome, int ms)
    {
        for (auto key = first; key <= last; ++key)
            on_send_end(this->dispatcher, key, outcome, at(ms));
    }

    microseconds pause(int ms)
    {
        return this->dispatcher.upstreams.begin()->second.avoid_until - at(ms);
    }
};

} // namespace

// Calls that all failed at once were as many failures in a row: those that
// waited for room stood out the longest back-off, though the service was
// their pool's only one.
TEST(failures, calls_that_fail_at_once_are_one_failure)
{
    one_service services;
    for (int number = 0; number < 24; ++number)
        EXPECT_EQ(services.ask(0).next_action, action::send) << number;
    for (int number = 0; number < 6; ++number)
        EXPECT_EQ(services.ask(0).next_action, action::hold) << number;
    services.end(1, 24, send_outcome::cut, 1'200);
    auto const& limits = services.dispatcher.limits;
    EXPECT_EQ(services.pause(1'200), limits.avoid_base);
    EXPECT_TRUE(decide_waiting(services.dispatcher, at(1'449)).empty());
    EXPECT_EQ(decide_waiting(services.dispatcher, at(1'450)).size(), 6U);
    // They were sent after the failure: theirs is the next one.
    services.end(25, 30, send_outcome::cut, 1'500);
    EXPECT_GT(services.pause(1'500), limits.avoid_base * 3 / 2);
}

// Calls can go elsewhere: all that failed speak against the upstream.
TEST(failures, calls_that_fail_at_once_beside_another_upstream_count_each)
{
    one_service services;
    auto other = services.dispatcher.upstreams.begin()->second.record;
    for (int number = 0; number < 24; ++number)
        EXPECT_EQ(services.ask(0).next_action, action::send) << number;
    other.id = "s2";
    other.where.port = 81;
    on_upstream_record(services.dispatcher, other);
    services.end(1, 24, send_outcome::cut, 1'200);
    EXPECT_EQ(services.pause(1'200), services.dispatcher.limits.avoid_limit);
}

// Other upstreams of a pool are preferred as before.
TEST(failures, calls_that_fail_at_once_cost_as_much_as_in_a_row)
{
    one_service services;
    for (int number = 0; number < 4; ++number)
        EXPECT_EQ(services.ask(0).next_action, action::send) << number;
    services.end(1, 4, send_outcome::cut, 10);
    auto const& failed = services.dispatcher.upstreams.begin()->second;
    EXPECT_DOUBLE_EQ(recent_failures(services.dispatcher, failed, at(10)), 4);
}

TEST(failures, an_upstream_that_goes_on_failing_is_avoided_up_to_the_limit)
{
    one_service services;
    auto const limit = services.dispatcher.limits.avoid_limit;
    microseconds last_pause{0};
    int ms = 0;
    for (call_key key = 1; key <= 10; ++key)
    {
        ASSERT_EQ(services.ask(ms).next_action, action::send) << key;
        services.end(key, key, send_outcome::unreachable, ms);
        auto const pause = services.pause(ms);
        EXPECT_GE(pause, last_pause);
        EXPECT_LE(pause, limit);
        last_pause = pause;
        ms += static_cast<int>(pause / std::chrono::milliseconds{1}) + 1;
    }
    EXPECT_EQ(last_pause, limit);
}

} // namespace jujubestand::dispatch
