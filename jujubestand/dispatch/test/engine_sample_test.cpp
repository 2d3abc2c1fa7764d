#include <gtest/gtest.h>
#include <jujubestand/dispatch/dispatch.hpp>
#include <jujubestand/dispatch/engine_sample.hpp>
#include <jujubestand/dispatch/test/fleet.hpp>

// Many gateways that choose by the same reports.
namespace jujubestand::dispatch
{

namespace
{

constexpr int engine_count = 36;

/// A gateway of 27 that sends 15 calls a second. One engine is idle, the others
/// run 30 calls each.
state busy_gateway()
{
    constexpr std::uint32_t gateways = 27;
    constexpr double own_sends = 60;
    auto dispatcher = fleet(engine_count);
    dispatcher.gateways = gateways;
    for (int number = 1; number <= engine_count; ++number)
    {
        auto& target = engine(dispatcher, number);
        target.sends = {own_sends / engine_count, at(0)};
        target.load->report.running = number == 1 ? 0 : 30;
    }
    return dispatcher;
}

candidate engine_with(upstream_key key, double expected_ms)
{
    candidate result;
    result.chosen.upstream = key;
    result.chosen.expected_ms = expected_ms;
    result.name_hash = key * 0x9e3779b97f4a7c15ULL;
    return result;
}

} // namespace

// All gateways sent to the engine that was idle in its report: up to 47 calls
// within one second, which then had none for two.
TEST(engine_sample, gateways_do_not_all_send_to_the_idle_engine)
{
    int sent_to_idle = 0;
    int sent = 0;
    for (int gateway = 0; gateway < 27; ++gateway)
    {
        auto dispatcher = busy_gateway();
        for (int number = 0; number < 2; ++number)
        {
            call_key const key = number == 0 ? 1 : 2;
            auto request = prompt_call(key, key);
            request.model_prompt->parts.clear();
            auto const decided = submit(
                dispatcher, request,
                at(0) + microseconds{1'000 * (20 * number) + 37 * gateway});
            sent += decided.next_action == action::send;
            sent_to_idle +=
                decided.upstream == engine(dispatcher, 1).key ? 1 : 0;
        }
    }
    EXPECT_EQ(sent, 54);
    // Twice the mean would be three.
    EXPECT_LE(sent_to_idle, 10);
}

// A fleet that sends less than an engine takes between two reports loses by any
// choice but the best.
TEST(engine_sample, few_calls_are_compared_over_all_engines)
{
    EXPECT_EQ(sample_share(36, 0), 1);
    EXPECT_EQ(sample_share(36, 2), 1);
    EXPECT_EQ(sample_share(2, 40), 1);
    EXPECT_NEAR(sample_share(36, 40), 2.0 / 36, 0.001);
    EXPECT_NEAR(sample_share(36, 10), 2.0 / 10, 0.001);
    auto dispatcher = busy_gateway();
    dispatcher.gateways = 1;
    EXPECT_EQ(other_sends(dispatcher, "engines", at(0)), 0);
}

// Shared parts would be prefilled on every engine.
TEST(engine_sample, the_home_and_engines_with_the_prompt_are_always_compared)
{
    for (bool const is_home : {true, false})
    {
        std::vector<candidate> engines;
        for (upstream_key key = 1; key <= engine_count; ++key)
            engines.push_back(engine_with(key, 200));
        engines[7].chosen.expected_ms = 50;
        engines[7].is_home = is_home;
        engines[7].chosen.cached_tokens = is_home ? 0 : 2'000;
        for (int ms = 0; ms < 100; ++ms)
            EXPECT_EQ(choose_sampled(engines, 0.05, 1, at(ms))->upstream, 8U);
    }
}

// An empty sample sent a call to an engine whatever its load.
TEST(engine_sample, two_engines_are_compared_at_least)
{
    std::vector<candidate> engines;
    for (upstream_key key = 1; key <= engine_count; ++key)
        engines.push_back(engine_with(key, 50));
    engines[7].chosen.expected_ms = 4'000;
    for (int ms = 0; ms < 2'000; ++ms)
        EXPECT_NE(choose_sampled(engines, 0.01, 1, at(ms))->upstream, 8U);
}

TEST(engine_sample, a_call_is_sent_though_none_was_sampled)
{
    EXPECT_FALSE(choose_sampled({}, 0.05, 1, at(0)));
    for (int ms = 0; ms < 100; ++ms)
        EXPECT_TRUE(choose_sampled({engine_with(1, 100)}, 0.05, 1, at(ms)));
}

} // namespace jujubestand::dispatch
