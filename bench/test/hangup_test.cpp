#include <gtest/gtest.h>

#include <bench/support/deployment.hpp>
#include <bench/support/load_client.hpp>
#include <csignal>

namespace
{

using namespace jujubestand;
using namespace jujubestand::bench;

load_options load_of(deployment const& running, double requests_per_s)
{
    load_options options;
    options.entries = running.entry_addresses();
    options.shape.requests_per_s = requests_per_s;
    options.shape.seconds = 1;
    options.shape.max_tokens = 12;
    options.shape.stream_share = 0.5;
    return options;
}

} // namespace

// A SIGHUP, as a closed terminal or a reload of settings sends it, ended
// entries and sidecars with the calls on them.
TEST(hangup, entries_and_sidecars_go_on)
{
    deployment_plan plan;
    plan.engines = 2;
    plan.engine_arguments = {"--step-us", "1000", "--prefill-us", "1"};
    deployment running(plan);
    auto first = load_of(running, 4);
    first.attempts = 100;
    ASSERT_GT(run_load(first).count(call_outcome::whole), 0U);
    for (auto* group : {&running.entries, &running.sidecars})
    {
        for (auto& process : *group)
            process.child->signal(SIGHUP);
    }
    constexpr double requests_per_s = 40;
    auto const load = run_load(load_of(running, requests_per_s));
    EXPECT_EQ(load.count(call_outcome::whole), load.calls.size());
    for (auto* group : {&running.entries, &running.sidecars})
    {
        for (auto& process : *group)
            EXPECT_TRUE(process.child->is_running()) << process.name;
    }
    EXPECT_TRUE(running.stop().empty());
}
