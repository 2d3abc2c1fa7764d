#include <gtest/gtest.h>
#include <jujubestand/config/records.hpp>

namespace jujubestand::config
{

// Found by fuzzing: an array of 3.5 billion elements, announced in 5 bytes.
TEST(hostile_records, an_announced_size_reserves_no_memory)
{
    std::string const bytes = "\x92\xa6"
                              "edit-1"
                              "\x94\x92\x01"
                              "\xdd\xd5\xd5\xd5\xd5";
    reason why;
    EXPECT_FALSE(unpack_record(bytes, why));
    EXPECT_EQ(why.code, reason_code::edit_invalid);
}

} // namespace jujubestand::config
