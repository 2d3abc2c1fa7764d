#include <gtest/gtest.h>
#include <jujubestand/platform/backoff.hpp>
#include <jujubestand/platform/log_budget.hpp>
#include <rapidcheck/gtest.h>

namespace jujubestand::platform
{

namespace
{

mono_time at_ms(std::int64_t ms)
{
    return mono_time(std::chrono::milliseconds(ms));
}

constexpr log_budget_options ten_a_second{10, 20};

std::uint32_t drain(log_budget& budget, append_kind kind, mono_time now)
{
    std::uint32_t granted = 0;
    while (take(budget, kind, 1, now))
        ++granted;
    return granted;
}

} // namespace

TEST(log_budget, lower_kinds_leave_room_for_claims)
{
    auto budget = make_log_budget(ten_a_second, at_ms(0));
    EXPECT_EQ(drain(budget, append_kind::strikes, at_ms(0)), 12U);
    EXPECT_EQ(drain(budget, append_kind::orders, at_ms(0)), 4U);
    EXPECT_EQ(drain(budget, append_kind::claims, at_ms(0)), 4U);
    EXPECT_FALSE(take(budget, append_kind::claims, 1, at_ms(0)));
}

TEST(log_budget, a_slow_service_gets_less_and_claims_go_first)
{
    auto budget = make_log_budget(ten_a_second, at_ms(0));
    for (int count = 0; count < 20; ++count)
        observe(budget, std::chrono::milliseconds(3'000));
    ASSERT_TRUE(is_slow(budget));
    EXPECT_EQ(drain(budget, append_kind::strikes, at_ms(0)), 4U);
    EXPECT_EQ(drain(budget, append_kind::orders, at_ms(0)), 6U);
    EXPECT_EQ(drain(budget, append_kind::configuration, at_ms(0)), 8U);
    EXPECT_EQ(drain(budget, append_kind::claims, at_ms(0)), 2U);
    // Half of ten a second.
    EXPECT_EQ(drain(budget, append_kind::claims, at_ms(1'000)), 5U);
}

TEST(log_budget, a_clock_that_steps_back_grants_nothing)
{
    auto budget = make_log_budget(ten_a_second, at_ms(1'000));
    drain(budget, append_kind::claims, at_ms(1'000));
    EXPECT_FALSE(take(budget, append_kind::claims, 1, at_ms(0)));
    EXPECT_FALSE(take(budget, append_kind::claims, 1, at_ms(1'000)));
}

// Whatever the order of asks, no window grants more than burst plus rate.
RC_GTEST_PROP(log_budget, never_grants_more_than_burst_and_rate, ())
{
    auto budget = make_log_budget(ten_a_second, at_ms(0));
    auto const steps = *rc::gen::container<std::vector<std::uint16_t>>(
        200, rc::gen::inRange<std::uint16_t>(0, 400));
    std::int64_t now = 0;
    std::uint64_t granted = 0;
    for (auto const step : steps)
    {
        now += step / 4;
        auto const kind = static_cast<append_kind>(step % 4);
        granted += take(budget, kind, 1, at_ms(now)) ? 1 : 0;
        auto const most = 20.0 + 10.0 * static_cast<double>(now) / 1'000.0;
        RC_ASSERT(static_cast<double>(granted) <= most + 1e-6);
    }
    std::uint64_t counted = 0;
    for (auto const& count : budget.counts)
        counted += count.granted;
    RC_ASSERT(counted == granted);
}

RC_GTEST_PROP(backoff, stays_within_its_bounds, ())
{
    backoff state{0, *rc::gen::arbitrary<std::uint64_t>()};
    backoff_options const options;
    for (std::int64_t bound = 100; state.failures < 40; bound *= 2)
    {
        bound = std::min<std::int64_t>(bound, 5'000);
        auto const wait = next_delay(state, options).count();
        RC_ASSERT(wait >= 0);
        RC_ASSERT(wait <= bound);
    }
}

} // namespace jujubestand::platform
