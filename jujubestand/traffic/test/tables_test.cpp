#include <gtest/gtest.h>
#include <jujubestand/traffic/tables.hpp>

namespace jujubestand::traffic
{

namespace
{

route make_route(char const* host, char const* prefix)
{
    route result;
    result.name = prefix;
    result.host = host;
    result.path_prefix = prefix;
    return result;
}

} // namespace

TEST(tables, the_longest_prefix_of_the_host_wins)
{
    tables content;
    content.routes = {make_route("a", "/x/"), make_route("a", "/x/y/"),
                      make_route("b", "/x/y/z/")};
    EXPECT_EQ(find_route(content, "a", "/x/y/z/1")->name, "/x/y/");
    EXPECT_EQ(find_route(content, "a", "/x/1")->name, "/x/");
    EXPECT_EQ(find_route(content, "a", "/x"), nullptr);
    EXPECT_EQ(find_route(content, "c", "/x/"), nullptr);
}

TEST(tables, pools_get_their_share)
{
    route split = make_route("a", "/");
    split.shares = {{"p", 90}, {"q", 10}};
    int in_q = 0;
    constexpr std::uint64_t draws = 1'000;
    for (std::uint64_t at = 0; at < draws; ++at)
        in_q += choose_pool(split, at * (~0ULL / draws)) == "q" ? 1 : 0;
    EXPECT_NEAR(in_q, 100, 2);
    EXPECT_EQ(choose_pool(make_route("a", "/"), 0), "");
    EXPECT_EQ(choose_pool(split, ~0ULL), "q");
}

TEST(tables, a_key_leads_to_its_team)
{
    tables content;
    content.teams = {{"t", {}, true}};
    content.keys["k"] = 0;
    EXPECT_EQ(find_team(content, "k")->name, "t");
    EXPECT_EQ(find_team(content, ""), nullptr);
}

} // namespace jujubestand::traffic
