#include <gtest/gtest.h>
#include <jujubestand/status/cache_view.hpp>
#include <jujubestand/status/messages.hpp>
#include <rapidcheck/gtest.h>

namespace jujubestand::status
{

namespace
{

using live_parts = std::unordered_map<part_hash, std::uint32_t>;

live_parts live(cache_view const& view)
{
    live_parts result;
    for (auto const& [part, known] : view.parts)
    {
        if (known.tokens != 0)
            result[part] = known.tokens;
    }
    return result;
}

void fill(cache_view& view, part_hash first, std::size_t count)
{
    for (std::size_t index = 0; index < count; ++index)
    {
        auto const part = static_cast<part_hash>(first + index);
        on_events(view,
                  {view.epoch, view.next + 1, false, {{part, 50, false}}});
    }
}

// \returns the number of deltas that were applied
std::size_t catch_up(cache_copy& copy, cache_view const& view)
{
    constexpr std::size_t deltas_limit = 200;
    std::size_t applied = 0;
    while (copy.position.generation != view.generation &&
           applied < deltas_limit)
    {
        on_delta(copy, delta_since(view, copy.position));
        ++applied;
    }
    return applied;
}

} // namespace

TEST(cache_view, a_gap_is_reported_and_a_restart_clears_the_view)
{
    cache_view view;
    EXPECT_TRUE(on_events(view, {7, 2, false, {{1, 100, false}}}));
    EXPECT_FALSE(on_events(view, {7, 9, true, {}}));
    EXPECT_EQ(live(view).size(), 1U);
    on_events(view, {8, 1, false, {}});
    EXPECT_TRUE(live(view).empty());
}

// Without a limit, the first response about a large cache would saturate a
// low-bandwidth link of a new gateway, and the next one would be sent before it
// has arrived.
TEST(cache_view, delta_size_is_limited)
{
    constexpr std::size_t many = 5'000;
    constexpr std::size_t datagram_bytes = 1'400;
    cache_view view;
    begin(view, 1'000);
    fill(view, 1, many);
    cache_copy copy;
    while (copy.position.generation != view.generation)
    {
        status_response response;
        response.cache = delta_since(view, copy.position);
        ASSERT_LT(to_datagram(response).size(), datagram_bytes);
        ASSERT_FALSE(response.cache.entries.empty());
        on_delta(copy, response.cache);
    }
    EXPECT_EQ(copy.parts, live(view));
}

TEST(cache_view, changes_during_catch_up_are_not_lost)
{
    cache_view view;
    begin(view, 1'000);
    fill(view, 1, 300);
    cache_copy copy;
    on_delta(copy, delta_since(view, copy.position));
    ASSERT_NE(copy.position.generation, view.generation);
    // A part that the copy has, one that it lacks, and one that is cached again
    // afterwards.
    for (part_hash const part : {2U, 290U, 3U})
        on_events(view, {0, view.next + 1, false, {{part, 0, true}}});
    fill(view, 3, 1);
    catch_up(copy, view);
    EXPECT_EQ(copy.parts, live(view));
}

// A later run of the process starts at a higher generation, so a copy of an
// earlier run is not mistaken for one that lags behind.
TEST(cache_view, a_copy_of_an_earlier_run_is_replaced)
{
    cache_view before;
    begin(before, 1'000);
    fill(before, 1, 20);
    cache_copy copy;
    catch_up(copy, before);
    cache_view after;
    begin(after, 2'000);
    fill(after, 500, 1'500);
    catch_up(copy, after);
    EXPECT_EQ(copy.parts, live(after));
    catch_up(copy, before);
    EXPECT_EQ(copy.parts, live(before));
}

TEST(cache_view, a_copy_that_lags_behind_the_horizon_is_replaced)
{
    constexpr std::size_t many = 3'000;
    cache_view view;
    begin(view, 1'000);
    fill(view, 1, 10);
    cache_copy copy;
    catch_up(copy, view);
    fill(view, 100, many);
    for (std::size_t index = 0; index < many; ++index)
        on_events(view, {0,
                         view.next + 1,
                         false,
                         {{static_cast<part_hash>(100 + index), 0, true}}});
    on_events(view, {0, view.next + 1, false, {{5, 0, true}}});
    catch_up(copy, view);
    EXPECT_EQ(copy.parts, live(view));
    EXPECT_LT(view.parts.size(), many);
}

// A copy that is updated by deltas, some of them lost, late or duplicated,
// equals the view whenever it has the generation of the view.
RC_GTEST_PROP(cache_view, a_copy_converges_despite_lost_deltas, ())
{
    cache_view view;
    begin(view, 1'000);
    fill(view, 0, *rc::gen::inRange<std::size_t>(0, 300));
    cache_copy copy;
    std::vector<cache_delta> late;
    auto const steps = *rc::gen::inRange(1, 400);
    for (int step = 0; step < steps; ++step)
    {
        auto const cached_tokens = *rc::gen::inRange(0, 80);
        auto const part = *rc::gen::inRange<part_hash>(0, 400);
        if (cached_tokens == 0)
            clear(view);
        else
            on_events(view, {view.epoch,
                             view.next + 1,
                             false,
                             {{part, static_cast<std::uint32_t>(cached_tokens),
                               cached_tokens < 30}}});
        auto const delta = delta_since(view, copy.position);
        auto const delivery = *rc::gen::inRange(0, 4);
        if (delivery == 0)
            late.push_back(delta);
        else if (delivery != 1)
            on_delta(copy, delta);
        if (delivery == 3 && !late.empty())
            on_delta(copy, late.back());
        if (copy.position.generation == view.generation)
            RC_ASSERT(copy.parts == live(view));
    }
    catch_up(copy, view);
    RC_ASSERT(copy.parts == live(view));
}

TEST(messages, datagrams_round_trip)
{
    status_request request;
    request.sent_at_us = 5;
    request.gateway = "g";
    request.requested_versions["m"] = 3;
    request.pool_index = 2;
    auto const bytes = to_datagram(request);
    auto const read = from_datagram<status_request>(bytes);
    ASSERT_TRUE(read);
    EXPECT_EQ(read->requested_versions, request.requested_versions);
    EXPECT_EQ(read->pool_index, 2U);
    EXPECT_FALSE(from_datagram<status_response>(bytes));
}

TEST(messages, malformed_datagrams_are_rejected)
{
    auto const bytes = to_datagram(status_response{});
    for (std::size_t size = 0; size < bytes.size(); ++size)
        EXPECT_FALSE(from_datagram<status_response>(bytes.substr(0, size)));
    EXPECT_FALSE(from_datagram<status_response>("a\xdd\xff\xff\xff\xff"));
    status_response other;
    other.format = format_version + 1;
    EXPECT_FALSE(from_datagram<status_response>(to_datagram(other)));
}

} // namespace jujubestand::status
