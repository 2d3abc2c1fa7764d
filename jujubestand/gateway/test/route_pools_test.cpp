#include <gtest/gtest.h>
#include <jujubestand/gateway/route_pools.hpp>
#include <jujubestand/gateway/stream_origins.hpp>

// Pools in which a resumed stream of a split route may have begun, and in which
// it can go on.
namespace jujubestand::gateway
{

namespace
{

using names = std::vector<std::string>;

mono_time at(int s)
{
    return mono_time{std::chrono::seconds{1'000 + s}};
}

traffic::route route_to(std::vector<traffic::pool_share> shares)
{
    traffic::route result;
    result.name = "chat";
    result.shares = std::move(shares);
    return result;
}

traffic::tables tables_of(traffic::route const& only)
{
    traffic::tables result;
    result.routes = {only};
    for (std::string const name : {"old", "new", "other"})
    {
        result.pools[name].name = name;
        result.pools[name].engine.emplace();
    }
    result.pools["plain"].name = "plain";
    return result;
}

/// A pool `old` at v1 and two pools at v2, one upstream each.
dispatch::state upstreams()
{
    dispatch::state result;
    dispatch::upstream_key key = 0;
    for (auto const& [pool, version] :
         {std::pair{"old", "v1"}, std::pair{"new", "v2"},
          std::pair{"newest", "v2"}})
    {
        auto& added = result.upstreams[++key];
        added.key = key;
        added.record.pool = pool;
        added.record.software_version = version;
    }
    return result;
}

dispatch::call call_for(std::string const& version)
{
    dispatch::call result;
    result.pool = "new";
    result.software_version = version;
    return result;
}

} // namespace

// A stream that was resumed after a change of weights was looked for in the
// pool of the draw alone, and refused (LOST).
TEST(route_pools, a_resumed_stream_goes_on_in_any_pool_with_its_version)
{
    auto const known = upstreams();
    auto const split = route_to({{"old", 5}, {"new", 95}});
    constexpr std::uint64_t draws = 100;
    for (std::uint64_t number = 0; number < draws; ++number)
    {
        auto const draw = number * (~0ULL / draws);
        EXPECT_EQ(choose_resume_pool(known, call_for("v1"), split, draw),
                  "old");
        EXPECT_EQ(choose_resume_pool(known, call_for("v2"), split, draw),
                  "new");
    }
}

TEST(route_pools, pools_of_one_version_get_resumed_streams_by_weight)
{
    auto const known = upstreams();
    auto const split = route_to({{"old", 90}, {"new", 9}, {"newest", 1}});
    int in_newest = 0;
    constexpr std::uint64_t draws = 1'000;
    for (std::uint64_t number = 0; number < draws; ++number)
    {
        auto const pool = choose_resume_pool(known, call_for("v2"), split,
                                             number * (~0ULL / draws));
        EXPECT_NE(pool, "old");
        in_newest += pool == "newest" ? 1 : 0;
    }
    EXPECT_NEAR(in_newest, 100, 2);
}

// The configuration in force sends nothing to such pools.
TEST(route_pools, no_stream_goes_on_where_its_route_sends_nothing)
{
    auto known = upstreams();
    EXPECT_EQ(choose_resume_pool(known, call_for("v1"),
                                 route_to({{"old", 0}, {"new", 1}}), 0),
              "");
    EXPECT_EQ(
        choose_resume_pool(known, call_for("v1"), route_to({{"new", 1}}), 0),
        "");
    known.upstreams.at(1).record.is_leaving = true;
    EXPECT_EQ(choose_resume_pool(known, call_for("v1"),
                                 route_to({{"old", 1}, {"new", 1}}), 0),
              "");
}

// A route's stream may have begun in a pool that the route was moved away from;
// the version of the pool it was moved to was inferred for it.
TEST(route_pools, pools_that_a_route_was_moved_away_from_count_for_a_while)
{
    route_pools state;
    state.known_since = at(-1'000);
    auto const before = route_to({{"old", 1}});
    auto const after = route_to({{"new", 1}});
    record_former_pools(state, tables_of(before), at(0));
    EXPECT_EQ(possible_pools(state, tables_of(after), after, at(1)),
              (names{"new", "old"}));
    auto const later =
        at(1) + std::chrono::duration_cast<microseconds>(software_memory);
    EXPECT_EQ(possible_pools(state, tables_of(after), after, later),
              names{"new"});
    record_former_pools(state, tables_of(after), later);
    EXPECT_EQ(state.former.at("chat").size(), 1U);
}

// A gateway that has just started does not know where the route went before.
TEST(route_pools, all_engines_count_for_a_gateway_that_just_started)
{
    route_pools state;
    auto const moved = route_to({{"new", 1}});
    auto const tables = tables_of(moved);
    EXPECT_EQ(possible_pools(state, tables, moved, at(0)),
              (names{"new", "old", "other"}));
    state.known_since = at(0);
    EXPECT_EQ(possible_pools(state, tables, moved, at(60)),
              (names{"new", "old", "other"}));
    EXPECT_EQ(possible_pools(state, tables, moved, at(61)), names{"new"});
}

} // namespace jujubestand::gateway
