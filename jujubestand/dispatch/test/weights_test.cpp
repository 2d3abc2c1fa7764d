#include <gtest/gtest.h>
#include <jujubestand/dispatch/dispatch.hpp>
#include <jujubestand/dispatch/test/fleet.hpp>
#include <rapidcheck/gtest.h>

// Weights that the operator requests, and engines that lag behind.
namespace jujubestand::dispatch
{

namespace
{

constexpr std::chrono::milliseconds lag_limit{5'000};

state fleet_with_lag_limit(int engines)
{
    auto dispatcher = fleet(engines);
    dispatcher.limits.weights_lag = lag_limit;
    return dispatcher;
}

weights_status weights_at(state& dispatcher, int ms)
{
    return check_weights(dispatcher, engine(dispatcher, 1), "m", at(ms));
}

} // namespace

TEST(weights, the_lag_counts_from_the_request)
{
    auto dispatcher = fleet_with_lag_limit(1);
    EXPECT_EQ(weights_at(dispatcher, 100).wanted_version, 0U);
    on_wanted_weights(dispatcher, "m", 2, at(0));
    auto const weights = weights_at(dispatcher, 4'900);
    EXPECT_TRUE(weights.is_allowed);
    EXPECT_TRUE(weights.is_old);
    EXPECT_EQ(weights.wanted_version, 2U);
    EXPECT_EQ(weights.lag, std::chrono::milliseconds{4'900});
    EXPECT_FALSE(weights_at(dispatcher, 5'100).is_allowed);
}

// An engine that restarted two versions behind ran calls over `version-ms`
// after the first of them: each newer request restarted the lag of all engines
// (VERSION).
TEST(weights, a_newer_request_does_not_restart_the_lag_of_an_older_one)
{
    auto dispatcher = fleet_with_lag_limit(1);
    on_wanted_weights(dispatcher, "m", 2, at(0));
    on_wanted_weights(dispatcher, "m", 3, at(3'600));
    EXPECT_TRUE(weights_at(dispatcher, 4'900).is_allowed);
    EXPECT_FALSE(weights_at(dispatcher, 5'100).is_allowed);
    EXPECT_EQ(weights_at(dispatcher, 5'100).lag,
              std::chrono::milliseconds{5'100});
    // An engine that has the first of them is judged from the second.
    on_weights_seen(dispatcher, engine(dispatcher, 1).key, "m", 2);
    EXPECT_TRUE(weights_at(dispatcher, 8'500).is_allowed);
    EXPECT_FALSE(weights_at(dispatcher, 8'700).is_allowed);
}

// The same over any series of requests (VERSION).
RC_GTEST_PROP(weights,
              the_lag_counts_from_the_first_request_that_an_engine_lacks, ())
{
    auto dispatcher = fleet_with_lag_limit(1);
    auto const loaded =
        static_cast<std::uint64_t>(*rc::gen::inRange<int>(1, 12));
    on_weights_seen(dispatcher, engine(dispatcher, 1).key, "m", loaded);
    auto const requests = *rc::gen::inRange<int>(1, 12);
    std::uint64_t version = 1;
    int ms = 0;
    std::optional<int> missed_at;
    for (int request = 0; request < requests; ++request)
    {
        version += static_cast<std::uint64_t>(*rc::gen::inRange<int>(1, 3));
        ms += *rc::gen::inRange<int>(0, 4'000);
        on_wanted_weights(dispatcher, "m", version, at(ms));
        if (version > loaded && !missed_at)
            missed_at = ms;
        bool const is_allowed = !missed_at || std::chrono::milliseconds{
                                                  ms - *missed_at} < lag_limit;
        RC_ASSERT(weights_at(dispatcher, ms).is_allowed == is_allowed);
    }
}

// Calls waited at an engine that stood still, and began there after the time
// limit of its weights (VERSION).
TEST(weights, a_call_that_has_not_begun_is_overdue_before_the_limit)
{
    auto dispatcher = fleet_with_lag_limit(2);
    dispatcher.limits.weights_begin_limit = std::chrono::milliseconds{5'700};
    on_wanted_weights(dispatcher, "m", 2, at(0));
    on_wanted_weights(dispatcher, "m", 3, at(3'000));
    for (call_key const key : {1U, 2U})
        ASSERT_EQ(submit(dispatcher, prompt_call(key, 77, 1'000), at(1'000))
                      .next_action,
                  action::send);
    on_first_output(dispatcher, 2);
    EXPECT_TRUE(overdue_calls(dispatcher, at(5'600)).empty());
    EXPECT_EQ(overdue_calls(dispatcher, at(5'700)), std::vector<call_key>{1});
    // The load of newer weights at the engine does not change what the call was
    // sent for; its end does.
    for (int number : {1, 2})
        on_weights_seen(dispatcher, engine(dispatcher, number).key, "m", 3);
    EXPECT_EQ(overdue_calls(dispatcher, at(5'700)).size(), 1U);
    on_send_end(dispatcher, 1, send_outcome::cut, at(5'700));
    EXPECT_TRUE(overdue_calls(dispatcher, at(5'800)).empty());
}

TEST(weights, a_call_on_the_wanted_weights_is_never_overdue)
{
    auto dispatcher = fleet_with_lag_limit(1);
    on_wanted_weights(dispatcher, "m", 1, at(0));
    ASSERT_EQ(submit(dispatcher, prompt_call(1, 77, 10), at(10)).next_action,
              action::send);
    EXPECT_TRUE(overdue_calls(dispatcher, at(60'000)).empty());
}

// A report of the process before counted for an engine that had started again
// (calls refused with 421).
TEST(weights, a_report_of_the_process_before_does_not_count)
{
    auto dispatcher = fleet_with_lag_limit(1);
    on_wanted_weights(dispatcher, "m", 3, at(0));
    auto restarted = engine_record(1);
    restarted.born_ms = 2;
    on_upstream_record(dispatcher, restarted);
    auto before = idle_load(10);
    before.report.started_at_ms = 1;
    before.report.versions["m"] = 3;
    on_load_report(dispatcher, engine(dispatcher, 1).key, before);
    EXPECT_TRUE(weights_at(dispatcher, 20).is_old);
}

} // namespace jujubestand::dispatch
