#include <gtest/gtest.h>
#include <jujubestand/dispatch/test/uneven_fleet.hpp>

// Calls of several gateways among engines of uneven speed.
namespace jujubestand::dispatch
{

namespace
{

constexpr double usual_speed = 81.9;

std::vector<double> uneven_speeds(std::size_t engines)
{
    constexpr std::array factors{0.6, 1.0, 1.6};
    std::vector<double> result;
    for (std::size_t index = 0; index < engines; ++index)
        result.push_back(usual_speed * factors.at(index % factors.size()));
    return result;
}

double total(std::vector<double> const& speeds)
{
    double sum = 0;
    for (double const speed : speeds)
        sum += speed;
    return sum;
}

} // namespace

// With one constant for all, slow engines queue while fast ones idle.
TEST(uneven_fleet, engines_get_calls_in_proportion_to_their_speed)
{
    auto const speeds = uneven_speeds(12);
    for (std::size_t const gateways : {1U, 4U})
    {
        uneven_fleet played(gateways, speeds);
        played.play(20'000, 0.6);
        // Short calls go where the queue is short, whatever the speed.
        played.short_calls = false;
        played.reset_counts();
        played.play(20'000, 1.1);
        for (std::size_t index = 0; index < speeds.size(); ++index)
        {
            double const fair = speeds[index] / total(speeds);
            EXPECT_NEAR(played.share_of(index), fair, fair / 5)
                << gateways << " gateways, engine " << index;
        }
        EXPECT_EQ(played.changes.size(), gateways);
    }
}

// A slow engine adds capacity also while the fast ones have room.
TEST(uneven_fleet, a_slow_engine_gets_calls)
{
    auto const speeds = uneven_speeds(12);
    uneven_fleet played(4, speeds);
    played.play(20'000, 0.6);
    played.reset_counts();
    played.play(20'000, 0.6);
    for (std::size_t index = 0; index < speeds.size(); ++index)
        EXPECT_GT(played.share_of(index), 0.01) << index;
}

// Engines as assumed must be served as before, whatever the load.
TEST(uneven_fleet, load_does_not_switch_a_pool_of_usual_engines)
{
    constexpr std::size_t gateways = 6;
    for (double const speed : {36.7, 44.2})
    {
        for (double const load : {0.5, 0.9, 1.3})
        {
            uneven_fleet played(gateways, std::vector<double>(12, speed));
            played.play(12'000, load);
            EXPECT_TRUE(played.changes.empty()) << speed << ", " << load;
        }
    }
}

// A disturbed engine must neither keep its calls nor lose them for good.
TEST(uneven_fleet, an_engine_that_is_slow_for_two_seconds_regains_its_calls)
{
    auto const speeds = uneven_speeds(6);
    uneven_fleet played(1, speeds);
    played.play(20'000, 0.9);
    played.reset_counts();
    played.play(5'000, 0.9);
    double const before = played.share_of(1);
    played.engines[1].tokens_per_ms = speeds[1] / 2.5;
    played.play(1'000, 0.9);
    played.reset_counts();
    played.play(1'000, 0.9);
    EXPECT_LT(played.share_of(1), before / 1.5);
    EXPECT_GT(played.share_of(1), 0.01);
    played.engines[1].tokens_per_ms = speeds[1];
    played.play(4'000, 0.9);
    played.reset_counts();
    played.play(5'000, 0.9);
    EXPECT_NEAR(played.share_of(1), before, before / 5);
}

// Nothing is known of an engine that has just registered or started.
TEST(uneven_fleet, a_restarted_engine_gets_calls)
{
    auto const speeds = uneven_speeds(6);
    uneven_fleet played(1, speeds);
    played.play(20'000, 0.9);
    auto record = engine_record(1);
    record.born_ms = 2;
    on_upstream_record(played.gateways[0], record);
    hold_parts(engine(played.gateways[0], 1), 77);
    played.reset_counts();
    played.play(5'000, 0.9);
    double const fair = speeds[0] / total(speeds);
    EXPECT_GT(played.share_of(0), fair / 2);
    EXPECT_LT(played.share_of(0), fair * 2);
}

// Services have no reports: calls are shared by measured durations alone.
TEST(uneven_fleet, services_get_calls_in_proportion_to_their_speed)
{
    state gateway;
    for (int number = 1; number <= 6; ++number)
        on_upstream_record(gateway, engine_record(number));
    std::multimap<int, call_key> ends;
    std::map<upstream_key, int> calls;
    constexpr std::array factors{0.6, 1.0, 1.6};
    for (int ms = 0; ms < 60'000; ms += 10)
    {
        while (!ends.empty() && ends.begin()->first <= ms)
        {
            on_send_end(gateway, ends.begin()->second, send_outcome::served,
                        at(ends.begin()->first));
            ends.erase(ends.begin());
        }
        static_cast<void>(review_speeds(gateway, at(ms)));
        auto request = prompt_call(static_cast<call_key>(ms) + 1, 1, ms);
        request.model_prompt.reset();
        auto const decided = submit(gateway, request, at(ms));
        ASSERT_EQ(decided.next_action, action::send);
        double const factor = factors.at(decided.upstream % factors.size());
        ends.insert({ms + static_cast<int>(30 / factor), request.key});
        if (ms >= 30'000)
            ++calls[decided.upstream];
    }
    for (auto const& [key, count] : calls)
    {
        double const fair = 3'000 * factors.at(key % factors.size()) / 6.4;
        EXPECT_NEAR(count, fair, fair / 5) << key;
    }
    EXPECT_EQ(calls.size(), 6U);
}

// Choice by tokens alone would prefer the idle engine, where output comes
// later.
TEST(uneven_fleet, a_call_goes_where_its_output_comes_first)
{
    auto gateway = fleet(2);
    for (auto& [key, target] : gateway.upstreams)
        hold_parts(target, 77);
    engine(gateway, 1).speeds.prefill_in_use = 49;
    engine(gateway, 2).speeds.prefill_in_use = 131;
    auto const fast = engine(gateway, 2).key;
    EXPECT_EQ(submit(gateway, prompt_call(1, 77), at(10)).upstream, fast);
    EXPECT_EQ(submit(gateway, prompt_call(2, 77), at(10)).upstream, fast);
    auto const third = submit(gateway, prompt_call(3, 77), at(10));
    EXPECT_EQ(third.upstream, engine(gateway, 1).key);
    EXPECT_NEAR(third.expected_ms, 2'890 / 49.0, 1);
}

// The limit of an engine's backlog is a time: a slow one takes fewer tokens.
TEST(uneven_fleet, the_backlog_limit_follows_the_speed_of_an_engine)
{
    for (double const speed : {20.0, 40.0, 131.0})
    {
        auto gateway = fleet(1);
        auto& target = engine(gateway, 1);
        hold_parts(target, 77);
        target.speeds.prefill_in_use = speed;
        int sent = 0;
        for (call_key key = 1; key <= 20; ++key)
            sent += submit(gateway, prompt_call(key, 77), at(10)).next_action ==
                    action::send;
        // One more is sent while the backlog is within the limit.
        EXPECT_EQ(sent, static_cast<int>(220 * speed / 2'890) + 1) << speed;
    }
}

// An engine with slower output may not end a call before it loads weights.
TEST(uneven_fleet, output_time_decides_whether_a_call_ends_before_a_load)
{
    for (double const output_ms : {4.5, 9.0})
    {
        auto gateway = fleet(1);
        auto& target = engine(gateway, 1);
        hold_parts(target, 77);
        target.speeds.output_in_use = output_ms;
        target.load->load_due_at = at(10 + 300);
        auto const decided = submit(gateway, prompt_call(1, 77), at(10));
        // 72 ms of prefill and 30 tokens of output in 300 ms.
        EXPECT_EQ(decided.expected_ms > 80, output_ms > 7);
    }
}

// Refusals and Retry-After follow the speed of the pool.
TEST(uneven_fleet, the_wait_of_a_queue_follows_the_learned_speed)
{
    for (double const speed : {40.0, 120.0})
    {
        uneven_fleet played(1, std::vector<double>(3, speed));
        played.play(20'000, 0.5);
        auto& gateway = played.gateways[0];
        for (int number = 1; number <= 3; ++number)
        {
            auto load = idle_load(played.now_ms);
            load.report.running = 64;
            on_load_report(gateway, engine(gateway, number).key, load);
        }
        int held = 0;
        for (int index = 0; index < 800; ++index)
        {
            auto const decided = submit(
                gateway, prompt_call(++played.last_call, 77, played.now_ms),
                at(played.now_ms));
            held += decided.next_action == action::hold;
        }
        // 2,890 tokens each, 4.94 s, three engines.
        double const fair = 3 * speed * 4'940 / 2'890;
        EXPECT_NEAR(held, fair, fair / 10);
    }
}

} // namespace jujubestand::dispatch
