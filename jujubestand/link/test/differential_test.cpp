#include <gtest/gtest.h>

#include <deque>
#include <jujubestand/link/test/pair.hpp>
#include <rapidcheck/gtest.h>

namespace jujubestand::link
{

namespace
{

constexpr std::size_t streams_count = 8;
constexpr std::size_t largest_frame_bytes = 90'000;

/// What one stream should bring, as a plain queue.
struct expectation
{
    stream_id stream;
    std::deque<std::string> queue;
};

} // namespace

RC_GTEST_FIXTURE_PROP(pair_test, frames_arrive_as_through_plain_queues, ())
{
    auto options = quick_options("sidecar");
    options.stream_window_bytes =
        *rc::gen::inRange<std::size_t>(1'000, 100'000);
    start(quick_options("entry"), options);
    std::vector<expectation> expected(streams_count);
    for (std::size_t number = 0; number < streams_count; ++number)
    {
        expected[number].stream = entry->subject.open(where);
        entry->subject.send(expected[number].stream,
                            piece_of(std::to_string(number)));
    }
    auto const frames = *rc::gen::inRange(1, 60);
    for (int sent = 0; sent < frames; ++sent)
    {
        auto& to = expected[*rc::gen::inRange<std::size_t>(0, streams_count)];
        auto const bytes =
            *rc::gen::inRange<std::size_t>(0, largest_frame_bytes);
        to.queue.push_back(std::to_string(sent) + std::string(bytes, 'x'));
        entry->subject.send(to.stream, piece_of(to.queue.back()));
        if (sent % 7 == 0)
            event_base_loop(loop.base.get(), EVLOOP_NONBLOCK);
    }
    for (auto const& one : expected)
        entry->subject.finish(one.stream);
    auto const arrived_frames = [&]
    {
        std::size_t total = 0;
        for (auto const& [stream, arrived] : sidecar->received)
            total += arrived.size();
        return total;
    };
    std::size_t const all = streams_count + static_cast<std::size_t>(frames);
    RC_ASSERT(loop.run_until(
        [&]
        {
            return arrived_frames() == all;
        }));
    for (auto const stream : sidecar->opened)
        sidecar->subject.finish(stream);
    RC_ASSERT(loop.run_until(
        [&]
        {
            return entry->closed.size() == streams_count;
        }));
    for (auto const& [stream, how] : entry->closed)
        RC_ASSERT(how.clean);
    RC_ASSERT(sidecar->received.size() == streams_count);
    for (auto const& [stream, arrived] : sidecar->received)
    {
        auto const& one = expected[std::stoul(arrived.at(0).payload)];
        RC_ASSERT(arrived.size() == one.queue.size() + 1);
        for (std::size_t at = 0; at < one.queue.size(); ++at)
            RC_ASSERT(arrived[at + 1].payload == one.queue[at]);
    }
}

} // namespace jujubestand::link
