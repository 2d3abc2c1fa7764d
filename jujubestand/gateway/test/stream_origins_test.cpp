#include <algorithm>
#include <gtest/gtest.h>
#include <jujubestand/gateway/stream_origins.hpp>
#include <rapidcheck/gtest.h>

// Streams that callers resume at another gateway, in a pool of several software
// versions.
namespace jujubestand::gateway
{

namespace
{

mono_time at(int ms)
{
    return mono_time{std::chrono::milliseconds{100'000 + ms}};
}

// A stream that is resumed at a gateway that knows all upstreams of that time.
resume_decision decide(stream_origins& state, std::string const& pool,
                       std::string const& request_id, bool was_queried,
                       mono_time now)
{
    return decide_resume(state, {{pool}, request_id, now, was_queried}, now,
                         now);
}

stream_origins two_versions()
{
    stream_origins state;
    record_software(state, "engines", "old", at(0));
    record_software(state, "engines", "new", at(0));
    return state;
}

std::vector<std::string> hosts(int count)
{
    std::vector<std::string> result;
    for (int number = 1; number <= count; ++number)
        result.push_back("10.0.0." + std::to_string(number));
    return result;
}

} // namespace

// A stream that its caller resumed went on at any software version (ORDER).
TEST(stream_origins, a_resumed_stream_continues_at_the_version_that_began_it)
{
    auto state = two_versions();
    record_origin(state, origin_key_of("first"), "old");
    auto const result = decide(state, "engines", "first", false, at(10));
    EXPECT_EQ(result.step, resume_step::proceed);
    EXPECT_EQ(result.software_version, "old");
}

// What the store has of it (LOST).
TEST(stream_origins, a_stored_version_is_taken)
{
    auto state = two_versions();
    state.stored.insert(origin_key_of("first"), "old");
    auto const result = decide(state, "engines", "first", true, at(10));
    EXPECT_EQ(result.step, resume_step::proceed);
    EXPECT_EQ(result.software_version, "old");
}

// A gateway that has just started has queried none (ORDER).
TEST(stream_origins, nothing_is_inferred_before_any_gateway_is_known)
{
    stream_origins state;
    record_software(state, "engines", "old", at(0));
    resumed_stream stream{{"engines"},         "first", at(10), true,
                          look_up_state::none, false};
    EXPECT_EQ(decide_resume(state, stream, at(10), at(10)).step,
              resume_step::look_up);
    stream.look_up = look_up_state::read;
    EXPECT_EQ(decide_resume(state, stream, at(10), at(10)).step,
              resume_step::refuse);
    stream.knows_gateways = true;
    EXPECT_EQ(decide_resume(state, stream, at(10), at(10)).step,
              resume_step::proceed);
}

TEST(stream_origins, the_version_that_began_a_stream_is_not_replaced)
{
    auto state = two_versions();
    record_origin(state, 7, "old");
    record_origin(state, 7, "new");
    EXPECT_EQ(find_origin(state, 7), "old");
}

// The gateway that began a stream is mostly not the one at which it is resumed
// (ORDER).
TEST(stream_origins, an_unknown_version_is_queried_and_then_refused)
{
    auto state = two_versions();
    EXPECT_EQ(decide(state, "engines", "first", false, at(10)).step,
              resume_step::query);
    EXPECT_EQ(decide(state, "engines", "first", true, at(10)).step,
              resume_step::look_up);
    for (auto const result : {look_up_state::read, look_up_state::failed})
    {
        resumed_stream const stream{{"engines"}, "first", at(10), true, result};
        EXPECT_EQ(decide_resume(state, stream, at(10), at(10)).step,
                  resume_step::refuse);
    }
    EXPECT_EQ(decide(state, "engines", "", false, at(10)).step,
              resume_step::refuse);
}

// A version whose last upstream has just left can still have begun a stream
// (ORDER).
TEST(stream_origins, a_version_counts_as_in_use_for_a_while_after_it_has_left)
{
    auto state = two_versions();
    for (int ms = 0; ms <= 50'000; ms += 1'000)
        record_software(state, "engines", "new", at(ms));
    EXPECT_EQ(decide(state, "engines", "", false, at(50'000)).step,
              resume_step::refuse);
    for (int ms = 51'000; ms <= 70'000; ms += 1'000)
        record_software(state, "engines", "new", at(ms));
    auto const later = decide(state, "engines", "", false, at(70'000));
    EXPECT_EQ(later.step, resume_step::proceed);
    EXPECT_EQ(later.software_version, "new");
}

TEST(stream_origins, the_versions_of_another_pool_do_not_count)
{
    stream_origins state;
    record_software(state, "engines", "old", at(0));
    record_software(state, "booking", "new", at(0));
    auto const result = decide(state, "engines", "", false, at(10));
    EXPECT_EQ(result.step, resume_step::proceed);
    EXPECT_EQ(result.software_version, "old");
}

// While the store can't be read, no record arrives, and upstreams serve on: a
// resumed stream was refused after a minute of this (LOST).
TEST(stream_origins, registered_upstreams_count_without_new_records)
{
    stream_origins state;
    dispatch::state dispatcher;
    dispatcher.upstreams[1].record.pool = "engines";
    dispatcher.upstreams[1].record.software_version = "old";
    record_software(state, "engines", "old", at(0));
    record_registered_software(state, dispatcher, "engines", at(90'000));
    EXPECT_EQ(decide(state, "engines", "", false, at(90'000)).step,
              resume_step::proceed);
}

// A gateway that had been cut off, or had stood still, took the only version
// that it knew for that of a stream which had begun, through another gateway,
// at an engine of another version that had joined meanwhile (ORDER).
TEST(stream_origins, no_version_is_inferred_from_old_records)
{
    stream_origins state;
    record_software(state, "engines", "old", at(0));
    for (char const* request : {"", "first"})
    {
        resumed_stream const stream{{"engines"}, request, at(5'000), true};
        EXPECT_EQ(decide_resume(state, stream, std::nullopt, at(5'010)).step,
                  resume_step::wait);
        auto const behind = decide_resume(state, stream, at(4'999), at(5'010));
        EXPECT_EQ(behind.step, resume_step::wait);
        EXPECT_FALSE(behind.software_version);
        EXPECT_EQ(decide_resume(state, stream, at(5'000), at(5'010)).step,
                  resume_step::proceed);
    }
}

// What another gateway knows of the stream needs no records.
TEST(stream_origins, a_known_version_is_taken_with_old_records)
{
    stream_origins state;
    record_software(state, "engines", "old", at(0));
    record_origin(state, origin_key_of("first"), "new");
    auto const result = decide_resume(
        state, {{"engines"}, "first", at(5'000), false}, at(10), at(5'010));
    EXPECT_EQ(result.step, resume_step::proceed);
    EXPECT_EQ(result.software_version, "new");
}

// New records can't tell one of two versions.
TEST(stream_origins, a_stream_of_two_versions_does_not_wait_for_records)
{
    auto state = two_versions();
    resumed_stream const stream{{"engines"}, "", at(5'000), false};
    EXPECT_EQ(decide_resume(state, stream, at(10), at(5'010)).step,
              resume_step::refuse);
}

// The only version of the pool that the draw by weights had given counted as
// that of a stream that had begun in another pool of its route.
TEST(stream_origins, the_versions_of_all_pools_of_a_split_route_count)
{
    stream_origins state;
    record_software(state, "engines", "old", at(0));
    record_software(state, "next", "new", at(0));
    resumed_stream stream{{"engines", "next"}, "", at(10), false};
    EXPECT_EQ(decide_resume(state, stream, at(10), at(10)).step,
              resume_step::refuse);
    record_software(state, "again", "old", at(0));
    stream.pools = {"again", "engines", "unknown"};
    auto const result = decide_resume(state, stream, at(10), at(10));
    EXPECT_EQ(result.step, resume_step::proceed);
    EXPECT_EQ(result.software_version, "old");
}

TEST(stream_origins, an_unknown_pool_is_refused)
{
    stream_origins state;
    EXPECT_EQ(decide(state, "engines", "", true, at(10)).step,
              resume_step::refuse);
}

// The gateway that began a stream is killed, and its callers come back at
// another one: one of the others that know the version is among the queried,
// also where the list of gateways has lost or won one (LOST).
RC_GTEST_PROP(stream_origins, queries_reach_a_gateway_that_keeps_the_version,
              (std::uint64_t stream))
{
    auto const count = *rc::gen::inRange<int>(3, 60);
    auto const all = hosts(count);
    auto const& beginner = *rc::gen::elementOf(all);
    auto const keepers = origin_holders(all, beginner, stream, origin_replicas);
    RC_ASSERT(keepers.size() == origin_replicas);
    RC_ASSERT(std::find(keepers.begin(), keepers.end(), beginner) ==
              keepers.end());
    auto changed = all;
    if (*rc::gen::arbitrary<bool>())
        changed.push_back("10.0.1.1");
    auto const lost = *rc::gen::elementOf(all);
    std::erase(changed, lost);
    auto const& resumer = *rc::gen::elementOf(changed);
    bool const knows =
        resumer == beginner ||
        std::find(keepers.begin(), keepers.end(), resumer) != keepers.end();
    auto const queried =
        origin_holders(changed, resumer, stream, origin_query_targets);
    bool const is_reached =
        std::any_of(queried.begin(), queried.end(),
                    [&](std::string const& host)
                    {
                        return std::find(keepers.begin(), keepers.end(),
                                         host) != keepers.end();
                    });
    RC_ASSERT(knows || is_reached);
}

} // namespace jujubestand::gateway
