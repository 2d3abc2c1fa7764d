#include <gtest/gtest.h>
#include <jujubestand/http1/head.hpp>
#include <string>

namespace jujubestand::http1
{

namespace
{

/// A head that two parsers might read differently, and what is wrong with it.
struct hostile_head
{
    char const* what;
    char const* fields;
    reason_code code = reason_code::malformed_request;
};

constexpr hostile_head hostile[] = {
    {"blank before the colon", "Content-Length : 5\r\n"},
    {"tab before the colon", "Content-Length\t: 5\r\n"},
    {"unknown coding", "Transfer-Encoding: xchunked\r\n"},
    {"coding beside chunked", "Transfer-Encoding: gzip, chunked\r\n"},
    {"coding twice",
     "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"},
    {"two lengths", "Content-Length: 5\r\nContent-Length: 6\r\n",
     reason_code::conflicting_length},
    {"the same length twice", "Content-Length: 5\r\nContent-Length: 5\r\n",
     reason_code::conflicting_length},
    {"lengths in one field", "Content-Length: 5, 5\r\n"},
    {"negative length", "Content-Length: -5\r\n"},
    {"signed length", "Content-Length: +5\r\n"},
    {"hexadecimal length", "Content-Length: 0x5\r\n"},
    {"empty length", "Content-Length:\r\n"},
    {"length and coding",
     "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"},
    {"folded line", "X-A: b\r\n Content-Length: 5\r\n"},
    {"folded with a tab", "X-A: b\r\n\tContent-Length: 5\r\n"},
    {"bare line feed", "X-A: b\nContent-Length: 5\r\n"},
    {"bare carriage return", "X-A: b\rContent-Length: 5\r\n"},
    {"no colon", "Content-Length 5\r\n"},
    {"no name", ": 5\r\n"},
    {"control character in a name", "Content\x01Length: 5\r\n"},
    {"control character in a value", "X-A: b\x01\r\n"},
    {"two hosts", "Host: a\r\nHost: b\r\n"},
};

} // namespace

TEST(head, hostile_heads_are_refused)
{
    for (auto const& row : hostile)
    {
        std::string const head =
            std::string("POST /a/ HTTP/1.1\r\n") + row.fields + "\r\n";
        reason why;
        EXPECT_FALSE(is_unambiguous(head, why)) << row.what;
        EXPECT_EQ(why.code, row.code) << row.what;
        EXPECT_FALSE(why.text.empty()) << row.what;
    }
}

TEST(head, ordinary_heads_pass)
{
    for (char const* fields :
         {"Host: a\r\nContent-Length: 5\r\n", "Transfer-Encoding: chunked\r\n",
          "X-Empty:\r\n", "X-A:b\r\nX-A: c\t d\r\n", ""})
    {
        reason why;
        EXPECT_TRUE(is_unambiguous(
            std::string("GET /a/ HTTP/1.1\r\n") + fields + "\r\n", why))
            << fields << why.text;
    }
}

TEST(head, a_head_without_its_end_is_refused)
{
    reason why;
    EXPECT_FALSE(is_unambiguous("GET / HTTP/1.1\r\nHost: a\r\n", why));
    EXPECT_FALSE(is_unambiguous("\r\n", why));
}

} // namespace jujubestand::http1
