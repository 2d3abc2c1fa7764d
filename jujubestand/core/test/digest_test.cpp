#include <gtest/gtest.h>
#include <jujubestand/core/digest.hpp>
#include <rapidcheck/gtest.h>

namespace jujubestand
{

TEST(digest, is_the_start_of_sha256)
{
    EXPECT_EQ(to_text(digest_of("abc")), sha256_hex("abc").substr(0, 32));
}

RC_GTEST_PROP(digest, text_is_read_back,
              (std::uint64_t high, std::uint64_t low))
{
    digest const value{high, low};
    RC_ASSERT(digest_from_text(to_text(value)) == value);
}

TEST(digest, other_texts_are_no_digest)
{
    for (char const* text : {"", "0123", "0123456789abcdef0123456789abcdeg",
                             "0123456789abcdef0123456789abcdef0"})
        EXPECT_FALSE(digest_from_text(text)) << text;
}

RC_GTEST_PROP(digest, pieces_make_the_whole,
              (std::vector<std::string> const& pieces))
{
    digest_stream stream;
    std::string whole;
    for (auto const& piece : pieces)
    {
        stream.add(piece);
        whole += piece;
    }
    RC_ASSERT(stream.finish() == digest_of(whole));
}

} // namespace jujubestand
