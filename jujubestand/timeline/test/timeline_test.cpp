#include <gtest/gtest.h>
#include <jujubestand/timeline/drawing.hpp>
#include <jujubestand/timeline/json.hpp>
#include <jujubestand/timeline/merge.hpp>
#include <jujubestand/timeline/ring.hpp>
#include <rapidcheck/gtest.h>
#include <set>

namespace jujubestand::timeline
{

namespace
{

event_note note_of(std::uint64_t request, event_number number)
{
    return event_note{number,
                      request_id{1, request},
                      team_id("depot"),
                      {{"step", std::to_string(request)}}};
}

ring ring_of(std::size_t capacity)
{
    ring made;
    made.capacity = capacity;
    made.instance = instance_id("a1");
    return made;
}

// Processes with skewed, stepping wall clocks that send each other messages.
struct simulated_process
{
    hybrid_time clock;
    std::int64_t wall_ms = 0;
    ring events;
};

hybrid_time stamp_now(simulated_process& process)
{
    return tick(process.clock,
                wall_time(std::chrono::milliseconds(process.wall_ms)));
}

} // namespace

TEST(ring, the_oldest_events_make_room)
{
    ring kept = ring_of(4);
    for (std::uint64_t at = 0; at < 10; ++at)
        add(kept, hybrid_time{1, 0},
            note_of(at, event_number::request_accepted));
    auto const all = read(kept, 0, {}, 100);
    ASSERT_EQ(all.events.size(), 4U);
    EXPECT_EQ(all.events.front().sequence, 6U);
    EXPECT_EQ(all.lost, 6U);
    EXPECT_EQ(all.next_sequence, 10U);
}

TEST(ring, a_page_goes_on_where_the_last_one_ended)
{
    ring kept = ring_of(100);
    for (std::uint64_t at = 0; at < 10; ++at)
        add(kept, hybrid_time{1, 0},
            note_of(at, event_number::request_accepted));
    auto const first = read(kept, 0, {}, 3);
    auto const second = read(kept, first.next_sequence, {}, 100);
    EXPECT_EQ(first.events.size(), 3U);
    EXPECT_EQ(second.events.size(), 7U);
    EXPECT_EQ(second.events.front().sequence, 3U);
}

TEST(ring, long_texts_are_cut)
{
    ring kept = ring_of(1);
    event_note what;
    what.fields.push_back({"k", std::string(10'000, 'x')});
    add(kept, {}, what);
    EXPECT_EQ(kept.events.at(0).what.fields.at(0).value.size(),
              field_limit_bytes);
}

TEST(ring, filters_take_only_what_they_name)
{
    ring kept = ring_of(10);
    add(kept, {}, note_of(1, event_number::request_accepted));
    add(kept, {}, note_of(2, event_number::request_accepted));
    add(kept, {}, note_of(2, event_number::request_finished));
    event_filter filter;
    filter.request = request_id{1, 2};
    EXPECT_EQ(read(kept, 0, filter, 10).events.size(), 2U);
    filter.number = event_number::request_finished;
    EXPECT_EQ(read(kept, 0, filter, 10).events.size(), 1U);
    filter.team = team_id("other");
    EXPECT_TRUE(read(kept, 0, filter, 10).events.empty());
}

TEST(json, a_page_survives_its_text)
{
    ring kept = ring_of(10);
    add(kept, hybrid_time{5, 6}, note_of(1, event_number::claim_won));
    reason why;
    auto const back = page_from_json(to_json(read(kept, 0, {}, 10)), why);
    ASSERT_TRUE(back) << to_text(why);
    auto const& event = back->events.at(0);
    EXPECT_EQ(event.stamp, (hybrid_time{5, 6}));
    EXPECT_EQ(event.what.number, event_number::claim_won);
    EXPECT_EQ(event.what.request, (request_id{1, 1}));
    EXPECT_EQ(event.what.fields.at(0).value, "1");
    EXPECT_EQ(event.instance.text, "a1");
}

TEST(json, other_bodies_are_refused)
{
    reason why;
    EXPECT_FALSE(page_from_json("", why));
    EXPECT_FALSE(page_from_json("[]", why));
    EXPECT_FALSE(page_from_json("{\"events\":3}", why));
}

TEST(json, queries_are_checked)
{
    reason why;
    auto const asked =
        parse_query("from=7&limit=9&team=depot&event=claim_won&request="
                    "000000000000000100000000000000ff",
                    why);
    ASSERT_TRUE(asked) << to_text(why);
    EXPECT_EQ(asked->sequence, 7U);
    EXPECT_EQ(asked->filter.request, (request_id{1, 255}));
    EXPECT_FALSE(parse_query("limit=10001", why));
    EXPECT_FALSE(parse_query("request=12", why));
    EXPECT_FALSE(parse_query("event=nothing", why));
    EXPECT_FALSE(parse_query("colour=red", why));
    EXPECT_FALSE(parse_query("from", why));
}

TEST(drawing, hostile_texts_stay_texts)
{
    stamped_event event;
    event.instance = instance_id("<script>");
    auto const picture = draw_svg({event});
    EXPECT_EQ(picture.find("<script>"), std::string::npos);
    EXPECT_NE(picture.find("&lt;script&gt;"), std::string::npos);
}

RC_GTEST_PROP(merge, no_effect_stands_before_its_cause, ())
{
    constexpr std::size_t processes = 4;
    std::vector<simulated_process> all(processes);
    for (auto& process : all)
    {
        process.events = ring_of(1'000);
        process.wall_ms = *rc::gen::inRange(-5'000, 5'000);
    }
    auto const steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step)
    {
        auto& from = all.at(*rc::gen::inRange<std::size_t>(0, processes));
        auto& to = all.at(*rc::gen::inRange<std::size_t>(0, processes));
        from.wall_ms += *rc::gen::inRange(-3'000, 3'000);
        to.wall_ms += *rc::gen::inRange(-3'000, 3'000);
        auto const id = static_cast<std::uint64_t>(step);
        auto const sent = stamp_now(from);
        add(from.events, sent, note_of(id, event_number::call_received));
        auto const got = merge(
            to.clock, sent, wall_time(std::chrono::milliseconds(to.wall_ms)));
        add(to.events, got, note_of(id, event_number::call_started));
    }
    std::vector<std::vector<stamped_event>> parts;
    parts.reserve(processes);
    for (auto const& process : all)
        parts.push_back(read(process.events, 0, {}, 1'000).events);
    std::set<request_id> causes;
    for (auto const& event : merge_processes(parts))
    {
        if (event.what.number == event_number::call_received)
            causes.insert(event.what.request);
        else
            RC_ASSERT(causes.contains(event.what.request));
    }
}

} // namespace jujubestand::timeline
