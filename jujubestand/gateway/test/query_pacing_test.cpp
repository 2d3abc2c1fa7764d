#include <gtest/gtest.h>
#include <jujubestand/gateway/query_pacing.hpp>

namespace jujubestand::gateway
{

namespace
{

mono_time at(int ms)
{
    return mono_time{std::chrono::milliseconds{ms}};
}

} // namespace

// Guards against repeated queries on a saturated link: while answers were still
// queued, a gateway sent ten queries a second and received each answer ten
// times.
TEST(questions, an_outstanding_query_is_not_repeated_at_each_tick)
{
    query_map queries;
    int query_count = 0;
    for (int ms = 0; ms < 2'000; ms += 100)
    {
        if (begin_query(queries, "10.0.0.1", at(ms)))
            ++query_count;
    }
    EXPECT_EQ(query_count, 5);
}

TEST(questions, an_answered_query_allows_the_next)
{
    query_map queries;
    for (int ms = 0; ms < 1'000; ms += 100)
    {
        EXPECT_TRUE(begin_query(queries, "10.0.0.1", at(ms)));
        EXPECT_EQ(begin_query(queries, "10.0.0.2", at(ms)), ms % 400 == 0);
        on_query_answered(queries, "10.0.0.1", at(ms));
    }
}

TEST(questions, an_unsolicited_answer_is_ignored)
{
    query_map queries;
    on_query_answered(queries, "10.0.0.1", at(0));
    EXPECT_TRUE(queries.empty());
}

// All gateways together sent queries by the product of their number and that of
// the agents: 165,000 a second with 103 gateways and 160 agents.
TEST(questions, agents_of_engines_in_use_are_queried_and_some_others_in_turn)
{
    constexpr std::size_t idle_limit = 20;
    constexpr int agents = 160;
    query_map queries;
    std::map<std::string, int> counts;
    std::vector<query_target> targets;
    targets.reserve(agents);
    for (int number = 0; number < agents; ++number)
        targets.push_back({"10.0.0." + std::to_string(number), number == 7});
    for (int ms = 0; ms < 1'600; ms += 100)
    {
        auto const selected = select_targets(queries, targets, idle_limit);
        EXPECT_EQ(selected.size(), idle_limit + 1);
        for (auto const& host : selected)
        {
            EXPECT_TRUE(begin_query(queries, host, at(100 + ms)));
            on_query_answered(queries, host, at(100 + ms));
            ++counts[host];
        }
    }
    EXPECT_EQ(counts.size(), static_cast<std::size_t>(agents));
    for (auto const& [host, count] : counts)
    {
        if (host == "10.0.0.7")
            EXPECT_EQ(count, 16);
        else
            EXPECT_TRUE(count == 2 || count == 3) << host << ' ' << count;
    }
}

// As before with few engines: each agent every 100 ms.
TEST(questions, all_agents_of_a_small_fleet_are_queried_at_each_tick)
{
    query_map queries;
    std::vector<query_target> const targets = {{"10.0.0.1", false},
                                               {"10.0.0.2", true}};
    EXPECT_EQ(select_targets(queries, targets, 20).size(), 2U);
}

// Each of the two readers numbers changes on its own. A gateway that alternated
// between them received the full contents of all stores with every answer.
TEST(questions, one_reader_is_followed_while_it_answers)
{
    std::vector<std::string> const readers = {"10.0.0.1", "10.0.0.2"};
    followed_reader followed;
    for (int ms = 0; ms < 5'000; ms += 100)
    {
        update_followed_reader(followed, readers, at(ms));
        EXPECT_EQ(followed.host, "10.0.0.1");
        followed.last_answer_at = at(ms);
    }
}

TEST(questions, a_reader_that_times_out_is_replaced_by_the_next)
{
    std::vector<std::string> const readers = {"10.0.0.1", "10.0.0.2"};
    followed_reader followed;
    update_followed_reader(followed, readers, at(0));
    update_followed_reader(followed, readers, at(1'100));
    EXPECT_EQ(followed.host, "10.0.0.2");
    update_followed_reader(followed, readers, at(2'200));
    EXPECT_EQ(followed.host, "10.0.0.1");
}

TEST(questions, a_gateway_that_stops_reading_is_replaced_immediately)
{
    followed_reader followed;
    update_followed_reader(followed, {"10.0.0.1"}, at(0));
    update_followed_reader(followed, {"10.0.0.5", "10.0.0.6"}, at(10));
    EXPECT_EQ(followed.host, "10.0.0.5");
    update_followed_reader(followed, {}, at(20));
    EXPECT_EQ(followed.host, "10.0.0.5");
}

} // namespace jujubestand::gateway
