#include <gtest/gtest.h>
#include <jujubestand/core/ids.hpp>

namespace jujubestand
{

TEST(ids, request_id_survives_text)
{
    request_id const id{0x0123456789abcdefULL, 0xfULL};
    EXPECT_EQ(to_text(id), "0123456789abcdef000000000000000f");
    EXPECT_EQ(request_id_from_text(to_text(id)), id);
}

TEST(ids, other_texts_are_no_request_id)
{
    EXPECT_FALSE(request_id_from_text(""));
    EXPECT_FALSE(request_id_from_text("0123456789abcdef000000000000000g"));
    EXPECT_FALSE(request_id_from_text("0123456789abcdef000000000000000"));
    EXPECT_FALSE(request_id_from_text("-123456789abcdef000000000000000f"));
}

} // namespace jujubestand
