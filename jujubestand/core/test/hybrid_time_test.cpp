#include <gtest/gtest.h>
#include <jujubestand/core/hybrid_time.hpp>

namespace jujubestand
{

namespace
{

wall_time at_ms(std::int64_t value)
{
    return wall_time(std::chrono::milliseconds(value));
}

} // namespace

TEST(hybrid_time, effect_follows_cause_over_skewed_clocks)
{
    hybrid_time ahead;
    hybrid_time behind;
    auto const sent = tick(ahead, at_ms(9'000));
    auto const received = merge(behind, sent, at_ms(1'000));
    EXPECT_GT(received, sent);
    EXPECT_GT(tick(behind, at_ms(1'001)), received);
}

TEST(hybrid_time, wall_clock_stepping_back_keeps_order)
{
    hybrid_time clock;
    auto const before = tick(clock, at_ms(5'000));
    EXPECT_GT(tick(clock, at_ms(2'000)), before);
}

} // namespace jujubestand
