#include <gtest/gtest.h>
#include <jujubestand/dispatch/dispatch.hpp>
#include <jujubestand/dispatch/test/fleet.hpp>

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

} // namespace jujubestand::dispatch
