#include <gtest/gtest.h>

#include <bench/support/ask.hpp>
#include <bench/support/deployment.hpp>
#include <bench/support/load_client.hpp>

namespace
{

using namespace jujubestand;
using namespace jujubestand::bench;

deployment_plan small_plan()
{
    deployment_plan plan;
    plan.engines = 2;
    plan.engine_arguments = {"--step-us", "1000", "--prefill-us", "1"};
    return plan;
}

load_options small_load(deployment const& running)
{
    load_options options;
    options.entries = running.entry_addresses();
    options.shape.requests_per_s = 40;
    options.shape.seconds = 1;
    options.shape.max_tokens = 12;
    options.shape.stream_share = 0.5;
    return options;
}

/// Asks until an answer is 200: tables and upstreams come by and by.
void wait_answers(deployment const& running)
{
    auto options = small_load(running);
    options.shape.requests_per_s = 4;
    options.attempts = 100;
    ASSERT_GT(run_load(options).count(call_outcome::whole), 0U);
}

} // namespace

TEST(smoke, completions_bookings_and_a_clean_stop)
{
    deployment running(small_plan());
    wait_answers(running);

    auto const completions = run_load(small_load(running));
    EXPECT_GT(completions.calls.size(), 20U);
    EXPECT_EQ(completions.count(call_outcome::whole), completions.calls.size());
    EXPECT_EQ(completions.untrue(), 0U);
    EXPECT_GT(completions.hit_rate(), 0) << "cached tokens are passed through";

    auto options = small_load(running);
    options.shape.plain_share = 1;
    options.shape.seconds = 0.5;
    auto const bookings = run_load(options);
    EXPECT_EQ(bookings.count(call_outcome::whole), bookings.calls.size());
    auto const counts = get_json(running.services[0].http, "/_counts");
    for (auto const& one : bookings.calls)
        EXPECT_EQ(counts["counts"].value(one.idempotency_key, 0), 1)
            << one.idempotency_key;

    EXPECT_TRUE(running.stop().empty());
}
