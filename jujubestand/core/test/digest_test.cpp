#include <gtest/gtest.h>
#include <jujubestand/core/digest.hpp>
#include <rapidcheck/gtest.h>

namespace jujubestand
{

TEST(digest, is_the_start_of_sha256)
{
    EXPECT_EQ(to_text(digest_of("abc")), sha256_hex("abc").substr(0, 32));
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
