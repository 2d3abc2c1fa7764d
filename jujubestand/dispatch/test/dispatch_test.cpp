#include <gtest/gtest.h>
#include <jujubestand/dispatch/dispatch.hpp>
#include <jujubestand/dispatch/test/fleet.hpp>
#include <set>

// Dispatch decisions under typical load patterns.
namespace jujubestand::dispatch
{

TEST(dispatch, cold_prompts_with_one_shared_part_go_to_one_engine)
{
    std::set<upstream_key> used;
    for (int gateway = 0; gateway < 4; ++gateway)
    {
        auto dispatcher = fleet(9);
        auto const result = submit(dispatcher, prompt_call(1, 77), at(10));
        ASSERT_EQ(result.next_action, action::send);
        used.insert(result.upstream);
    }
    EXPECT_EQ(used.size(), 1U);
}

TEST(dispatch, shared_parts_spread_over_the_engines)
{
    std::set<upstream_key> used;
    for (std::uint64_t shared_part = 0; shared_part < 60; ++shared_part)
    {
        auto dispatcher = fleet(9);
        used.insert(
            submit(dispatcher, prompt_call(1, shared_part), at(10)).upstream);
    }
    EXPECT_GE(used.size(), 8U);
}

TEST(dispatch, a_prompt_goes_to_the_engine_that_holds_its_parts)
{
    for (int number = 1; number <= 9; ++number)
    {
        auto dispatcher = fleet(9);
        hold_parts(engine(dispatcher, number), 77);
        auto const result = submit(dispatcher, prompt_call(1, 77), at(10));
        EXPECT_EQ(result.upstream, engine(dispatcher, number).key);
        EXPECT_FALSE(result.fetch_from);
    }
}

TEST(dispatch, hot_prefix_spreads_and_fetches_from_its_holder)
{
    auto dispatcher = fleet(9);
    dispatcher.gateways = 4;
    hold_parts(engine(dispatcher, 3), 77);
    std::set<upstream_key> used;
    for (call_key key = 1; key <= 12; ++key)
    {
        auto const result = submit(dispatcher, prompt_call(key, 77), at(10));
        if (result.next_action != action::send)
            continue;
        // A second send to an engine finds the parts brought by the first.
        bool const is_first = used.insert(result.upstream).second;
        bool const is_holder = result.upstream == engine(dispatcher, 3).key;
        EXPECT_EQ(result.fetch_from.has_value(), is_first && !is_holder);
    }
    EXPECT_GE(used.size(), 5U);
}

TEST(dispatch, parts_of_other_weights_or_teams_are_not_used)
{
    auto dispatcher = fleet(2);
    hold_parts(engine(dispatcher, 1), 77);
    auto isolated = prompt_call(1, 77);
    isolated.cache_owner = "team a";
    EXPECT_EQ(submit(dispatcher, isolated, at(10)).cached_tokens, 0);
    engine(dispatcher, 1).versions["m"] = 2;
    engine(dispatcher, 2).versions["m"] = 2;
    auto const result = submit(dispatcher, prompt_call(2, 77), at(10));
    EXPECT_EQ(result.cached_tokens, 0);
    EXPECT_FALSE(result.fetch_from);
    EXPECT_EQ(result.weights, 2U);
}

TEST(dispatch, parts_that_no_engine_holds_are_fetched_from_a_store)
{
    auto dispatcher = fleet(3);
    part_store store;
    store.where = {"10.9.9.9", 80};
    store.is_alive = true;
    auto const scope = cache_scope("all", 1);
    store.cache.parts[status::hash_of(scope, 1)] = 2'520;
    store.cache.parts[status::hash_of(scope, 77)] = 3'780;
    dispatcher.stores.push_back(store);
    auto result = submit(dispatcher, prompt_call(1, 77), at(10));
    EXPECT_EQ(result.fetch_from, store.where);
    EXPECT_FALSE(result.save_to);
    result = submit(dispatcher, prompt_call(2, 78), at(10));
    EXPECT_EQ(result.save_to, store.where);
    dispatcher.stores[0].is_alive = false;
    result = submit(dispatcher, prompt_call(3, 77), at(10));
    EXPECT_NE(result.fetch_from, store.where);
    EXPECT_FALSE(result.save_to);
}

TEST(dispatch, parts_under_weights_that_may_be_replaced_soon_are_not_saved)
{
    auto dispatcher = fleet(3);
    part_store store;
    store.where = {"10.9.9.9", 80};
    store.is_alive = true;
    dispatcher.stores.push_back(store);
    on_wanted_weights(dispatcher, "m", 1, at(0));
    EXPECT_FALSE(submit(dispatcher, prompt_call(1, 77), at(10)).save_to);
    EXPECT_TRUE(submit(dispatcher, prompt_call(2, 78), at(2'100)).save_to);
}

TEST(dispatch, unreachable_engines_get_no_calls)
{
    auto dispatcher = fleet(8);
    for (int number : {2, 5})
    {
        auto load = idle_load(0);
        load.is_down = true;
        on_load_report(dispatcher, engine(dispatcher, number).key, load);
    }
    for (call_key key = 1; key <= 30; ++key)
    {
        auto const result = submit(dispatcher, prompt_call(key, key), at(10));
        if (result.next_action != action::send)
            continue;
        EXPECT_NE(result.upstream, engine(dispatcher, 2).key);
        EXPECT_NE(result.upstream, engine(dispatcher, 5).key);
    }
}

TEST(dispatch, weights_replaced_under_load)
{
    auto dispatcher = fleet(3);
    dispatcher.limits.weights_lag = std::chrono::milliseconds{5'000};
    on_wanted_weights(dispatcher, "m", 2, at(0));
    auto loading = idle_load(0);
    loading.is_preparing = true;
    on_load_report(dispatcher, engine(dispatcher, 1).key, loading);
    auto loaded = idle_load(0);
    loaded.report.versions["m"] = 2;
    on_load_report(dispatcher, engine(dispatcher, 2).key, loaded);
    EXPECT_EQ(submit(dispatcher, prompt_call(1, 77), at(2'000)).upstream,
              engine(dispatcher, 2).key);
    // After `weights_lag`, calls begin only on the wanted weights.
    for (int number : {1, 2, 3})
        engine(dispatcher, number).load->reported_at = at(5'990);
    engine(dispatcher, 2).avoid_until = at(7'000);
    EXPECT_EQ(
        submit(dispatcher, prompt_call(2, 77, 6'000), at(6'000)).next_action,
        action::hold);
}

// After a change of weights, engines still on the old weights prefilled shared
// parts again that other engines had prefilled before and dropped on loading.
TEST(dispatch, shared_parts_are_prefilled_on_the_new_weights_of_a_busier_engine)
{
    auto dispatcher = fleet(2);
    on_wanted_weights(dispatcher, "m", 2, at(0));
    auto loaded = idle_load(0);
    loaded.report.versions["m"] = 2;
    loaded.report.running = 40;
    on_load_report(dispatcher, engine(dispatcher, 2).key, loaded);
    for (std::uint64_t shared_part = 100; shared_part < 120; ++shared_part)
    {
        auto const request = prompt_call(shared_part, shared_part, 10);
        EXPECT_EQ(choose(dispatcher, request, at(10))->upstream,
                  engine(dispatcher, 2).key)
            << shared_part;
    }
}

TEST(dispatch, a_long_reply_avoids_an_engine_that_loads_before_its_end)
{
    auto dispatcher = fleet(2);
    for (int number : {1, 2})
    {
        auto load = idle_load(0);
        load.load_due_at = at(number == 1 ? 300 : 60'000);
        on_load_report(dispatcher, engine(dispatcher, number).key, load);
    }
    for (call_key key = 1; key <= 6; ++key)
    {
        auto reply = prompt_call(key, key);
        reply.model_prompt->output_tokens_expected = 300;
        EXPECT_EQ(choose(dispatcher, reply, at(10))->upstream,
                  engine(dispatcher, 2).key);
    }
}

TEST(dispatch, prompts_larger_than_the_free_memory_wait)
{
    auto dispatcher = fleet(1);
    engine(dispatcher, 1).load->report.memory_used = engine_memory - 5'000;
    EXPECT_EQ(submit(dispatcher, prompt_call(1, 77), at(10)).next_action,
              action::hold);
    engine(dispatcher, 1).load->report.memory_used = 0;
    auto const result = decide_waiting(dispatcher, at(20));
    ASSERT_EQ(result.size(), 1U);
    EXPECT_EQ(result[0].next_action, action::send);
}

TEST(dispatch, an_idle_engine_takes_a_prompt_of_any_size)
{
    auto dispatcher = fleet(1);
    auto large = prompt_call(1, 77);
    large.model_prompt->parts.back().tokens = engine_memory;
    EXPECT_EQ(submit(dispatcher, large, at(10)).next_action, action::send);
}

TEST(dispatch, queued_burst_is_sent_most_urgent_first)
{
    auto dispatcher = fleet(1);
    call_key key = 1;
    while (submit(dispatcher, prompt_call(key, key), at(10)).next_action ==
           action::send)
        ++key;
    ++key;
    auto urgent = prompt_call(key, key, 5);
    urgent.priority = 0;
    ASSERT_EQ(submit(dispatcher, urgent, at(15)).next_action, action::hold);
    for (auto const sent : {call_key{1}, call_key{2}, call_key{3}})
        on_send_end(dispatcher, sent, send_outcome::served, at(20));
    on_load_report(dispatcher, engine(dispatcher, 1).key, idle_load(25));
    auto const result = decide_waiting(dispatcher, at(30));
    ASSERT_FALSE(result.empty());
    EXPECT_EQ(result[0].call, urgent.key);
}

TEST(dispatch, gateways_together_do_not_overfill_an_engine)
{
    auto alone = fleet(1);
    auto among_many = fleet(1);
    among_many.gateways = 7;
    auto const sent_at_once = [](state& dispatcher)
    {
        int sent = 0;
        for (call_key key = 1; key <= 20; ++key)
        {
            auto reply = prompt_call(key, key);
            reply.model_prompt->parts = {
                {1, 119}, {key, 79}, {key + 1'000, 628}};
            if (submit(dispatcher, reply, at(10)).next_action == action::send)
                ++sent;
        }
        return sent;
    };
    EXPECT_GT(sent_at_once(alone), sent_at_once(among_many));
}

TEST(dispatch, calls_that_cannot_be_served_in_time_are_refused)
{
    auto dispatcher = fleet(1);
    auto late = prompt_call(1, 77);
    late.deadline = at(20);
    auto const result = submit(dispatcher, late, at(10));
    EXPECT_EQ(result.next_action, action::refuse);
    EXPECT_EQ(result.why.code, reason_code::deadline_unreachable);
    EXPECT_GT(result.retry_after.count(), 0);
}

TEST(dispatch, a_full_queue_refuses_new_calls_immediately)
{
    auto dispatcher = fleet(1);
    bool was_refused = false;
    for (call_key key = 1; key <= 200 && !was_refused; ++key)
        was_refused =
            submit(dispatcher, prompt_call(key, key), at(10)).next_action ==
            action::refuse;
    EXPECT_TRUE(was_refused);
    EXPECT_LT(dispatcher.waiting.size(), 100U);
}

TEST(dispatch, a_waiting_call_is_refused_at_its_deadline)
{
    auto dispatcher = fleet(1);
    engine(dispatcher, 1).load->is_preparing = true;
    ASSERT_EQ(submit(dispatcher, prompt_call(1, 77), at(10)).next_action,
              action::hold);
    engine(dispatcher, 1).load->reported_at = at(4'980);
    auto const result = decide_waiting(dispatcher, at(4'990));
    ASSERT_EQ(result.size(), 1U);
    EXPECT_EQ(result[0].next_action, action::refuse);
    EXPECT_TRUE(dispatcher.waiting.empty());
}

TEST(dispatch, a_disconnected_caller_leaves_no_state)
{
    auto dispatcher = fleet(1);
    engine(dispatcher, 1).load->is_preparing = true;
    ASSERT_EQ(submit(dispatcher, prompt_call(1, 77), at(10)).next_action,
              action::hold);
    remove_waiting(dispatcher, 1);
    EXPECT_TRUE(dispatcher.waiting.empty());
    engine(dispatcher, 1).load->is_preparing = false;
    ASSERT_EQ(submit(dispatcher, prompt_call(2, 77), at(20)).next_action,
              action::send);
    on_send_end(dispatcher, 2, send_outcome::cancelled, at(30));
    EXPECT_TRUE(dispatcher.sends.empty());
    EXPECT_EQ(engine(dispatcher, 1).open_calls, 0U);
    EXPECT_EQ(engine(dispatcher, 1).failures, 0);
}

TEST(dispatch, plain_calls_go_to_the_least_loaded_upstream)
{
    state dispatcher;
    for (int number = 1; number <= 3; ++number)
    {
        auto record = engine_record(number);
        record.pool = "plain";
        record.slots = 6;
        record.versions.clear();
        on_upstream_record(dispatcher, record);
    }
    call request;
    request.pool = "plain";
    request.deadline = at(2'000);
    std::set<upstream_key> used;
    for (request.key = 1; request.key <= 3; ++request.key)
        used.insert(submit(dispatcher, request, at(10)).upstream);
    EXPECT_EQ(used.size(), 3U);
}

} // namespace jujubestand::dispatch
