#include <gtest/gtest.h>
#include <jujubestand/dispatch/dispatch.hpp>
#include <jujubestand/dispatch/test/fleet.hpp>

// State of upstreams that fail, restart or are replaced.
namespace jujubestand::dispatch
{

TEST(upstreams, engines_that_fail_are_avoided_for_longer_each_time)
{
    auto all = fleet(2);
    auto& bad = engine(all, 1);
    microseconds last{0};
    for (call_key key = 1; key <= 3; ++key)
    {
        bad.avoid_until = mono_time{};
        all.sends[key] = open_send{bad.key, at(10), 0, 0, true};
        ++bad.open_calls;
        on_send_end(all, key, send_outcome::cut, at(20));
        auto const pause = bad.avoid_until - at(20);
        EXPECT_GT(pause, last);
        last = pause;
    }
    EXPECT_EQ(choose(all, prompt_call(9, 77), at(30))->upstream,
              engine(all, 2).key);
    EXPECT_LT(recent_failures(all, bad, at(20'000)), 0.1);
}

// When engines restarted, the older of two records of one address was taken for
// the engine, so that no order or call reached it.
TEST(upstreams, the_upstream_that_started_last_has_the_address)
{
    auto all = fleet(2);
    auto next = engine_record(1);
    next.id = "a-later-one";
    next.born_ms = 2;
    on_record(all, next);
    EXPECT_TRUE(engine(all, 1).is_replaced);
    EXPECT_EQ(find_by_host(all, "10.0.0.1")->record.id, "a-later-one");
    auto stale = engine_record(1);
    stale.id = "an-old-one";
    stale.born_ms = 0;
    on_record(all, stale);
    EXPECT_EQ(find_by_host(all, "10.0.0.1")->record.id, "a-later-one");
}

TEST(upstreams, an_upstream_that_is_another_one_gets_nothing_more)
{
    auto all = fleet(1);
    on_misdirected(all, engine(all, 1).key);
    EXPECT_EQ(usable(all, "engines", at(10)), 0U);
}

TEST(upstreams, a_restart_under_the_same_id_forgets_the_life_before)
{
    auto all = fleet(1);
    hold_parts(engine(all, 1), 77);
    auto leaving = engine_record(1);
    leaving.is_leaving = true;
    on_record(all, leaving);
    on_record(all, engine_record(1));
    EXPECT_TRUE(engine(all, 1).record.is_leaving);
    auto reborn = engine_record(1);
    reborn.born_ms = 2;
    on_record(all, reborn);
    EXPECT_FALSE(engine(all, 1).record.is_leaving);
    EXPECT_TRUE(engine(all, 1).cache.parts.empty());
}

TEST(upstreams, a_tried_upstream_is_not_tried_again)
{
    auto all = fleet(1);
    auto again = prompt_call(1, 77);
    again.tried.push_back(engine(all, 1).key);
    EXPECT_EQ(submit(all, again, at(10)).what, action::hold);
}

// A stream that was moved off an engine before a load of weights and then had
// to queue stalled for over a second, and was lost when its gateway stopped.
TEST(upstreams, a_call_has_no_alternative_while_all_others_are_out)
{
    auto all = fleet(2);
    auto const stream = prompt_call(1, 77);
    EXPECT_TRUE(has_alternative(all, stream, engine(all, 1).key, at(10)));
    auto preparing = idle_load(0);
    preparing.is_preparing = true;
    on_load(all, engine(all, 2).key, preparing);
    EXPECT_FALSE(has_alternative(all, stream, engine(all, 1).key, at(10)));
}

} // namespace jujubestand::dispatch
