#include <gtest/gtest.h>
#include <jujubestand/gateway/event_stream.hpp>
#include <tuple>

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
    begin_response(state);
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

// A stream that was broken off at any byte inside an event was framed as
// complete (ORDER).
TEST(event_stream, a_stream_is_whole_only_between_events)
{
    using http1::body_framing;
    std::string const event = "id: 1\ndata: a\n\n";
    std::string const text = event + "id: 2\r\ndata: b\r\n\r\n";
    for (std::size_t size = 0; size <= text.size(); ++size)
    {
        event_stream state;
        bool const is_boundary = size == event.size() || size == text.size();
        std::ignore = on_bytes(state, text.substr(0, size));
        EXPECT_EQ(is_whole(state, body_framing::close), is_boundary) << size;
        for (auto const framing : {body_framing::chunked, body_framing::length})
            EXPECT_EQ(is_whole(state, framing), is_boundary || size == 0)
                << size;
    }
}

TEST(event_stream, events_of_an_earlier_response_prove_nothing)
{
    event_stream state;
    std::ignore = on_bytes(state, "id: 1\ndata: a\n\n");
    begin_response(state);
    EXPECT_FALSE(is_whole(state, http1::body_framing::close));
}

TEST(event_stream, blank_lines_after_the_last_event_are_no_event)
{
    event_stream state;
    std::ignore = on_bytes(state, "id: 1\ndata: a\n\n\r\n");
    EXPECT_TRUE(is_whole(state, http1::body_framing::close));
}

} // namespace jujubestand::gateway
