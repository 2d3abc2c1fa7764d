#include <gtest/gtest.h>

#include <bench/support/answer_reader.hpp>
#include <rapidcheck/gtest.h>
#include <standins/engine/answer_format.hpp>

namespace
{

using namespace jujubestand;
using namespace jujubestand::bench;

std::string stream_of(std::vector<std::string> const& tokens, bool is_chat)
{
    standins::answer_frame const frame{"abc", "m", "v1", is_chat};
    std::string out;
    for (std::size_t index = 0; index < tokens.size(); ++index)
        standins::append_token_event(out, frame, index, tokens[index],
                                     index + 1 == tokens.size());
    standins::append_usage_event(out, frame, tokens.size(),
                                 {100, tokens.size(), 48});
    standins::append_done_event(out, tokens.size() + 1);
    return out;
}

} // namespace

RC_GTEST_PROP(answer_reader, does_not_mind_how_the_bytes_are_cut, ())
{
    std::string const whole =
        stream_of({"abc ", "def ", "ghi "}, *rc::gen::arbitrary<bool>());
    auto const step = *rc::gen::inRange<std::size_t>(1, whole.size() + 1);
    answer_reader reader;
    std::size_t tokens = 0;
    for (std::size_t begin = 0; begin < whole.size(); begin += step)
        tokens += feed(reader, std::string_view(whole).substr(begin, step));
    RC_ASSERT(tokens == 3U);
    RC_ASSERT(reader.text == "abc def ghi ");
    RC_ASSERT(reader.is_done);
    RC_ASSERT(!reader.has_error);
    RC_ASSERT(reader.prompt_tokens == 100U);
    RC_ASSERT(reader.cached_tokens == 48U);
}

TEST(answer_reader, foreign_pieces_and_errors_show)
{
    answer_reader crossed;
    feed(crossed, stream_of({"abc "}, true));
    feed(crossed, "data: {\"id\":\"cmpl-other\",\"choices\":[]}\n\n");
    EXPECT_EQ(crossed.foreign_pieces, 1U);
    answer_reader failed;
    feed(failed, "event: error\ndata: {\"title\":\"cut\"}\n\n");
    EXPECT_TRUE(failed.has_error);
    EXPECT_FALSE(failed.is_done);
}

TEST(answer_reader, json_answers_are_read_at_their_end)
{
    answer_reader reader;
    reader.is_stream = false;
    standins::answer_frame const frame{"abc", "m", "v1", true};
    feed(reader, standins::json_answer(frame, "abc def ", {10, 2, 4}));
    EXPECT_FALSE(reader.is_done);
    end(reader);
    EXPECT_TRUE(reader.is_done);
    EXPECT_EQ(reader.text, "abc def ");
    EXPECT_EQ(reader.cached_tokens, 4U);
}
