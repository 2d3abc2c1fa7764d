#include <gtest/gtest.h>
#include <jujubestand/agent/askers.hpp>
#include <jujubestand/status/messages.hpp>

namespace jujubestand::agent
{

namespace
{

mono_time at(int ms)
{
    return mono_time{std::chrono::milliseconds{ms}};
}

gateway_entry gateway(char const* host, double link_mbps, int asked_at_ms)
{
    return {{host, 7'000}, link_mbps, at(asked_at_ms)};
}

} // namespace

// The first two gateways of the list read the store for all others. On a link
// of 10 Mbit/s this traffic displaced the callers' requests.
TEST(askers, gateways_with_wide_links_come_first)
{
    gateway_table const all = {{"a", gateway("10.0.0.1", 10, 0)},
                               {"b", gateway("10.0.0.9", 200, 0)},
                               {"c", gateway("10.0.0.5", 200, 0)},
                               {"d", gateway("10.0.0.2", 10, 0)}};
    std::vector<std::string> const expected = {"10.0.0.5", "10.0.0.9",
                                               "10.0.0.1", "10.0.0.2"};
    EXPECT_EQ(hosts_by_bandwidth(all), expected);
}

TEST(askers, a_gateway_that_asks_no_more_is_forgotten)
{
    gateway_table all = {{"a", gateway("10.0.0.1", 10, 0)},
                         {"b", gateway("10.0.0.2", 10, 2'900)}};
    remove_stale(all, at(3'100));
    EXPECT_EQ(hosts_by_bandwidth(all), std::vector<std::string>{"10.0.0.2"});
}

TEST(askers, the_list_goes_only_to_gateways_that_lack_it)
{
    gateway_table all = {{"a", gateway("10.0.0.1", 10, 0)}};
    auto const known = status::hash_of(hosts_if_changed(all, 0));
    EXPECT_TRUE(hosts_if_changed(all, known).empty());
    all["b"] = gateway("10.0.0.2", 200, 0);
    std::vector<std::string> const both = {"10.0.0.2", "10.0.0.1"};
    EXPECT_EQ(hosts_if_changed(all, known), both);
}

} // namespace jujubestand::agent
