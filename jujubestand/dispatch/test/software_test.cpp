#include <gtest/gtest.h>
#include <jujubestand/dispatch/dispatch.hpp>
#include <jujubestand/dispatch/test/fleet.hpp>

// Streams that have begun, in a pool of several software versions.
namespace jujubestand::dispatch
{

namespace
{

// Engines 1 and 2 run the old version, 3 and later ones the new.
state mixed_fleet(int engines)
{
    auto dispatcher = fleet(engines);
    for (auto& [key, target] : dispatcher.upstreams)
        target.record.software_version = key <= 2 ? "old" : "new";
    return dispatcher;
}

call begun_stream(call_key key, char const* software_version)
{
    auto request = prompt_call(key, 77);
    request.software_version = software_version;
    return request;
}

} // namespace

// Streams continued at whichever engine had the least load, also where it ran
// another software version than the engine that had begun them (ORDER).
TEST(software, a_begun_stream_continues_at_its_own_version)
{
    auto dispatcher = mixed_fleet(4);
    for (int number : {1, 2})
        engine(dispatcher, number).load->report.running = 60;
    auto const chosen = choose(dispatcher, begun_stream(1, "old"), at(10));
    ASSERT_TRUE(chosen);
    EXPECT_EQ(dispatcher.upstreams.at(chosen->upstream).record.software_version,
              "old");
    EXPECT_EQ(choose(dispatcher, prompt_call(2, 77), at(10))->upstream > 2,
              true);
}

// The same while no engine of that version takes calls: the stream waits
// (ORDER).
TEST(software, a_begun_stream_waits_for_its_own_version)
{
    auto dispatcher = mixed_fleet(4);
    for (int number : {1, 2})
        engine(dispatcher, number).avoid_until = at(500);
    EXPECT_EQ(submit(dispatcher, begun_stream(1, "old"), at(10)).next_action,
              action::hold);
    EXPECT_FALSE(has_alternative(dispatcher, begun_stream(2, "old"),
                                 engine(dispatcher, 1).key, at(10)));
    auto const later = decide_waiting(dispatcher, at(600));
    ASSERT_EQ(later.size(), 1U);
    EXPECT_EQ(later[0].next_action, action::send);
    EXPECT_LE(later[0].upstream, 2U);
}

// A stream whose version has left the pool can't be served: it is refused at
// once and not held until its deadline.
TEST(software, a_begun_stream_without_an_upstream_of_its_version_is_refused)
{
    auto dispatcher = mixed_fleet(4);
    on_upstream_removed(dispatcher, "e1");
    auto leaving = engine_record(2);
    leaving.software_version = "old";
    leaving.is_leaving = true;
    on_upstream_record(dispatcher, leaving);
    auto const result = submit(dispatcher, begun_stream(1, "old"), at(10));
    EXPECT_EQ(result.next_action, action::refuse);
    EXPECT_FALSE(result.why.text.empty());
}

// The version may leave while the stream waits.
TEST(software, a_waiting_stream_is_refused_once_its_version_has_left)
{
    auto dispatcher = mixed_fleet(4);
    for (int number : {1, 2})
        engine(dispatcher, number).avoid_until = at(500);
    ASSERT_EQ(submit(dispatcher, begun_stream(1, "old"), at(10)).next_action,
              action::hold);
    on_upstream_removed(dispatcher, "e1");
    on_upstream_removed(dispatcher, "e2");
    auto const decided = decide_waiting(dispatcher, at(20));
    ASSERT_EQ(decided.size(), 1U);
    EXPECT_EQ(decided[0].next_action, action::refuse);
}

} // namespace jujubestand::dispatch
