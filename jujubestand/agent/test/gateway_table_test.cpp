#include <gtest/gtest.h>
#include <jujubestand/agent/gateway_table.hpp>
#include <jujubestand/status/messages.hpp>

namespace jujubestand::agent
{

namespace
{

mono_time at(int ms)
{
    return mono_time{std::chrono::milliseconds{ms}};
}

gateway_entry gateway(char const* host, double link_mbps,
                      int last_request_at_ms)
{
    return {{host, 7'000}, link_mbps, at(last_request_at_ms)};
}

} // namespace

// The first two gateways of the list read the store for all others. On a link
// of 10 Mbit/s this traffic displaced the callers' requests.
TEST(gateway_table, gateways_with_most_bandwidth_come_first)
{
    gateway_table const gateways = {{"a", gateway("10.0.0.1", 10, 0)},
                                    {"b", gateway("10.0.0.9", 200, 0)},
                                    {"c", gateway("10.0.0.5", 200, 0)},
                                    {"d", gateway("10.0.0.2", 10, 0)}};
    std::vector<std::string> const expected = {"10.0.0.5", "10.0.0.9",
                                               "10.0.0.1", "10.0.0.2"};
    EXPECT_EQ(hosts_by_bandwidth(gateways), expected);
}

TEST(gateway_table, stale_gateways_are_removed)
{
    gateway_table gateways = {{"a", gateway("10.0.0.1", 10, 0)},
                              {"b", gateway("10.0.0.2", 10, 2'900)}};
    EXPECT_FALSE(remove_stale(gateways, 1, at(3'000)));
    EXPECT_TRUE(remove_stale(gateways, 1, at(3'100)));
    EXPECT_EQ(hosts_by_bandwidth(gateways),
              std::vector<std::string>{"10.0.0.2"});
}

TEST(gateway_table, hosts_are_sent_only_if_changed)
{
    gateway_list list;
    record_gateway(list, "a", gateway("10.0.0.1", 10, 0));
    auto const known = status::hash_of(hosts_if_changed(list, 0));
    EXPECT_TRUE(hosts_if_changed(list, known).empty());
    record_gateway(list, "a", gateway("10.0.0.1", 10, 50));
    EXPECT_TRUE(hosts_if_changed(list, known).empty());
    record_gateway(list, "b", gateway("10.0.0.2", 200, 0));
    std::vector<std::string> const both = {"10.0.0.2", "10.0.0.1"};
    EXPECT_EQ(hosts_if_changed(list, known), both);
}

TEST(gateway_table, a_gateway_that_changes_address_is_listed_by_the_new_one)
{
    gateway_list list;
    record_gateway(list, "a", gateway("10.0.0.1", 10, 0));
    record_gateway(list, "a", gateway("10.0.0.3", 10, 50));
    EXPECT_EQ(list.hosts, std::vector<std::string>{"10.0.0.3"});
}

TEST(gateway_table, the_list_lacks_gateways_that_have_ended)
{
    gateway_list list;
    record_gateway(list, "a", gateway("10.0.0.1", 10, 0));
    record_gateway(list, "b", gateway("10.0.0.2", 10, 3'000));
    auto const known = list.hash;
    review_gateways(list, 1, at(3'100));
    EXPECT_EQ(hosts_if_changed(list, known),
              std::vector<std::string>{"10.0.0.2"});
}

// A gateway of a large fleet queries each agent every few seconds.
TEST(gateway_table, gateways_of_a_large_fleet_stay_listed_between_queries)
{
    constexpr std::size_t engines = 600;
    gateway_table gateways = {{"a", gateway("10.0.0.1", 10, 0)}};
    EXPECT_FALSE(remove_stale(gateways, engines, at(9'000)));
    EXPECT_TRUE(remove_stale(gateways, engines, at(12'100)));
}

} // namespace jujubestand::agent
