#include <algorithm>
#include <gtest/gtest.h>
#include <jujubestand/traffic/tables.hpp>
#include <set>
#include <string>

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

/// Tables with the teams `a`, `ab`, `b` and `c`.
tables with_isolated(std::set<std::string> const& isolated)
{
    tables content;
    for (std::string const name : {"a", "ab", "b", "c"})
        content.teams.push_back({name, {}, isolated.contains(name), {}});
    return content;
}

std::string owner(tables const& content, std::size_t team)
{
    return cache_owner_of(content.teams[team], shared_cache_owner(content));
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
    content.teams = {{"t", {}, true, {}}};
    content.keys["k"] = 0;
    EXPECT_EQ(find_team(content, "k")->name, "t");
    EXPECT_EQ(find_team(content, ""), nullptr);
}

// What a team had cached before it became isolated stayed in use by the others
// (WALL).
TEST(tables, parts_of_a_team_that_is_isolated_now_have_another_owner)
{
    auto const before = with_isolated({});
    auto const after = with_isolated({"a"});
    for (std::size_t team = 0; team < before.teams.size(); ++team)
    {
        EXPECT_EQ(owner(before, team), owner(before, 0));
        EXPECT_NE(owner(after, team), owner(before, 0));
    }
    EXPECT_EQ(owner(after, 1), owner(after, 2));
    EXPECT_NE(owner(after, 0), owner(after, 1));
}

// Each set of isolated teams has a shared owner of its own, so that no team
// finds what another cached that is isolated now.
TEST(tables, no_two_sets_of_isolated_teams_share_an_owner)
{
    std::set<std::string> owners;
    constexpr unsigned sets = 16;
    for (unsigned bits = 0; bits < sets; ++bits)
    {
        std::set<std::string> isolated;
        auto const all = with_isolated({});
        for (std::size_t team = 0; team < all.teams.size(); ++team)
        {
            if ((bits >> team & 1U) != 0)
                isolated.insert(all.teams[team].name);
        }
        owners.insert(shared_cache_owner(with_isolated(isolated)));
    }
    EXPECT_EQ(owners.size(), sets);
}

// Gateways agree whatever the order in which their tables list the teams, and
// other teams that come and go leave the cache warm.
TEST(tables, the_shared_owner_depends_on_the_isolated_teams_alone)
{
    auto content = with_isolated({"a", "c"});
    auto const expected = shared_cache_owner(content);
    std::reverse(content.teams.begin(), content.teams.end());
    EXPECT_EQ(shared_cache_owner(content), expected);
    content.teams.push_back({"d", {}, false, {}});
    content.version += 1;
    EXPECT_EQ(shared_cache_owner(content), expected);
}

} // namespace jujubestand::traffic
