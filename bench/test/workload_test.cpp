#include <gtest/gtest.h>

#include <bench/support/workload.hpp>
#include <map>
#include <standins/engine/completion_body.hpp>

namespace
{

using namespace jujubestand;
using namespace jujubestand::bench;

workload small_load()
{
    workload shape;
    shape.requests_per_s = 1'000;
    shape.seconds = 2;
    shape.preamble_bytes = 300;
    shape.instructions_bytes = 200;
    shape.document_bytes = 500;
    return shape;
}

bool same(planned_call const& left, planned_call const& right)
{
    return left.at_us == right.at_us && left.team == right.team &&
           left.document == right.document && left.question == right.question;
}

} // namespace

TEST(workload, a_seed_names_one_plan)
{
    auto shape = small_load();
    auto const first = plan(shape);
    auto const again = plan(shape);
    ASSERT_EQ(first.size(), again.size());
    EXPECT_TRUE(std::equal(first.begin(), first.end(), again.begin(), same));
    shape.seed = 2;
    auto const other = plan(shape);
    EXPECT_FALSE(same(first[0], other[0]));
}

TEST(workload, arrivals_keep_their_rate_and_a_few_teams_are_large)
{
    auto const calls = plan(small_load());
    EXPECT_GT(calls.size(), 1'800U);
    EXPECT_LT(calls.size(), 2'200U);
    std::map<std::uint32_t, std::size_t> teams;
    for (auto const& call : calls)
        ++teams[call.team];
    EXPECT_EQ(teams.size(), 8U);
    EXPECT_GT(teams[0] + teams[1], calls.size() / 2);
}

TEST(workload, the_expected_answer_is_the_engines)
{
    auto const shape = small_load();
    prompt_book const book(shape);
    auto const calls = plan(shape);
    for (std::size_t index = 0; index < 20; ++index)
    {
        auto const& call = calls[index];
        std::string error;
        auto const body =
            standins::read_completion(book.body(call), call.is_chat, error);
        ASSERT_TRUE(body) << error;
        EXPECT_EQ(book.answer(call, 8), standins::answer_text(body->prompt, 8));
    }
}
