#include <algorithm>
#include <gtest/gtest.h>
#include <jujubestand/gateway/quarantine_records.hpp>

// Which gateway writes a crash to the store. All wrote each crash, and each
// write woke the reads of all: 126,000 calls in 26 s, with 103 gateways and 40
// crashes.
namespace jujubestand::gateway
{

namespace
{

std::vector<std::string> hosts(int count)
{
    std::vector<std::string> result;
    for (int number = 1; number <= count; ++number)
        result.push_back("10.0.0." + std::to_string(number));
    return result;
}

std::vector<std::chrono::milliseconds>
delays(std::vector<std::string> const& gateways, std::string const& key)
{
    std::vector<std::chrono::milliseconds> result;
    result.reserve(gateways.size());
    for (auto const& own : gateways)
        result.push_back(turn_delay(gateways, own, key));
    std::sort(result.begin(), result.end());
    return result;
}

} // namespace

TEST(quarantine_records, gateways_write_a_record_in_turn)
{
    auto const all = delays(hosts(103), "crash-1");
    EXPECT_EQ(all[0].count(), 0);
    EXPECT_EQ(all[1].count(), 250);
    EXPECT_EQ(all[2].count(), 500);
    EXPECT_EQ(all.back().count(), 4'000);
}

TEST(quarantine_records, the_turns_depend_on_the_record)
{
    auto const gateways = hosts(20);
    int first = 0;
    for (int number = 0; number < 200; ++number)
    {
        if (turn_delay(gateways, gateways[0], "crash-" + std::to_string(number))
                .count() == 0)
            ++first;
    }
    EXPECT_GT(first, 2);
    EXPECT_LT(first, 40);
}

// Also before it knows the others.
TEST(quarantine_records, a_gateway_alone_writes_at_once)
{
    EXPECT_EQ(turn_delay({}, "10.0.0.1", "crash-1").count(), 0);
    EXPECT_EQ(turn_delay(hosts(1), "10.0.0.1", "crash-1").count(), 0);
}

} // namespace jujubestand::gateway
