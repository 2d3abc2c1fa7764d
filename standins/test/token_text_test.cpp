#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>
#include <standins/engine/completion_body.hpp>
#include <standins/engine/token_text.hpp>

namespace
{

using namespace jujubestand::standins;

std::vector<std::uint64_t> chain_of(std::string const& text)
{
    text_chain chain;
    return extend(chain, text);
}

} // namespace

RC_GTEST_PROP(token_text, does_not_depend_on_how_the_text_came,
              (std::string const& head, std::string const& tail))
{
    text_chain parts;
    auto filled = extend(parts, head);
    for (char const letter : tail)
    {
        auto const more = extend(parts, std::string(1, letter));
        filled.insert(filled.end(), more.begin(), more.end());
    }
    text_chain whole;
    RC_ASSERT(extend(whole, head + tail) == filled);
    RC_ASSERT(whole.hash == parts.hash);
    RC_ASSERT(whole.tail == parts.tail);
}

RC_GTEST_PROP(token_text, goes_on_where_an_answer_stopped,
              (std::string const& prompt))
{
    auto const first = *rc::gen::inRange<std::size_t>(0, 40);
    std::string const whole = answer_text(prompt, 40);
    std::string const begun = answer_text(prompt, first);
    RC_ASSERT(begun + answer_text(prompt + begun, 40 - first) == whole);
}

TEST(token_text, blocks_share_a_prefix_up_to_the_first_difference)
{
    std::string const common(10 * block_bytes, 'a');
    auto const left = chain_of(common + std::string(2 * block_bytes, 'b'));
    auto const right = chain_of(common + std::string(2 * block_bytes, 'c'));
    ASSERT_EQ(left.size(), 12U);
    for (std::size_t index = 0; index < 10; ++index)
        EXPECT_EQ(left[index], right[index]);
    EXPECT_NE(left[10], right[10]);
    EXPECT_NE(left[11], right[11]);
}

TEST(completion_body, an_answer_begun_goes_on_in_chat)
{
    std::string error;
    auto const fresh = read_completion(
        R"({"messages":[{"role":"user","content":"q"}],"max_tokens":8})", true,
        error);
    ASSERT_TRUE(fresh);
    std::string const whole = answer_text(fresh->prompt, 8);
    std::string const begun = whole.substr(0, 3 * token_bytes);
    auto const resumed =
        read_completion(R"({"messages":[{"role":"user","content":"q"},)"
                        R"({"role":"assistant","content":")" +
                            begun + R"("}],"max_tokens":5})",
                        true, error);
    ASSERT_TRUE(resumed);
    EXPECT_EQ(begun + answer_text(resumed->prompt, 5), whole);
}

TEST(completion_body, malformed_bodies_are_told)
{
    std::string error;
    EXPECT_FALSE(read_completion("{", true, error));
    EXPECT_FALSE(error.empty());
    EXPECT_FALSE(read_completion(R"({"messages":3})", true, error));
}
