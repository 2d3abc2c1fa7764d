#include <gtest/gtest.h>
#include <jujubestand/dispatch/dispatch.hpp>
#include <jujubestand/dispatch/failures.hpp>
#include <jujubestand/dispatch/test/fleet.hpp>

// State of upstreams that fail, restart or are replaced.
namespace jujubestand::dispatch
{

TEST(upstreams, engines_that_fail_are_avoided_for_longer_each_time)
{
    auto dispatcher = fleet(2);
    auto& failing = engine(dispatcher, 1);
    microseconds last_pause{0};
    for (call_key key = 1; key <= 3; ++key)
    {
        failing.avoid_until = mono_time{};
        dispatcher.sends[key] =
            open_send{failing.key, at(10), 0, 0, true, "m", 1};
        ++failing.open_calls;
        on_send_end(dispatcher, key, send_outcome::cut, at(20));
        auto const pause = failing.avoid_until - at(20);
        EXPECT_GT(pause, last_pause);
        last_pause = pause;
    }
    EXPECT_EQ(choose(dispatcher, prompt_call(9, 77), at(30))->upstream,
              engine(dispatcher, 2).key);
    EXPECT_LT(recent_failures(dispatcher, failing, at(20'000)), 0.1);
}

// After engines restarted, the older of two records with the same address was
// used, so that no command or call reached the engine.
TEST(upstreams, the_upstream_that_started_last_has_the_address)
{
    auto dispatcher = fleet(2);
    auto newer = engine_record(1);
    newer.id = "a-later-one";
    newer.born_ms = 2;
    on_upstream_record(dispatcher, newer);
    EXPECT_TRUE(engine(dispatcher, 1).is_replaced);
    EXPECT_EQ(find_by_host(dispatcher, "10.0.0.1")->record.id, "a-later-one");
    auto stale = engine_record(1);
    stale.id = "an-old-one";
    stale.born_ms = 0;
    on_upstream_record(dispatcher, stale);
    EXPECT_EQ(find_by_host(dispatcher, "10.0.0.1")->record.id, "a-later-one");
}

TEST(upstreams, an_upstream_is_found_by_the_address_of_its_newest_record)
{
    auto dispatcher = fleet(2);
    auto moved = engine_record(1);
    moved.where.host = "10.0.0.9";
    on_upstream_record(dispatcher, moved);
    EXPECT_EQ(find_by_host(dispatcher, "10.0.0.1"), nullptr);
    EXPECT_EQ(find_by_host(dispatcher, "10.0.0.9")->record.id, "e1");
    on_upstream_removed(dispatcher, "e1");
    EXPECT_EQ(find_by_host(dispatcher, "10.0.0.9"), nullptr);
    EXPECT_EQ(find_by_host(dispatcher, "10.0.0.2")->record.id, "e2");
}

TEST(upstreams, a_misdirected_call_excludes_the_upstream)
{
    auto dispatcher = fleet(1);
    on_misdirected(dispatcher, engine(dispatcher, 1).key);
    EXPECT_EQ(available_count(dispatcher, "engines", at(10)), 0U);
}

TEST(upstreams, a_restart_under_the_same_id_resets_the_state)
{
    auto dispatcher = fleet(1);
    hold_parts(engine(dispatcher, 1), 77);
    auto leaving = engine_record(1);
    leaving.is_leaving = true;
    on_upstream_record(dispatcher, leaving);
    on_upstream_record(dispatcher, engine_record(1));
    EXPECT_TRUE(engine(dispatcher, 1).record.is_leaving);
    auto restarted = engine_record(1);
    restarted.born_ms = 2;
    on_upstream_record(dispatcher, restarted);
    EXPECT_FALSE(engine(dispatcher, 1).record.is_leaving);
    EXPECT_TRUE(engine(dispatcher, 1).cache.parts.empty());
}

// An engine that said in its answers that it leaves went on getting calls,
// since its record didn't say so (DRAIN).
TEST(upstreams, an_upstream_that_states_its_leaving_leaves_until_it_restarts)
{
    auto dispatcher = fleet(2);
    hold_parts(engine(dispatcher, 1), 77);
    auto const key = engine(dispatcher, 1).key;
    EXPECT_TRUE(on_leaving_stated(dispatcher, key));
    EXPECT_FALSE(on_leaving_stated(dispatcher, key));
    EXPECT_FALSE(on_leaving_stated(dispatcher, key + 10));
    on_upstream_record(dispatcher, engine_record(1));
    auto request = prompt_call(1, 77);
    EXPECT_NE(submit(dispatcher, request, at(10)).upstream, key);
    request.key = 2;
    request.tried = {engine(dispatcher, 2).key};
    EXPECT_EQ(submit(dispatcher, request, at(20)).next_action, action::hold);
    auto restarted = engine_record(1);
    restarted.born_ms = 2;
    on_upstream_record(dispatcher, restarted);
    EXPECT_EQ(available_count(dispatcher, "engines", at(30)), 2U);
}

TEST(upstreams, a_tried_upstream_is_not_tried_again)
{
    auto dispatcher = fleet(1);
    auto retried = prompt_call(1, 77);
    retried.tried.push_back(engine(dispatcher, 1).key);
    EXPECT_EQ(submit(dispatcher, retried, at(10)).next_action, action::hold);
}

// A stream that was migrated off an engine before a weights load and then had
// to queue stalled for over a second, and was lost when its gateway stopped.
TEST(upstreams, a_call_has_no_alternative_while_no_other_is_available)
{
    auto dispatcher = fleet(2);
    auto const stream = prompt_call(1, 77);
    EXPECT_TRUE(
        has_alternative(dispatcher, stream, engine(dispatcher, 1).key, at(10)));
    auto preparing = idle_load(0);
    preparing.is_preparing = true;
    on_load_report(dispatcher, engine(dispatcher, 2).key, preparing);
    EXPECT_FALSE(
        has_alternative(dispatcher, stream, engine(dispatcher, 1).key, at(10)));
}

} // namespace jujubestand::dispatch
