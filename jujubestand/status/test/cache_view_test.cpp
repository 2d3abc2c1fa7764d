#include <gtest/gtest.h>
#include <jujubestand/status/cache_view.hpp>
#include <jujubestand/status/messages.hpp>
#include <rapidcheck/gtest.h>

namespace jujubestand::status
{

TEST(cache_view, a_gap_or_a_restart_is_told)
{
    cache_view view;
    EXPECT_TRUE(on_events(view, {7, 2, false, {{1, 100, false}}}));
    EXPECT_FALSE(on_events(view, {7, 9, true, {}}));
    EXPECT_EQ(view.parts.size(), 1U);
    on_events(view, {8, 1, false, {}});
    EXPECT_TRUE(view.parts.empty());
}

// A copy that follows by deltas, some of them lost or late, is the same as the
// view whenever it has the same generation.
RC_GTEST_PROP(cache_view, a_copy_follows_through_losses, ())
{
    cache_view view;
    view.generation = 1'000;
    cache_copy copy;
    std::vector<cache_delta> late;
    auto const steps = *rc::gen::inRange(1, 400);
    for (int step = 0; step < steps; ++step)
    {
        auto const what = *rc::gen::inRange(0, 20);
        auto const part = *rc::gen::inRange<part_hash>(0, 40);
        if (what == 0)
            clear(view);
        else
            on_events(view,
                      {view.epoch,
                       view.next + 1,
                       false,
                       {{part, static_cast<std::uint32_t>(what), what < 6}}});
        auto const delta = delta_since(view, copy.generation);
        auto const fate = *rc::gen::inRange(0, 4);
        if (fate == 0)
            late.push_back(delta);
        else if (fate != 1)
            on_delta(copy, delta);
        if (fate == 3 && !late.empty() && !late.back().is_whole)
            on_delta(copy, late.back());
        if (copy.generation == view.generation)
            RC_ASSERT(copy.parts == view.parts);
    }
    on_delta(copy, delta_since(view, copy.generation));
    RC_ASSERT(copy.parts == view.parts);
}

TEST(messages, datagrams_come_back_as_they_were_sent)
{
    question asked;
    asked.asked_at_us = 5;
    asked.gateway = "g";
    asked.wanted["m"] = 3;
    asked.place = 2;
    auto const bytes = to_datagram(asked);
    auto const read = from_datagram<question>(bytes);
    ASSERT_TRUE(read);
    EXPECT_EQ(read->wanted, asked.wanted);
    EXPECT_EQ(read->place, 2U);
    EXPECT_FALSE(from_datagram<answer>(bytes));
}

TEST(messages, bytes_that_are_no_message_say_nothing)
{
    auto const bytes = to_datagram(answer{});
    for (std::size_t size = 0; size < bytes.size(); ++size)
        EXPECT_FALSE(from_datagram<answer>(bytes.substr(0, size)));
    EXPECT_FALSE(from_datagram<answer>("a\xdd\xff\xff\xff\xff"));
    answer other;
    other.format = format_number + 1;
    EXPECT_FALSE(from_datagram<answer>(to_datagram(other)));
}

} // namespace jujubestand::status
