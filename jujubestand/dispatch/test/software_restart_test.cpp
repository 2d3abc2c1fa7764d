#include <gtest/gtest.h>
#include <jujubestand/dispatch/dispatch.hpp>
#include <jujubestand/dispatch/test/fleet.hpp>

// Begun streams while upstreams of their software version come and go.
namespace jujubestand::dispatch
{

namespace
{

call begun_stream(call_key key, char const* software_version)
{
    auto request = prompt_call(key, 77);
    request.software_version = software_version;
    return request;
}

traffic::upstream_record record_of(int number, char const* software_version)
{
    auto record = engine_record(number);
    record.software_version = software_version;
    return record;
}

} // namespace

// A refusal has no upstream either, so the action is checked as well.
TEST(software, a_waiting_stream_is_sent_once_its_version_takes_calls)
{
    auto dispatcher = fleet(2);
    on_upstream_record(dispatcher, record_of(1, "old"));
    on_upstream_record(dispatcher, record_of(2, "new"));
    engine(dispatcher, 1).avoid_until = at(500);
    ASSERT_EQ(submit(dispatcher, begun_stream(1, "old"), at(10)).next_action,
              action::hold);
    EXPECT_TRUE(decide_waiting(dispatcher, at(400)).empty());
    auto const later = decide_waiting(dispatcher, at(600));
    ASSERT_EQ(later.size(), 1U);
    EXPECT_EQ(later[0].next_action, action::send);
    EXPECT_EQ(later[0].upstream, engine(dispatcher, 1).key);
}

// An upstream may start again under its id, with other software (ORDER).
TEST(software, a_restart_under_the_same_id_changes_the_version)
{
    auto dispatcher = fleet(2);
    on_upstream_record(dispatcher, record_of(1, "old"));
    on_upstream_record(dispatcher, record_of(2, "old"));
    auto restarted = record_of(1, "new");
    restarted.born_ms = 2;
    on_upstream_record(dispatcher, restarted);
    auto request = begun_stream(1, "old");
    auto const chosen = choose(dispatcher, request, at(10));
    ASSERT_TRUE(chosen);
    EXPECT_EQ(chosen->upstream, engine(dispatcher, 2).key);
    request.tried.push_back(chosen->upstream);
    EXPECT_EQ(submit(dispatcher, request, at(10)).next_action, action::refuse);
}

} // namespace jujubestand::dispatch
