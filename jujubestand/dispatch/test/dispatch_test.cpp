#include <gtest/gtest.h>
#include <jujubestand/dispatch/dispatch.hpp>
#include <jujubestand/dispatch/test/fleet.hpp>
#include <set>

// Dispatch decisions under typical load patterns.
namespace jujubestand::dispatch
{

TEST(dispatch, cold_prompts_with_one_annex_meet_at_one_engine)
{
    std::set<upstream_key> used;
    for (int gateway = 0; gateway < 4; ++gateway)
    {
        auto all = fleet(9);
        auto const made = submit(all, prompt_call(1, 77), at(10));
        ASSERT_EQ(made.what, action::send);
        used.insert(made.upstream);
    }
    EXPECT_EQ(used.size(), 1U);
}

TEST(dispatch, annexes_spread_over_the_engines)
{
    std::set<upstream_key> used;
    for (std::uint64_t annex = 0; annex < 60; ++annex)
    {
        auto all = fleet(9);
        used.insert(submit(all, prompt_call(1, annex), at(10)).upstream);
    }
    EXPECT_GE(used.size(), 8U);
}

TEST(dispatch, a_prompt_goes_to_the_engine_that_holds_its_parts)
{
    for (int number = 1; number <= 9; ++number)
    {
        auto all = fleet(9);
        hold_parts(engine(all, number), 77);
        auto const made = submit(all, prompt_call(1, 77), at(10));
        EXPECT_EQ(made.upstream, engine(all, number).key);
        EXPECT_FALSE(made.fetch_from);
    }
}

TEST(dispatch, hot_prefix_spreads_and_fetches_from_its_holder)
{
    auto all = fleet(9);
    all.gateways = 4;
    hold_parts(engine(all, 3), 77);
    std::set<upstream_key> used;
    for (call_key key = 1; key <= 12; ++key)
    {
        auto const made = submit(all, prompt_call(key, 77), at(10));
        if (made.what != action::send)
            continue;
        // A second send to an engine finds the parts brought by the first.
        bool const is_first = used.insert(made.upstream).second;
        bool const is_holder = made.upstream == engine(all, 3).key;
        EXPECT_EQ(made.fetch_from.has_value(), is_first && !is_holder);
    }
    EXPECT_GE(used.size(), 5U);
}

TEST(dispatch, parts_of_other_weights_or_teams_are_no_help)
{
    auto all = fleet(2);
    hold_parts(engine(all, 1), 77);
    auto walled = prompt_call(1, 77);
    walled.cache_owner = "team a";
    EXPECT_EQ(submit(all, walled, at(10)).cached_tokens, 0);
    engine(all, 1).versions["m"] = 2;
    engine(all, 2).versions["m"] = 2;
    auto const made = submit(all, prompt_call(2, 77), at(10));
    EXPECT_EQ(made.cached_tokens, 0);
    EXPECT_FALSE(made.fetch_from);
    EXPECT_EQ(made.weights, 2U);
}

TEST(dispatch, a_store_gives_what_no_engine_holds)
{
    auto all = fleet(3);
    part_store store;
    store.where = {"10.9.9.9", 80};
    store.is_alive = true;
    auto const scope = cache_scope("all", 1);
    store.cache.parts[status::hash_of(scope, 1)] = 2'520;
    store.cache.parts[status::hash_of(scope, 77)] = 3'780;
    all.stores.push_back(store);
    auto made = submit(all, prompt_call(1, 77), at(10));
    EXPECT_EQ(made.fetch_from, store.where);
    EXPECT_FALSE(made.save_to);
    made = submit(all, prompt_call(2, 78), at(10));
    EXPECT_EQ(made.save_to, store.where);
    all.stores[0].is_alive = false;
    made = submit(all, prompt_call(3, 77), at(10));
    EXPECT_NE(made.fetch_from, store.where);
    EXPECT_FALSE(made.save_to);
}

TEST(dispatch, parts_under_weights_that_may_be_replaced_soon_are_not_saved)
{
    auto all = fleet(3);
    part_store store;
    store.where = {"10.9.9.9", 80};
    store.is_alive = true;
    all.stores.push_back(store);
    on_wanted_weights(all, "m", 1, at(0));
    EXPECT_FALSE(submit(all, prompt_call(1, 77), at(10)).save_to);
    EXPECT_TRUE(submit(all, prompt_call(2, 78), at(2'100)).save_to);
}

TEST(dispatch, a_quarter_of_the_engines_dark_gets_nothing)
{
    auto all = fleet(8);
    for (int number : {2, 5})
    {
        auto load = idle_load(0);
        load.is_down = true;
        on_load(all, engine(all, number).key, load);
    }
    for (call_key key = 1; key <= 30; ++key)
    {
        auto const made = submit(all, prompt_call(key, key), at(10));
        if (made.what != action::send)
            continue;
        EXPECT_NE(made.upstream, engine(all, 2).key);
        EXPECT_NE(made.upstream, engine(all, 5).key);
    }
}

TEST(dispatch, weights_replaced_under_load)
{
    auto all = fleet(3);
    all.limits.weights_lag = std::chrono::milliseconds{5'000};
    on_wanted_weights(all, "m", 2, at(0));
    auto loading = idle_load(0);
    loading.is_preparing = true;
    on_load(all, engine(all, 1).key, loading);
    auto loaded = idle_load(0);
    loaded.report.versions["m"] = 2;
    on_load(all, engine(all, 2).key, loaded);
    EXPECT_EQ(submit(all, prompt_call(1, 77), at(2'000)).upstream,
              engine(all, 2).key);
    // After `weights_lag`, calls begin only on the wanted weights.
    for (int number : {1, 2, 3})
        engine(all, number).load->at = at(5'990);
    engine(all, 2).avoid_until = at(7'000);
    EXPECT_EQ(submit(all, prompt_call(2, 77, 6'000), at(6'000)).what,
              action::hold);
}

// After a change of weights, engines still on the old weights prefilled shared
// parts again that other engines had prefilled before and dropped on loading.
TEST(dispatch, shared_parts_are_read_on_the_new_weights_of_a_busier_engine)
{
    auto all = fleet(2);
    on_wanted_weights(all, "m", 2, at(0));
    auto loaded = idle_load(0);
    loaded.report.versions["m"] = 2;
    loaded.report.running = 40;
    on_load(all, engine(all, 2).key, loaded);
    for (std::uint64_t annex = 100; annex < 120; ++annex)
    {
        auto const asked = prompt_call(annex, annex, 10);
        EXPECT_EQ(choose(all, asked, at(10))->upstream, engine(all, 2).key)
            << annex;
    }
}

TEST(dispatch, a_long_reply_avoids_an_engine_that_loads_before_its_end)
{
    auto all = fleet(2);
    for (int number : {1, 2})
    {
        auto load = idle_load(0);
        load.load_due_at = at(number == 1 ? 300 : 60'000);
        on_load(all, engine(all, number).key, load);
    }
    for (call_key key = 1; key <= 6; ++key)
    {
        auto reply = prompt_call(key, key);
        reply.asked->output_tokens_expected = 300;
        EXPECT_EQ(choose(all, reply, at(10))->upstream, engine(all, 2).key);
    }
}

TEST(dispatch, prompts_larger_than_the_free_memory_wait)
{
    auto all = fleet(1);
    engine(all, 1).load->report.memory_used = engine_memory - 5'000;
    EXPECT_EQ(submit(all, prompt_call(1, 77), at(10)).what, action::hold);
    engine(all, 1).load->report.memory_used = 0;
    auto const made = review(all, at(20));
    ASSERT_EQ(made.size(), 1U);
    EXPECT_EQ(made[0].what, action::send);
}

TEST(dispatch, an_idle_engine_takes_a_prompt_of_any_size)
{
    auto all = fleet(1);
    auto large = prompt_call(1, 77);
    large.asked->parts.back().tokens = engine_memory;
    EXPECT_EQ(submit(all, large, at(10)).what, action::send);
}

TEST(dispatch, burst_on_all_waits_here_most_urgent_first)
{
    auto all = fleet(1);
    call_key key = 1;
    while (submit(all, prompt_call(key, key), at(10)).what == action::send)
        ++key;
    ++key;
    auto urgent = prompt_call(key, key, 5);
    urgent.priority = 0;
    ASSERT_EQ(submit(all, urgent, at(15)).what, action::hold);
    for (auto const sent : {call_key{1}, call_key{2}, call_key{3}})
        on_send_end(all, sent, send_outcome::served, at(20));
    on_load(all, engine(all, 1).key, idle_load(25));
    auto const made = review(all, at(30));
    ASSERT_FALSE(made.empty());
    EXPECT_EQ(made[0].call, urgent.key);
}

TEST(dispatch, gateways_do_not_fill_a_returning_engine_each_for_itself)
{
    auto alone = fleet(1);
    auto among_many = fleet(1);
    among_many.gateways = 7;
    auto const sent_at_once = [](state& all)
    {
        int sent = 0;
        for (call_key key = 1; key <= 20; ++key)
        {
            auto reply = prompt_call(key, key);
            reply.asked->parts = {{1, 119}, {key, 79}, {key + 1'000, 628}};
            if (submit(all, reply, at(10)).what == action::send)
                ++sent;
        }
        return sent;
    };
    EXPECT_GT(sent_at_once(alone), sent_at_once(among_many));
}

TEST(dispatch, what_cannot_be_served_in_time_is_refused_at_once)
{
    auto all = fleet(1);
    auto late = prompt_call(1, 77);
    late.deadline = at(20);
    auto const made = submit(all, late, at(10));
    EXPECT_EQ(made.what, action::refuse);
    EXPECT_EQ(made.why.code, reason_code::deadline_unreachable);
    EXPECT_GT(made.retry_after.count(), 0);
}

TEST(dispatch, a_queue_that_is_too_long_refuses_newcomers_at_once)
{
    auto all = fleet(1);
    bool was_refused = false;
    for (call_key key = 1; key <= 200 && !was_refused; ++key)
        was_refused =
            submit(all, prompt_call(key, key), at(10)).what == action::refuse;
    EXPECT_TRUE(was_refused);
    EXPECT_LT(all.waiting.size(), 100U);
}

TEST(dispatch, a_waiting_call_is_refused_when_its_time_is_over)
{
    auto all = fleet(1);
    engine(all, 1).load->is_preparing = true;
    ASSERT_EQ(submit(all, prompt_call(1, 77), at(10)).what, action::hold);
    engine(all, 1).load->at = at(4'980);
    auto const made = review(all, at(4'990));
    ASSERT_EQ(made.size(), 1U);
    EXPECT_EQ(made[0].what, action::refuse);
    EXPECT_TRUE(all.waiting.empty());
}

TEST(dispatch, a_caller_that_leaves_early_leaves_nothing_behind)
{
    auto all = fleet(1);
    engine(all, 1).load->is_preparing = true;
    ASSERT_EQ(submit(all, prompt_call(1, 77), at(10)).what, action::hold);
    forget(all, 1);
    EXPECT_TRUE(all.waiting.empty());
    engine(all, 1).load->is_preparing = false;
    ASSERT_EQ(submit(all, prompt_call(2, 77), at(20)).what, action::send);
    on_send_end(all, 2, send_outcome::cancelled, at(30));
    EXPECT_TRUE(all.sends.empty());
    EXPECT_EQ(engine(all, 1).open_calls, 0U);
    EXPECT_EQ(engine(all, 1).failures, 0);
}

TEST(dispatch, plain_calls_go_where_least_is_open)
{
    state all;
    for (int number = 1; number <= 3; ++number)
    {
        auto record = engine_record(number);
        record.pool = "plain";
        record.slots = 6;
        record.versions.clear();
        on_record(all, record);
    }
    call asked;
    asked.pool = "plain";
    asked.deadline = at(2'000);
    std::set<upstream_key> used;
    for (asked.key = 1; asked.key <= 3; ++asked.key)
        used.insert(submit(all, asked, at(10)).upstream);
    EXPECT_EQ(used.size(), 3U);
}

} // namespace jujubestand::dispatch
