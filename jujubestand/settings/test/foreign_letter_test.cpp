#include <gtest/gtest.h>
#include <jujubestand/settings/foreign_letter.hpp>

namespace jujubestand::settings
{

// Found by the fuzz target: a letter after a quoted key reached toml++.
TEST(foreign_letter, a_letter_after_a_closed_quote_is_found)
{
    auto const found = foreign_letter("a = 1\n \"\"\xef\xbb\xa9p^p");
    ASSERT_TRUE(found);
    EXPECT_EQ(found->line, 2U);
    EXPECT_EQ(found->column, 4U);
    EXPECT_TRUE(foreign_letter("'a'\xc3\xa9"));
    EXPECT_TRUE(foreign_letter("\"a\\\"\"\xc3\xa9"));
    EXPECT_TRUE(foreign_letter("# \xc3\xa9\n\xc3\xa9"));
}

TEST(foreign_letter, quotes_and_comments_may_hold_any)
{
    EXPECT_FALSE(foreign_letter("a = \"\xc3\xa9\" # \xc3\xa9 \"\n"));
    EXPECT_FALSE(foreign_letter("a = '\xc3\xa9'\n"));
    EXPECT_FALSE(foreign_letter("a = \"\\\"\xc3\xa9\"\n"));
    EXPECT_FALSE(foreign_letter(""));
}

} // namespace jujubestand::settings
