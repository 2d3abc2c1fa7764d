#include <gtest/gtest.h>

#include <msgpack.hpp>
#include <standins/log/log_store.hpp>
#include <tuple>
#include <vector>

namespace
{

using namespace jujubestand::standins;
using unpacked =
    std::vector<std::tuple<std::uint64_t, std::int64_t, std::vector<char>>>;

unpacked read(log_stream const& stream, std::uint64_t from, std::size_t limit,
              std::size_t limit_bytes = 1'000)
{
    std::string const packed = pack_records(stream, from, limit, limit_bytes);
    auto const handle = msgpack::unpack(packed.data(), packed.size());
    return handle.get().as<unpacked>();
}

} // namespace

TEST(log_store, offsets_start_at_one_and_never_come_back)
{
    log_stream stream;
    EXPECT_EQ(append(stream, "a", 10), 1U);
    EXPECT_EQ(append(stream, "b", 20), 2U);
    EXPECT_EQ(append(stream, "c", 30), 3U);
    expire(stream, retention{15, 0}, 40);
    EXPECT_EQ(stream.first_offset, 3U);
    EXPECT_EQ(append(stream, "d", 50), 4U);
    expire(stream, retention{0, 1}, 50);
    EXPECT_EQ(stream.first_offset, 4U);
    expire(stream, retention{1, 0}, 100);
    EXPECT_EQ(stream.first_offset, 5U);
    EXPECT_EQ(append(stream, "e", 100), 5U);
}

TEST(log_store, reads_are_bounded_by_count_and_bytes)
{
    log_stream stream;
    for (int index = 0; index < 10; ++index)
        append(stream, std::string(100, 'x'), index);
    EXPECT_EQ(read(stream, 4, 3).size(), 3U);
    EXPECT_EQ(std::get<0>(read(stream, 4, 3).front()), 4U);
    EXPECT_EQ(read(stream, 1, 100, 250).size(), 2U);
    EXPECT_EQ(read(stream, 1, 100, 10).size(), 1U) << "one always fits";
    EXPECT_TRUE(read(stream, 11, 5).empty());
    EXPECT_EQ(std::get<1>(read(stream, 10, 5).front()), 9);
}

TEST(log_store, names_of_streams)
{
    EXPECT_TRUE(is_stream_name("claims.pool-1"));
    EXPECT_FALSE(is_stream_name(""));
    EXPECT_FALSE(is_stream_name("Claims"));
    EXPECT_FALSE(is_stream_name("a/b"));
}
