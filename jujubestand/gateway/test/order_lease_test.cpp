#include <gtest/gtest.h>
#include <jujubestand/gateway/order_lease.hpp>
#include <random>
#include <vector>

// Which gateway orders the weights of engines that have no agent.
namespace jujubestand::gateway
{

namespace
{

mono_time at(int ms)
{
    return mono_time{std::chrono::milliseconds{100'000 + ms}};
}

/// A topic of the store that takes appends at its end.
struct topic
{
    std::uint64_t end = 0;
    std::uint64_t era = 1;

    lease_append_end append(std::uint64_t offset)
    {
        if (offset != this->end)
            return {std::nullopt, this->end, this->era};
        return {this->end++, std::nullopt, this->era};
    }
};

/// \brief Carries out the append that is due, if there is one.
bool step(order_lease& lease, topic& log, int ms, bool is_wanted = true)
{
    auto const offset = next_append(lease, is_wanted, at(ms));
    return offset && on_append_end(lease, log.append(*offset), at(ms));
}

} // namespace

TEST(order_lease, the_first_gateway_takes_it_at_once_and_keeps_it)
{
    topic log;
    order_lease first;
    order_lease second;
    EXPECT_TRUE(step(first, log, 0));
    for (int ms = 0; ms < 20'000; ms += 100)
    {
        step(first, log, ms);
        EXPECT_FALSE(step(second, log, ms));
        EXPECT_TRUE(is_valid(first, at(ms)));
        EXPECT_FALSE(is_valid(second, at(ms)));
    }
}

TEST(order_lease, another_gateway_takes_it_once_it_has_lapsed)
{
    topic log;
    order_lease first;
    order_lease second;
    EXPECT_TRUE(step(first, log, 0));
    EXPECT_FALSE(step(second, log, 10));
    EXPECT_FALSE(step(second, log, 3'000));
    EXPECT_FALSE(is_valid(first, at(3'000)));
    EXPECT_TRUE(step(second, log, 3'010));
    EXPECT_TRUE(is_valid(second, at(3'010)));
}

// The first holder stood still: it must not go on by what it knew before.
TEST(order_lease, a_holder_that_was_replaced_loses_it_at_its_next_append)
{
    topic log;
    order_lease first;
    order_lease second;
    EXPECT_TRUE(step(first, log, 0));
    EXPECT_FALSE(step(second, log, 0));
    EXPECT_TRUE(step(second, log, 3'000));
    EXPECT_FALSE(step(first, log, 3'100));
    EXPECT_FALSE(is_valid(first, at(3'100)));
    EXPECT_TRUE(is_valid(second, at(3'100)));
}

TEST(order_lease, an_append_without_an_answer_confirms_nothing)
{
    order_lease lease;
    ASSERT_EQ(next_append(lease, true, at(0)), 0U);
    EXPECT_FALSE(next_append(lease, true, at(100)));
    EXPECT_FALSE(on_append_end(lease, {}, at(1'500)));
    EXPECT_FALSE(is_valid(lease, at(1'500)));
    EXPECT_FALSE(next_append(lease, true, at(1'600)));
    EXPECT_EQ(next_append(lease, true, at(1'800)), 0U);
}

TEST(order_lease, nothing_is_appended_unless_it_is_wanted)
{
    topic log;
    order_lease lease;
    EXPECT_FALSE(step(lease, log, 0, false));
    EXPECT_EQ(log.end, 0U);
    EXPECT_TRUE(step(lease, log, 100));
    EXPECT_FALSE(step(lease, log, 1'500, false));
    EXPECT_EQ(log.end, 1U);
    EXPECT_FALSE(is_valid(lease, at(2'600)));
}

// Offsets go back when the store returns from an older copy, and are given out
// again: the same end then doesn't show that no other gateway has appended.
TEST(order_lease, an_end_of_another_era_shows_nothing)
{
    topic log{5, 1};
    order_lease lease;
    EXPECT_FALSE(step(lease, log, 0));
    log.era = 2;
    EXPECT_FALSE(step(lease, log, 3'000));
    EXPECT_FALSE(is_valid(lease, at(3'000)));
    EXPECT_TRUE(step(lease, log, 6'000));
}

// Gateways that start, stand still, lose answers and want the lease at random.
TEST(order_lease, two_gateways_never_hold_it_at_once)
{
    constexpr unsigned seed = 20261205;
    constexpr std::size_t gateways = 5;
    std::mt19937 random(seed);
    topic log;
    std::vector<order_lease> leases(gateways);
    std::vector<int> standing_until(gateways, 0);
    int taken = 0;
    for (int ms = 0; ms < 400'000; ms += 50)
    {
        std::size_t valid = 0;
        for (std::size_t number = 0; number < gateways; ++number)
        {
            auto& lease = leases[number];
            valid += is_valid(lease, at(ms)) ? 1 : 0;
            if (ms < standing_until[number])
                continue;
            if (random() % 200 == 0)
                standing_until[number] =
                    ms + static_cast<int>(random() % 6'000);
            if (random() % 400 == 0)
                lease = {};
            auto const offset = next_append(lease, true, at(ms));
            if (!offset)
                continue;
            auto const end = log.append(*offset);
            bool const is_answer_lost = random() % 10 == 0;
            taken += on_append_end(
                lease, is_answer_lost ? lease_append_end{} : end, at(ms));
        }
        ASSERT_LE(valid, 1U) << ms;
    }
    EXPECT_GT(taken, 10);
}

} // namespace jujubestand::gateway
