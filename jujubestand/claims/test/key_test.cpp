#include <gtest/gtest.h>
#include <jujubestand/claims/key.hpp>
#include <rapidcheck/gtest.h>

namespace jujubestand::claims
{

TEST(claim_key, time_is_read_from_version_7)
{
    // The example of RFC 9562, appendix A.6.
    auto const time = key_time("017F22E2-79B0-7CC3-98C4-DC0C0C07398F");
    ASSERT_TRUE(time);
    EXPECT_EQ(time->time_since_epoch().count(), 1'645'557'742'000);
}

TEST(claim_key, other_texts_have_no_time)
{
    EXPECT_FALSE(key_time(""));
    EXPECT_FALSE(key_time("017F22E2-79B0-4CC3-98C4-DC0C0C07398F"));
    EXPECT_FALSE(key_time("017F22E2-79B0-7CC3-18C4-DC0C0C07398F"));
    EXPECT_FALSE(key_time("017F22E2-79B0-7CC3-98C4-DC0C0C07398"));
    EXPECT_FALSE(key_time("017F22E2x79B0-7CC3-98C4-DC0C0C07398F"));
    EXPECT_FALSE(key_time("-17F22E2-79B0-7CC3-98C4-DC0C0C07398F"));
}

TEST(claim_key, team_and_route_scope_it)
{
    auto const one = scoped_key(team_id{"a"}, route_id{"bc"}, "k");
    EXPECT_NE(one, scoped_key(team_id{"ab"}, route_id{"c"}, "k"));
    EXPECT_NE(one, scoped_key(team_id{"a"}, route_id{"b"}, "k"));
    EXPECT_EQ(one, scoped_key(team_id{"a"}, route_id{"bc"}, "k"));
}

RC_GTEST_PROP(claim_key, made_keys_carry_their_time,
              (std::uint64_t high, std::uint64_t low))
{
    wall_time const now{std::chrono::milliseconds{
        static_cast<std::int64_t>(high % 100'000'000'000'000ULL)}};
    RC_ASSERT(key_time(make_key(now, {high, low})) == now);
}

RC_GTEST_PROP(claim_key, streams_are_within_the_pool,
              (std::uint64_t high, std::uint32_t streams))
{
    RC_ASSERT(stream_index({high, 0}, streams) <
              std::max<std::uint32_t>(streams, 1));
}

} // namespace jujubestand::claims
