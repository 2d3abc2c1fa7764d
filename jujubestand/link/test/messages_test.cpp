#include <gtest/gtest.h>
#include <jujubestand/config/tables.hpp>
#include <jujubestand/link/messages.hpp>
#include <jujubestand/link/node.hpp>

namespace jujubestand::link
{

TEST(messages, a_call_survives_packing)
{
    call sent;
    sent.request = request_id{1, 2};
    sent.team = team_id("depot");
    sent.headers.push_back(header{"accept", "text/event-stream"});
    sent.deadline_us = 7;
    reason why;
    auto const received = from_frame<call>(to_frame(sent), why);
    ASSERT_TRUE(received) << to_text(why);
    EXPECT_EQ(received->request, sent.request);
    EXPECT_EQ(received->team, sent.team);
    EXPECT_EQ(received->headers.at(0).value, "text/event-stream");
    EXPECT_EQ(received->deadline_us, 7U);
}

TEST(messages, a_broken_payload_is_refused)
{
    frame packed = to_frame(cancel{request_id{1, 2}});
    packed.payload.pop_back();
    reason why;
    EXPECT_FALSE(from_frame<cancel>(packed, why));
    EXPECT_EQ(why.code, reason_code::link_malformed);
}

// The header announces 64 GiB of objects in five bytes.
TEST(messages, announced_sizes_are_not_trusted)
{
    frame packed = to_frame(cancel{request_id{1, 2}});
    packed.payload = "\xdd\xff\xff\xff\xff";
    reason why;
    EXPECT_FALSE(from_frame<cancel>(packed, why));
    EXPECT_EQ(why.code, reason_code::link_malformed);
}

TEST(messages, another_kind_is_refused)
{
    reason why;
    EXPECT_FALSE(from_frame<piece>(to_frame(cancel{}), why));
    EXPECT_EQ(why.code, reason_code::link_malformed);
}

} // namespace jujubestand::link
