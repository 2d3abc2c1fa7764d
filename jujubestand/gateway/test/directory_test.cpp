#include <gtest/gtest.h>
#include <jujubestand/gateway/directory.hpp>

// The list of gateways in a deployment without agents.
namespace jujubestand::gateway
{

namespace
{

constexpr std::chrono::milliseconds wall_at{1'000'000};
wall_time const wall{wall_at};

mono_time at(int ms)
{
    return mono_time{std::chrono::milliseconds{100'000 + ms}};
}

directory_row row(char const* host, double link_mbps, int age_ms = 0)
{
    return {host, {link_mbps, wall_at.count() - age_ms}};
}

directory_row const own = row("10.0.0.5", 10);

} // namespace

// Each gateway of a deployment without agents took itself for the only one: all
// read the store, and each used the whole reserve of retries (BUDGET).
TEST(directory, gateways_with_most_bandwidth_come_first)
{
    auto const hosts = listed_gateways(
        {row("10.0.0.9", 200), row("10.0.0.2", 10), row("10.0.0.7", 200)}, own,
        {}, wall, at(0));
    EXPECT_EQ(hosts, (std::vector<std::string>{"10.0.0.7", "10.0.0.9",
                                               "10.0.0.2", "10.0.0.5"}));
}

TEST(directory, a_gateway_lists_itself_once)
{
    EXPECT_EQ(listed_gateways({}, own, {}, wall, at(0)),
              std::vector<std::string>{"10.0.0.5"});
    EXPECT_EQ(
        listed_gateways({row("10.0.0.5", 10, 90'000)}, own, {}, wall, at(0)),
        std::vector<std::string>{"10.0.0.5"});
}

TEST(directory, records_that_are_not_written_again_lapse)
{
    auto const hosts = listed_gateways(
        {row("10.0.0.1", 10, 29'000), row("10.0.0.2", 10, 31'000)}, own, {},
        wall, at(0));
    EXPECT_EQ(hosts, (std::vector<std::string>{"10.0.0.1", "10.0.0.5"}));
}

// All others would wait for what it reads.
TEST(directory, a_reader_that_does_not_answer_is_left_out)
{
    query_map queries;
    begin_query(queries, "10.0.0.7", at(0));
    begin_query(queries, "10.0.0.9", at(0));
    on_query_answered(queries, "10.0.0.9", at(10));
    begin_query(queries, "10.0.0.9", at(1'400));
    auto const rows = {row("10.0.0.7", 200), row("10.0.0.9", 200)};
    EXPECT_EQ(listed_gateways(rows, own, queries, wall, at(1'400)).size(), 3U);
    EXPECT_EQ(listed_gateways(rows, own, queries, wall, at(1'500)),
              (std::vector<std::string>{"10.0.0.9", "10.0.0.5"}));
}

// Gateways that ran before the agents ended have not written their records yet.
TEST(directory, gateways_that_were_known_are_kept_at_first)
{
    EXPECT_EQ(with_known({"a", "b"}, {"b", "c"}),
              (std::vector<std::string>{"a", "b", "c"}));
}

} // namespace jujubestand::gateway
