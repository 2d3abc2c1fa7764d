#include <algorithm>
#include <gtest/gtest.h>
#include <jujubestand/gateway/agents.hpp>
#include <set>

namespace jujubestand::gateway
{

namespace
{

std::vector<std::string> hosts_of(std::size_t count)
{
    std::vector<std::string> hosts;
    for (std::size_t number = 0; number < count; ++number)
        hosts.push_back("10.0.0." + std::to_string(number));
    return hosts;
}

} // namespace

// Repeated news went from each gateway to each other one: half a million
// datagrams a second between 390.
TEST(random_hosts, a_few_are_chosen_and_each_of_them_by_and_by)
{
    constexpr std::size_t gateways = 390;
    constexpr std::size_t count = 8;
    constexpr int rounds = 1'000;
    std::mt19937_64 random(20261204);
    auto const hosts = hosts_of(gateways);
    std::set<std::string> chosen;
    for (int round = 0; round < rounds; ++round)
    {
        auto const some = random_hosts(hosts, count, random);
        std::set<std::string> const distinct(some.begin(), some.end());
        ASSERT_EQ(distinct.size(), count);
        chosen.insert(some.begin(), some.end());
    }
    EXPECT_EQ(chosen.size(), gateways);
}

TEST(random_hosts, all_are_chosen_if_there_are_few)
{
    std::mt19937_64 random(1);
    auto some = random_hosts(hosts_of(3), 8, random);
    std::sort(some.begin(), some.end());
    EXPECT_EQ(some, hosts_of(3));
}

} // namespace jujubestand::gateway
