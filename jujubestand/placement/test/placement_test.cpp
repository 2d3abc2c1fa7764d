#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

#include <jujubestand/placement/placement.hpp>
#include <jujubestand/placement/rendezvous.hpp>

namespace jujubestand::placement
{

namespace
{

using namespace std::chrono_literals;

mono_time const start{100s};

upstream_id upstream_of(std::size_t number)
{
    return upstream_id("engine-" + std::to_string(number));
}

std::vector<member> members_of(std::size_t count)
{
    std::vector<member> members;
    for (std::size_t number = 0; number < count; ++number)
        members.push_back(member{upstream_of(number),
                                 data_centre_id("almaty-a"), 100us, false,
                                 false});
    return members;
}

placement_state state_of(std::size_t count)
{
    placement_state state;
    set_members(state, members_of(count));
    return state;
}

placement_request request_of(std::uint64_t prefix_number,
                             std::uint64_t suffix_number)
{
    placement_request request;
    request.prompt.levels = {prefix::level{{1, 1}, 500},
                             prefix::level{{2, prefix_number * 7919}, 4000},
                             prefix::level{{3, suffix_number * 104'729}, 4100}};
    request.prompt.prompt_tokens = 4100;
    return request;
}

link::probe_reply idle_reply()
{
    link::probe_reply reply;
    reply.ready = true;
    reply.role = "mixed";
    reply.weights_version = "7";
    reply.prefill_us_per_token = 100;
    reply.engine_age_us = 1'000'000'000;
    return reply;
}

probe_outcome outcome_of(std::size_t number, link::probe_reply const& reply)
{
    return probe_outcome{upstream_of(number), start, reply};
}

std::optional<choice> choose_of(placement_state const& state,
                                placement_request const& request,
                                std::vector<probe_outcome> const& outcomes)
{
    return choose(state, request, outcomes, start, 3);
}

} // namespace

TEST(placement, restarted_entry_probes_the_same_upstream_first)
{
    placement_state const one = state_of(20);
    placement_state const other = state_of(20);
    for (std::uint64_t prefix_number = 1; prefix_number < 50; ++prefix_number)
    {
        auto const left =
            plan_probes(one, request_of(prefix_number, 1), start, 1);
        auto const right =
            plan_probes(other, request_of(prefix_number, 2), start, 1);
        ASSERT_FALSE(left.probes.empty());
        EXPECT_LE(left.probes.size(), one.options.probes_limit);
        EXPECT_EQ(left.probes.front(), right.probes.front());
    }
}

TEST(placement, only_the_keys_of_a_lost_upstream_move)
{
    placement_state const before = state_of(20);
    auto members = members_of(20);
    members.erase(members.begin() + 4);
    placement_state after;
    set_members(after, members);
    std::size_t moved = 0;
    for (std::uint64_t prefix_number = 1; prefix_number <= 500; ++prefix_number)
    {
        auto const left =
            plan_probes(before, request_of(prefix_number, 1), start, 1);
        auto const right =
            plan_probes(after, request_of(prefix_number, 1), start, 1);
        if (left.probes.front() == upstream_of(4))
            continue;
        moved += left.probes.front() == right.probes.front() ? 0 : 1;
    }
    EXPECT_EQ(moved, 0U);
}

TEST(placement, keys_spread_evenly)
{
    placement_state const state = state_of(10);
    std::map<upstream_id, std::size_t> counts;
    for (std::uint64_t prefix_number = 1; prefix_number <= 2000;
         ++prefix_number)
        ++counts[plan_probes(state, request_of(prefix_number, 1), start, 1)
                     .probes.front()];
    for (auto const& [upstream, count] : counts)
        EXPECT_NEAR(static_cast<double>(count), 200.0, 70.0) << upstream.text;
}

TEST(placement, remembered_upstreams_are_probed)
{
    placement_state state = state_of(20);
    auto const request = request_of(5, 1);
    record_sent(state, request, choice{upstream_of(13), {}, true}, start);
    auto const plan = plan_probes(state, request_of(5, 2), start, 1);
    EXPECT_NE(
        std::find(plan.probes.begin(), plan.probes.end(), upstream_of(13)),
        plan.probes.end());
}

TEST(placement, short_prompts_are_not_probed_for)
{
    placement_state const state = state_of(20);
    placement_request request;
    request.prompt.levels = {prefix::level{{1, 1}, 10}};
    request.prompt.prompt_tokens = 10;
    EXPECT_TRUE(plan_probes(state, request, start, 1).probes.empty());
    EXPECT_TRUE(choose(state, request, {}, start, 1).has_value());
}

TEST(placement, cached_prefix_wins_until_its_queue_costs_more)
{
    placement_state const state = state_of(2);
    auto const request = request_of(1, 1);
    link::probe_reply cached = idle_reply();
    cached.cached_tokens = 4000;
    cached.queue_wait_us = 50'000;
    auto outcomes =
        std::vector{outcome_of(0, cached), outcome_of(1, idle_reply())};
    EXPECT_EQ(choose_of(state, request, outcomes)->upstream, upstream_of(0));
    outcomes[0].reply.queue_wait_us = 2'000'000;
    EXPECT_EQ(choose_of(state, request, outcomes)->upstream, upstream_of(1));
}

TEST(placement, tail_weight_trades_prefix_reuse_for_latency)
{
    placement_state const state = state_of(2);
    auto request = request_of(1, 1);
    link::probe_reply cached = idle_reply();
    cached.cached_tokens = 4000;
    cached.queue_wait_us = 500'000;
    auto const outcomes =
        std::vector{outcome_of(0, cached), outcome_of(1, idle_reply())};
    request.tail_weight = 1.0;
    EXPECT_EQ(choose_of(state, request, outcomes)->upstream, upstream_of(1));
    request.tail_weight = 0.0;
    EXPECT_EQ(choose_of(state, request, outcomes)->upstream, upstream_of(0));
}

TEST(placement, work_sent_since_the_probe_counts)
{
    placement_state state = state_of(2);
    auto const request = request_of(1, 1);
    auto const outcomes =
        std::vector{outcome_of(0, idle_reply()), outcome_of(1, idle_reply())};
    for (auto const& each : outcomes)
        record_reply(state, each, start);
    auto const first = choose_of(state, request, outcomes);
    ASSERT_TRUE(first);
    record_sent(state, request, *first, start);
    EXPECT_NE(choose_of(state, request, outcomes)->upstream, first->upstream);
}

TEST(placement, ineligible_upstreams_are_never_chosen)
{
    placement_state const state = state_of(5);
    auto request = request_of(1, 1);
    request.weights_version = "7";
    request.excluded = {upstream_of(4)};
    auto outcomes = std::vector<probe_outcome>{};
    for (std::size_t number = 0; number < 5; ++number)
        outcomes.push_back(outcome_of(number, idle_reply()));
    outcomes[0].reply.leaving = true;
    outcomes[1].reply.ready = false;
    outcomes[2].reply.role = "decode";
    outcomes[3].reply.weights_version = "6";
    placement_state updated = state;
    for (auto const& each : outcomes)
        record_reply(updated, each, start);
    EXPECT_FALSE(choose_of(updated, request, outcomes).has_value());
    request.excluded.clear();
    EXPECT_EQ(choose_of(updated, request, outcomes)->upstream, upstream_of(4));
}

TEST(placement, upstream_with_the_adapter_is_preferred)
{
    placement_state const state = state_of(2);
    auto request = request_of(1, 1);
    request.adapter = "tins";
    link::probe_reply loaded = idle_reply();
    loaded.adapters = {"tins"};
    loaded.queue_wait_us = 100'000;
    auto const outcomes =
        std::vector{outcome_of(0, idle_reply()), outcome_of(1, loaded)};
    EXPECT_EQ(choose_of(state, request, outcomes)->upstream, upstream_of(1));
}

TEST(placement, new_engine_is_penalised_during_slow_start)
{
    placement_state const state = state_of(2);
    auto const request = request_of(1, 1);
    link::probe_reply new_engine = idle_reply();
    new_engine.engine_age_us = 0;
    link::probe_reply busy = idle_reply();
    busy.queue_wait_us = 200'000;
    auto outcomes = std::vector{outcome_of(0, new_engine), outcome_of(1, busy)};
    EXPECT_EQ(choose_of(state, request, outcomes)->upstream, upstream_of(1));
    outcomes[0].reply.engine_age_us = 60'000'000;
    EXPECT_EQ(choose_of(state, request, outcomes)->upstream, upstream_of(0));
}

TEST(placement, near_data_centre_wins_a_tie)
{
    auto members = members_of(2);
    members[0].distance = 1ms;
    placement_state state;
    set_members(state, members);
    auto const outcomes =
        std::vector{outcome_of(0, idle_reply()), outcome_of(1, idle_reply())};
    EXPECT_EQ(choose_of(state, request_of(1, 1), outcomes)->upstream,
              upstream_of(1));
}

TEST(placement, leaving_upstream_is_not_probed_after_a_refusal)
{
    placement_state state = state_of(2);
    record_refusal(state, upstream_of(0), true, start);
    for (std::uint64_t prefix_number = 1; prefix_number < 30; ++prefix_number)
    {
        auto const plan = plan_probes(state, request_of(prefix_number, 1),
                                      start, prefix_number);
        EXPECT_EQ(plan.probes, std::vector{upstream_of(1)});
    }
}

// A restarted entry has no replies yet, and short prompts are not probed for.
// A required weights version must not rule out every upstream then.
TEST(placement, a_pool_with_a_weights_version_is_served_without_a_probe)
{
    for (std::size_t const count : {1U, 2U, 5U})
    {
        auto const state = state_of(count);
        auto request = request_of(1, 1);
        request.weights_version = "7";
        EXPECT_TRUE(choose_of(state, request, {})) << count;
    }
}

TEST(placement, outdated_refusal_does_not_exclude_an_upstream)
{
    auto state = state_of(1);
    auto reply = idle_reply();
    reply.ready = false;
    record_reply(state, outcome_of(0, reply), start);
    auto const request = request_of(1, 1);
    EXPECT_FALSE(choose(state, request, {}, start, 3));
    EXPECT_TRUE(choose(state, request, {}, start + 2s, 3));
}

TEST(placement, leaving_upstream_stays_excluded_for_the_history_lifetime)
{
    auto state = state_of(1);
    auto reply = idle_reply();
    reply.leaving = true;
    record_reply(state, outcome_of(0, reply), start);
    auto const request = request_of(1, 1);
    EXPECT_FALSE(choose(state, request, {}, start + 30s, 3));
    EXPECT_TRUE(choose(state, request, {}, start + 61s, 3));
}

TEST(placement, chooses_without_probe_replies)
{
    placement_state const state = state_of(3);
    auto const found = choose_of(state, request_of(1, 1), {});
    ASSERT_TRUE(found);
    EXPECT_FALSE(found->is_probed);
}

/// Compares the choice with a full scan by the cost formula of the design note.
RC_GTEST_PROP(placement, agrees_with_a_full_scan, ())
{
    std::size_t const count = *rc::gen::inRange<std::size_t>(1, 12);
    placement_state const state = state_of(count);
    auto request = request_of(1, 1);
    request.tail_weight = *rc::gen::inRange(0, 11) / 10.0;
    std::vector<probe_outcome> outcomes;
    double least = 1e18;
    for (std::size_t number = 0; number < count; ++number)
    {
        link::probe_reply reply = idle_reply();
        reply.leaving = *rc::gen::inRange(0, 5) == 0;
        reply.cached_tokens = *rc::gen::element(0U, 500U, 4000U);
        reply.queue_wait_us = *rc::gen::inRange<std::uint64_t>(0, 900'000);
        outcomes.push_back(outcome_of(number, reply));
        double const compute = 100.0 * (4100 - reply.cached_tokens);
        double const weighed =
            static_cast<double>(reply.queue_wait_us) + 200.0 + compute +
            (1.0 - request.tail_weight) * state.options.reuse_weight * compute;
        if (!reply.leaving)
            least = std::min(least, weighed);
    }
    auto const found = choose_of(state, request, outcomes);
    if (least < 1e18)
    {
        RC_ASSERT(found.has_value());
        RC_ASSERT(std::abs(found->expected_cost.weighted_us - least) < 2.0);
    }
}

TEST(rendezvous, weight_is_the_share_of_keys)
{
    std::size_t heavier = 0;
    for (std::uint64_t key = 0; key < 4000; ++key)
        heavier += rendezvous_score(key, name_hash_of("a"), 3.0) >
                           rendezvous_score(key, name_hash_of("b"), 1.0)
                       ? 1
                       : 0;
    EXPECT_NEAR(static_cast<double>(heavier), 3000.0, 120.0);
}

} // namespace jujubestand::placement
