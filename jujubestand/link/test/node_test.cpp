#include <gtest/gtest.h>
#include <jujubestand/link/test/pair.hpp>

namespace jujubestand::link
{

TEST_F(pair_test, frames_pass_both_ways_and_the_stream_ends_clean)
{
    auto const stream = entry->subject.open(where);
    EXPECT_TRUE(entry->subject.send(stream, piece_of("ask")));
    ASSERT_TRUE(this->run_until_received());
    auto const other = sidecar->opened.at(0);
    EXPECT_EQ(sidecar->received[other].at(0).payload, "ask");
    EXPECT_EQ(sidecar->subject.peer_of(other)->role, "entry");
    EXPECT_EQ(entry->subject.peer_of(stream)->instance.text, "sidecar-1");
    EXPECT_TRUE(entry->subject.is_connected(where));
    sidecar->subject.send(other, piece_of("answer"));
    sidecar->subject.finish(other);
    ASSERT_TRUE(loop.run_until(
        [&]
        {
            return entry->closed.size() + sidecar->closed.size() == 2;
        }));
    EXPECT_EQ(entry->received[stream].at(0).payload, "answer");
    EXPECT_TRUE(entry->closed[stream].clean);
    EXPECT_TRUE(entry->closed[stream].may_have_sent);
    EXPECT_TRUE(sidecar->closed[other].clean);
    EXPECT_FALSE(entry->subject.send(stream, piece_of("late")));
    EXPECT_GT(entry->drained, 0U);
    EXPECT_GT(entry->subject.bytes_written(), 0U);
    EXPECT_GT(entry->subject.bytes_read(), 0U);
}

TEST_F(pair_test, a_stamp_of_an_effect_is_above_its_causes)
{
    sidecar->clock = hybrid_time{9'000'000'000'000, 0};
    auto const stream = entry->subject.open(where);
    entry->subject.send(stream, piece_of("ask"));
    ASSERT_TRUE(this->run_until_received());
    sidecar->subject.send(sidecar->opened.at(0), piece_of("answer"));
    ASSERT_TRUE(loop.run_until(
        [&]
        {
            return !entry->received.empty();
        }));
    EXPECT_GT(entry->clock, entry->received[stream].at(0).stamp);
}

TEST_F(pair_test, both_halves_may_be_finished_by_either_side)
{
    auto const stream = entry->subject.open(where);
    entry->subject.send(stream, piece_of("ask"));
    entry->subject.finish(stream);
    ASSERT_TRUE(this->run_until_received());
    loop.run_for(std::chrono::milliseconds(20));
    EXPECT_TRUE(sidecar->closed.empty());
    sidecar->subject.finish(sidecar->opened.at(0));
    ASSERT_TRUE(loop.run_until(
        [&]
        {
            return entry->closed.size() + sidecar->closed.size() == 2;
        }));
    EXPECT_TRUE(entry->closed[stream].clean);
    EXPECT_TRUE(sidecar->closed[sidecar->opened.at(0)].clean);
}

TEST_F(pair_test, a_reset_is_silent_here_and_told_there)
{
    auto const stream = entry->subject.open(where);
    entry->subject.send(stream, piece_of("ask"));
    ASSERT_TRUE(this->run_until_received());
    entry->subject.reset(stream);
    ASSERT_TRUE(loop.run_until(
        [&]
        {
            return !sidecar->closed.empty();
        }));
    EXPECT_FALSE(sidecar->closed[sidecar->opened.at(0)].clean);
    EXPECT_TRUE(sidecar->closed[sidecar->opened.at(0)].is_reset);
    EXPECT_TRUE(entry->closed.empty());
    EXPECT_EQ(entry->count(event_number::link_down), 0U);
}

TEST_F(pair_test, two_thousand_streams_share_one_link)
{
    constexpr std::size_t count = 2'000;
    std::map<stream_id, std::string> asked;
    for (std::size_t number = 0; number < count; ++number)
    {
        auto const stream = entry->subject.open(where);
        asked[stream] = "ask " + std::to_string(number);
        entry->subject.send(stream, piece_of(asked[stream]));
    }
    ASSERT_TRUE(loop.run_until(
        [&]
        {
            return sidecar->received.size() == count;
        }));
    for (auto const& [stream, frames] : sidecar->received)
    {
        sidecar->subject.send(stream, frames.at(0));
        sidecar->subject.finish(stream);
    }
    ASSERT_TRUE(loop.run_until(
        [&]
        {
            return entry->closed.size() == count;
        }));
    for (auto const& [stream, text] : asked)
    {
        EXPECT_EQ(entry->received[stream].at(0).payload, text);
        EXPECT_TRUE(entry->closed[stream].clean);
    }
    EXPECT_EQ(entry->count(event_number::link_up), 1U);
    EXPECT_EQ(sidecar->count(event_number::link_up), 1U);
}

TEST_F(pair_test, streams_beyond_the_limit_wait_their_turn)
{
    auto options = quick_options("sidecar");
    options.streams_limit = 2;
    start(quick_options("entry"), options);
    for (int number = 0; number < 5; ++number)
        entry->subject.send(entry->subject.open(where), piece_of("ask"));
    ASSERT_TRUE(loop.run_until(
        [&]
        {
            return sidecar->received.size() == 2;
        }));
    loop.run_for(std::chrono::milliseconds(30));
    EXPECT_EQ(sidecar->received.size(), 2U);
    std::size_t answered = 0;
    ASSERT_TRUE(loop.run_until(
        [&]
        {
            for (; answered < sidecar->opened.size(); ++answered)
                sidecar->subject.finish(sidecar->opened[answered]);
            return entry->closed.size() == 5;
        }));
    for (auto const& [stream, how] : entry->closed)
        EXPECT_TRUE(how.clean) << to_text(how.why);
}

TEST_F(pair_test, a_stalled_stream_holds_back_only_itself)
{
    sidecar->is_consuming = false;
    auto const stalled = entry->subject.open(where);
    std::size_t const window = node_options{}.stream_window_bytes;
    constexpr std::size_t frame_bytes = 16U << 10U;
    std::size_t const frames = 40 * window / frame_bytes;
    for (std::size_t number = 0; number < frames; ++number)
        entry->subject.send(stalled, piece_of(std::string(frame_bytes, 's')));
    ASSERT_TRUE(this->run_until_received());
    loop.run_for(std::chrono::milliseconds(50));
    EXPECT_LE(sidecar->received_bytes, window);
    EXPECT_GE(entry->subject.unsent_bytes(stalled),
              frames * frame_bytes - window);

    auto const flowing = entry->subject.open(where);
    sidecar->is_consuming = true;
    constexpr std::size_t flowing_frames = 2'000;
    for (std::size_t number = 0; number < flowing_frames; ++number)
        entry->subject.send(flowing, piece_of(std::string(frame_bytes, 'f')));
    ASSERT_TRUE(loop.run_until(
        [&]
        {
            return sidecar->opened.size() == 2 &&
                   sidecar->received[sidecar->opened[1]].size() ==
                       flowing_frames;
        }));
    EXPECT_LE(sidecar->received[sidecar->opened[0]].size() * frame_bytes,
              window);

    sidecar->subject.consume(sidecar->opened[0], window);
    ASSERT_TRUE(loop.run_until(
        [&]
        {
            return sidecar->received[sidecar->opened[0]].size() == frames;
        }));
}

TEST_F(pair_test, a_frame_larger_than_the_window_arrives)
{
    auto const stream = entry->subject.open(where);
    std::size_t const limit = node_options{}.frame_limit_bytes;
    for (int number = 0; number < 3; ++number)
        entry->subject.send(stream, piece_of(std::string(limit, 'x')));
    ASSERT_TRUE(loop.run_until(
        [&]
        {
            return sidecar->received_bytes == 3 * limit;
        }));
}

TEST_F(pair_test, nothing_is_emitted_from_within_a_call)
{
    auto const nowhere = entry->subject.open({"127.0.0.1", 1});
    EXPECT_TRUE(entry->subject.send(nowhere, piece_of("ask")));
    auto const unspeakable = entry->subject.open({"not an address", 1});
    EXPECT_TRUE(entry->closed.empty());
    ASSERT_TRUE(loop.run_until(
        [&]
        {
            return entry->closed.size() == 2;
        }));
    EXPECT_FALSE(entry->closed[nowhere].may_have_sent);
    EXPECT_FALSE(entry->closed[unspeakable].may_have_sent);
    EXPECT_EQ(entry->closed[nowhere].why.code, reason_code::link_unreachable);
}

TEST_F(pair_test, a_node_that_accepts_no_more_refuses_as_unsent)
{
    auto const first = entry->subject.open(where);
    entry->subject.send(first, piece_of("ask"));
    ASSERT_TRUE(this->run_until_received());
    sidecar->subject.stop_accepting();
    auto const second = entry->subject.open(where);
    entry->subject.send(second, piece_of("ask"));
    ASSERT_TRUE(this->run_until_closed());
    EXPECT_FALSE(entry->closed[second].may_have_sent);
    EXPECT_EQ(sidecar->opened.size(), 1U);
    sidecar->subject.finish(sidecar->opened[0]);
    ASSERT_TRUE(loop.run_until(
        [&]
        {
            return entry->closed.size() == 2;
        }));
    EXPECT_TRUE(entry->closed[first].clean);
}

TEST_F(pair_test, an_idle_link_is_closed_and_made_again)
{
    auto options = quick_options("entry");
    options.idle_timeout = std::chrono::milliseconds(60);
    start(options, quick_options("sidecar"));
    auto const stream = entry->subject.open(where);
    entry->subject.send(stream, piece_of("ask"));
    ASSERT_TRUE(this->run_until_received());
    sidecar->subject.finish(sidecar->opened[0]);
    ASSERT_TRUE(loop.run_until(
        [&]
        {
            return entry->count(event_number::link_down) == 1;
        }));
    EXPECT_FALSE(entry->subject.is_connected(where));
    entry->subject.send(entry->subject.open(where), piece_of("again"));
    ASSERT_TRUE(loop.run_until(
        [&]
        {
            return sidecar->opened.size() == 2;
        }));
}

} // namespace jujubestand::link
