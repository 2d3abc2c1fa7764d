#include <gtest/gtest.h>

#include <jujubestand/streams/answer_checker.hpp>
#include <jujubestand/streams/test/answer.hpp>
#include <rapidcheck/gtest.h>

namespace jujubestand::streams
{

RC_GTEST_PROP(answer_checker, crossed_and_doubled_pieces_never_reach_the_caller,
              ())
{
    auto const tokens = *rc::gen::inRange<std::uint64_t>(1, 20);
    auto const own = answer_of(mine, tokens);
    auto const foreign =
        answer_of(other, *rc::gen::inRange<std::uint64_t>(1, 20));
    std::vector<std::string> sent;
    for (std::size_t at = 0; at < own.size(); ++at)
    {
        if (*rc::gen::inRange(0, 3) == 0)
            sent.push_back(
                foreign[*rc::gen::inRange<std::size_t>(0, foreign.size())]);
        if (*rc::gen::inRange(0, 3) == 0)
            sent.push_back(own[*rc::gen::inRange<std::size_t>(0, at + 1)]);
        if (*rc::gen::inRange(0, 12) != 0)
            sent.push_back(own[at]);
    }
    answer_checker checker{mine, 0, false, false, std::nullopt};
    std::vector<std::string> relayed;
    bool is_broken = false;
    for (std::size_t at = 0; at < sent.size() && !is_broken; ++at)
    {
        auto const fate = check(checker, to_event(sent[at])).fate;
        is_broken = fate == piece_fate::broken;
        if (fate == piece_fate::relay || fate == piece_fate::end)
            relayed.push_back(sent[at]);
    }
    RC_ASSERT(relayed.size() <= own.size());
    RC_ASSERT(std::equal(relayed.begin(), relayed.end(), own.begin()));
    RC_ASSERT(checker.is_done == (relayed.size() == own.size()));
}

TEST(answer_checker, an_end_before_the_finish_reason_does_not_count)
{
    answer_checker checker{mine, 0, false, false, std::nullopt};
    EXPECT_EQ(check(checker, to_event(token_text(mine, 0, "a"))).fate,
              piece_fate::relay);
    EXPECT_EQ(check(checker, to_event(done_text(1))).fate, piece_fate::skip);
    EXPECT_EQ(check(checker, to_event("data: [DONE]\n\n")).fate,
              piece_fate::skip);
    EXPECT_FALSE(checker.is_done);
}

TEST(answer_checker, a_gap_breaks_the_answer)
{
    answer_checker checker{mine, 0, false, false, std::nullopt};
    auto const result = check(checker, to_event(token_text(mine, 1, "b")));
    EXPECT_EQ(result.fate, piece_fate::broken);
    EXPECT_EQ(result.why.code, reason_code::answer_out_of_order);
}

TEST(answer_checker, an_event_without_a_number_breaks_the_answer)
{
    answer_checker checker{mine, 0, false, false, std::nullopt};
    std::string const text = token_text(mine, 0, "a").substr(6);
    EXPECT_EQ(check(checker, to_event(text)).fate, piece_fate::broken);
}

TEST(answer_checker, an_engines_error_breaks_the_answer)
{
    answer_checker checker{mine, 0, false, false, std::nullopt};
    auto const result =
        check(checker, to_event("data: {\"error\":{\"message\":\"x\"}}\n\n"));
    EXPECT_EQ(result.fate, piece_fate::broken);
    EXPECT_EQ(result.why.code, reason_code::upstream_error);
}

TEST(answer_checker, usage_is_read)
{
    answer_checker checker{mine, 0, false, false, std::nullopt};
    std::string const text =
        "id: 0\ndata: {\"id\":\"cmpl-" + to_text(mine) +
        "\",\"choices\":[],\"usage\":{\"prompt_tokens\":9,"
        "\"completion_tokens\":4,\"prompt_tokens_details\":"
        "{\"cached_tokens\":8}}}\n\n";
    EXPECT_EQ(check(checker, to_event(text)).fate, piece_fate::relay);
    ASSERT_TRUE(checker.usage);
    EXPECT_EQ(checker.usage->prompt_tokens, 9U);
    EXPECT_EQ(checker.usage->cached_tokens, 8U);
    EXPECT_EQ(checker.usage->completion_tokens, 4U);
}

TEST(answer_checker, a_whole_answer_must_be_this_requests)
{
    reason why;
    std::string const text = "{\"id\":\"cmpl-" + to_text(other) + "\"}";
    EXPECT_TRUE(check_whole(other, text, why));
    EXPECT_FALSE(check_whole(mine, text, why));
    EXPECT_EQ(why.code, reason_code::answer_crossed);
    EXPECT_FALSE(check_whole(other, text.substr(0, 30), why));
    EXPECT_EQ(why.code, reason_code::answer_incomplete);
    EXPECT_FALSE(check_whole(other, "{}", why));
}

} // namespace jujubestand::streams
