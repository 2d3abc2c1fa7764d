#include <gtest/gtest.h>

#include <jujubestand/streams/test/answer.hpp>
#include <jujubestand/streams/upstream_answer.hpp>
#include <rapidcheck/gtest.h>

namespace jujubestand::streams
{

RC_GTEST_PROP(upstream_answer, random_cuts_change_nothing, ())
{
    auto const form =
        *rc::gen::element(answer_form::events, answer_form::whole,
                          answer_form::opaque, answer_form::plain_events);
    std::string text;
    for (auto const& event :
         answer_of(mine, *rc::gen::inRange<std::uint64_t>(1, 30)))
        text += event;
    if (form == answer_form::whole)
        text = "{\"id\":\"cmpl-" + to_text(mine) + "\",\"choices\":[]}";
    auto answer = begin_answer(form, mine);
    std::string relayed;
    std::uint64_t pieces = 0;
    auto const relay = [&](answer_step const& step)
    {
        RC_ASSERT(!step.broken);
        RC_ASSERT(step.rejected.empty());
        for (auto const& piece : step.pieces)
            relayed += piece;
        pieces += step.pieces.size();
    };
    for (std::size_t at = 0; at < text.size();)
    {
        auto const length = *rc::gen::inRange<std::size_t>(1, 200);
        relay(take_bytes(answer, std::string_view(text).substr(at, length)));
        at += length;
    }
    relay(take_end(answer));
    RC_ASSERT(relayed == text);
    RC_ASSERT(pieces == answer.pieces);
}

TEST(upstream_answer, a_whole_answer_is_held_until_its_id_was_read)
{
    auto answer = begin_answer(answer_form::whole, mine);
    auto const text = "{\"id\":\"cmpl-" + to_text(other) + "\"}";
    EXPECT_TRUE(take_bytes(answer, text).pieces.empty());
    auto const end = take_end(answer);
    EXPECT_TRUE(end.pieces.empty());
    ASSERT_TRUE(end.broken);
    EXPECT_EQ(end.broken->code, reason_code::answer_crossed);
}

// A plain service's stream that was broken off inside an event was passed on as
// complete, since its connection closed in order (ORDER).
TEST(upstream_answer, a_plain_stream_is_complete_only_between_events)
{
    std::string const event = "id: 1\ndata: a\n\n";
    std::string const text = event + "data: b\r\n\r\n";
    for (std::size_t size = 0; size <= text.size(); ++size)
    {
        auto answer = begin_answer(answer_form::plain_events, mine);
        for (std::size_t at = 0; at < size; ++at)
            EXPECT_FALSE(take_bytes(answer, text.substr(at, 1)).broken);
        bool const is_boundary =
            size == 0 || size == event.size() || size == text.size();
        EXPECT_EQ(take_end(answer).broken.has_value(), !is_boundary) << size;
    }
}

TEST(upstream_answer, nothing_is_relayed_after_a_gap)
{
    auto answer = begin_answer(answer_form::events, mine);
    auto const step =
        take_bytes(answer, token_text(mine, 0, "a") + token_text(mine, 2, "c") +
                               token_text(mine, 1, "b"));
    EXPECT_EQ(step.pieces.size(), 1U);
    ASSERT_TRUE(step.broken);
    EXPECT_EQ(step.broken->code, reason_code::answer_out_of_order);
}

} // namespace jujubestand::streams
