#include <gtest/gtest.h>
#include <jujubestand/gateway/event_stream.hpp>

namespace jujubestand::gateway
{

TEST(event_stream, only_complete_events_are_forwarded)
{
    event_stream state;
    EXPECT_EQ(on_bytes(state, "id: 1\ndata: a\n\nid: 2\nda"),
              "id: 1\ndata: a\n\n");
    EXPECT_EQ(on_bytes(state, "ta: b\n"), "");
    EXPECT_EQ(on_bytes(state, "\n"), "id: 2\ndata: b\n\n");
    EXPECT_EQ(state.last_id, 2U);
}

TEST(event_stream, a_resumed_stream_repeats_no_event)
{
    event_stream state;
    EXPECT_EQ(on_bytes(state, "id: 1\ndata: a\n\nid: 2\ndata: cut he"),
              "id: 1\ndata: a\n\n");
    discard_partial_event(state);
    EXPECT_EQ(on_bytes(state, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"),
              "id: 2\ndata: b\n\n");
}

TEST(event_stream, both_line_endings_are_accepted)
{
    event_stream state;
    EXPECT_EQ(on_bytes(state, "id:7\r\ndata: a\r\n\r\n"),
              "id:7\r\ndata: a\r\n\r\n");
    EXPECT_EQ(state.last_id, 7U);
}

TEST(event_stream, an_endless_event_breaks_the_stream)
{
    event_stream state;
    std::string const endless(2U << 20U, 'x');
    EXPECT_EQ(on_bytes(state, endless), "");
    EXPECT_TRUE(state.is_broken);
}

} // namespace jujubestand::gateway
