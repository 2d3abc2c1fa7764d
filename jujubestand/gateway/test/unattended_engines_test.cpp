#include <gtest/gtest.h>
#include <jujubestand/dispatch/test/fleet.hpp>
#include <jujubestand/gateway/unattended_engines.hpp>

// Engines without agents, and which gateway takes care of them.
namespace jujubestand::gateway
{

namespace
{

using dispatch::at;

constexpr std::chrono::milliseconds silence{3'000};

std::vector<unattended_engine> find(dispatch::state const& dispatcher,
                                    query_map const& queries, int ms)
{
    return find_unattended(dispatcher, queries, silence, at(ms));
}

/// \brief Queries to the agents of a fleet, of which some answer.
query_map queries_to(int engines, int answering, int ms)
{
    query_map queries;
    for (int number = 1; number <= engines; ++number)
    {
        auto const host = "10.0.0." + std::to_string(number);
        begin_query(queries, host, at(0));
        if (number <= answering)
            on_query_answered(queries, host, at(ms));
    }
    return queries;
}

std::vector<unattended_engine> lacking(std::size_t count)
{
    return std::vector<unattended_engine>(count, {1, 0, 1, true});
}

} // namespace

TEST(unattended_engines, are_those_whose_agents_have_not_answered_for_long)
{
    auto const dispatcher = dispatch::fleet(3);
    auto const queries = queries_to(3, 2, 100);
    EXPECT_TRUE(find(dispatcher, queries, 2'999).empty());
    auto const found = find(dispatcher, queries, 3'000);
    ASSERT_EQ(found.size(), 1U);
    EXPECT_EQ(found[0].pool_index, 2U);
    EXPECT_EQ(found[0].pool_size, 3U);
    EXPECT_FALSE(found[0].lacks_weights);
    EXPECT_EQ(find(dispatcher, queries, 3'100).size(), 3U);
}

TEST(unattended_engines, are_not_those_that_were_never_asked_or_leave)
{
    auto dispatcher = dispatch::fleet(3);
    EXPECT_TRUE(find(dispatcher, {}, 9'000).empty());
    dispatch::engine(dispatcher, 1).record.is_leaving = true;
    dispatch::engine(dispatcher, 2).is_replaced = true;
    EXPECT_EQ(find(dispatcher, queries_to(3, 0, 0), 9'000).size(), 1U);
}

TEST(unattended_engines, lack_weights_that_are_newer_than_theirs)
{
    auto dispatcher = dispatch::fleet(2);
    dispatch::on_wanted_weights(dispatcher, "m", 2, at(0));
    dispatch::on_weights_seen(dispatcher, dispatch::engine(dispatcher, 1).key,
                              "m", 2);
    auto const found = find(dispatcher, queries_to(2, 0, 0), 9'000);
    ASSERT_EQ(found.size(), 2U);
    EXPECT_FALSE(found[0].lacks_weights);
    EXPECT_TRUE(found[1].lacks_weights);
}

// All gateways find such engines at the same time.
TEST(unattended_engines, are_claimed_after_a_delay_of_each_gateway)
{
    lease_claim claim;
    claim.delay = std::chrono::milliseconds{400};
    order_lease const lease;
    update_claim(claim, {}, at(0));
    EXPECT_FALSE(wants_lease(claim, lease, at(9'000)));
    update_claim(claim, lacking(2), at(0));
    EXPECT_FALSE(wants_lease(claim, lease, at(399)));
    EXPECT_TRUE(wants_lease(claim, lease, at(400)));
}

// Another gateway holds the lease: it is left to it while it does its work.
TEST(unattended_engines, are_claimed_again_only_if_they_make_no_progress)
{
    lease_claim claim;
    order_lease lease;
    lease.end = topic_end{1, 4};
    update_claim(claim, lacking(4), at(0));
    EXPECT_FALSE(wants_lease(claim, lease, at(1'499)));
    update_claim(claim, lacking(3), at(1'400));
    EXPECT_FALSE(wants_lease(claim, lease, at(2'899)));
    EXPECT_TRUE(wants_lease(claim, lease, at(2'900)));
    update_claim(claim, {{1, 0, 1, false}}, at(2'900));
    EXPECT_FALSE(wants_lease(claim, lease, at(9'000)));
}

TEST(unattended_engines, are_kept_by_the_holder_until_their_agents_are_back)
{
    lease_claim claim;
    order_lease lease;
    lease.end = topic_end{1, 1};
    lease.is_held = true;
    lease.confirmed_at = at(0);
    update_claim(claim, {{1, 0, 1, false}}, at(0));
    EXPECT_TRUE(wants_lease(claim, lease, at(1'000)));
    update_claim(claim, {}, at(1'000));
    EXPECT_FALSE(wants_lease(claim, lease, at(1'000)));
}

} // namespace jujubestand::gateway
