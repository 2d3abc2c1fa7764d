#include <algorithm>
#include <gtest/gtest.h>
#include <jujubestand/quarantine/test/evidence_group.hpp>

// Engines that crash together are one event.
namespace jujubestand::quarantine
{

namespace
{

using std::chrono::milliseconds;

} // namespace

// The engines of a rack end for one outside cause: each rack held a sound part
// somewhere, and each time the odds were those of its engine alone (LOST).
TEST(evidence, a_part_in_each_rack_that_fails_is_no_culprit)
{
    constexpr std::uint64_t racks = 8;
    constexpr std::uint64_t engines = 8;
    constexpr std::uint64_t calls = 14;
    constexpr std::uint64_t other_parts = 180;
    constexpr int answers = 100;
    std::uint64_t next_part = 0;
    group all(2);
    for (int number = 0; number < answers; ++number)
        all.answer(0, {part(first_part, 0), whole_request(all.next_request++)});
    for (std::uint64_t rack = 0; rack < racks; ++rack)
    {
        for (std::uint64_t number = 0; number < engines; ++number)
        {
            auto const engine = all.next_engine();
            for (std::uint64_t call = 0; call < calls; ++call)
            {
                bool const is_chosen = number == rack && call == 0;
                auto const part_id =
                    is_chosen ? 20 : 300 + next_part++ % other_parts;
                all.cut(call % 2, engine, request(part_id, all.next_request++),
                        answer_stage::output);
            }
            all.lose_engine();
        }
        all.now += milliseconds{300};
        EXPECT_TRUE(all.judged(0).empty()) << rack;
        EXPECT_TRUE(all.judged(1).empty()) << rack;
    }
}

// Two callers at a time send a crashing part: both engines of each pair had it,
// so that the pair says as much as one engine.
TEST(evidence, a_part_that_crashes_two_engines_at_once_is_known_as_soon)
{
    group all(2);
    for (int pair = 0; pair < 3; ++pair)
    {
        EXPECT_TRUE(all.judged(0).empty());
        for (std::size_t member = 0; member < 2; ++member)
        {
            auto const engine = all.next_engine();
            all.cut(member, engine, request(crashing_part, all.next_request++),
                    true);
            all.cut(1 - member, engine, request(10, all.next_request++), false);
            all.lose_engine();
        }
        all.now += milliseconds{300};
    }
    EXPECT_EQ(all.judged(0), only(crashing_part));
    EXPECT_EQ(all.judged(1), only(crashing_part));
}

// Copies of one request ended three services within 90 ms, two of them within
// 30 ms; these counted as one, so that the request was sent on (BUDGET).
TEST(evidence, a_request_that_ends_three_upstreams_at_once_is_a_culprit)
{
    group all(2);
    auto const keys = std::vector{whole_request(500)};
    for (auto const after : {30, 57, 300})
    {
        auto const service = all.next_engine();
        all.cut(0, service, keys, false);
        all.cut(1, service, {whole_request(all.next_request++)}, false);
        all.lose_engine();
        all.now += milliseconds{after};
    }
    EXPECT_EQ(all.judged(1),
              std::vector<digest>{whole_request(500).fingerprint});
}

// A rack that fails ends what it runs: copies of a sound request were at three
// of its ten upstreams (LOST).
TEST(evidence, a_request_at_some_upstreams_of_a_rack_is_no_culprit)
{
    constexpr int upstreams = 10;
    group all(2);
    for (int number = 0; number < upstreams; ++number)
    {
        auto const service = all.next_engine();
        if (number < 3)
            all.cut(0, service, {whole_request(500)}, false);
        all.cut(1, service, {whole_request(all.next_request++)}, false);
        all.lose_engine();
    }
    all.now += milliseconds{300};
    EXPECT_TRUE(all.judged(1).empty());
}

// Two requests, one of them sound, were at the same three upstreams: nothing
// tells them apart, and both were sent on until six had ended (BUDGET).
TEST(evidence, requests_in_the_same_three_ends_are_culprits_both)
{
    group all(2);
    for (int end = 0; end < 3; ++end)
    {
        auto const service = all.next_engine();
        all.cut(0, service, {whole_request(500)}, false);
        all.cut(1, service, {whole_request(501)}, false);
        all.settle(upstream_condition::lost);
    }
    EXPECT_EQ(all.judged(1).size(), 2U);
}

// A caller left an engine just before a call ended it; the report between the
// two spoke for that call as well (BUDGET).
TEST(evidence, a_report_speaks_for_what_was_cut_before_it_alone)
{
    group all(2);
    for (int end = 0; end < 3; ++end)
    {
        auto const engine = all.next_engine();
        all.cut(0, engine, {whole_request(all.next_request++)}, false);
        auto const reported_at = all.now + milliseconds{120};
        all.now += milliseconds{150};
        all.cut(0, engine, {whole_request(500)}, false);
        all.tell(0, on_condition(all.members[0], all.next_upstream,
                                 {upstream_condition::alive, reported_at},
                                 all.now));
        all.settle(upstream_condition::lost);
    }
    EXPECT_EQ(all.judged(1),
              std::vector<digest>{whole_request(500).fingerprint});
}

// Sound streams and those with a crashing part went on from engine to engine
// together. They were refused after three crashes, and counted as the reason
// for these, so that the part was not found (BUDGET).
TEST(evidence, streams_that_pass_through_crashes_do_not_hide_their_part)
{
    constexpr std::uint64_t engines_per_stream = 3;
    constexpr std::uint64_t sound_parts = 7;
    constexpr std::uint64_t sound_streams = 2;
    constexpr std::uint64_t crashes_allowed = 9;
    constexpr std::uint64_t answers = 100;
    group all(2);
    for (std::uint64_t number = 0; number < answers; ++number)
        all.answer(0, request(10 + number % sound_parts, all.next_request++));
    std::uint64_t crashes = 0;
    bool is_found = false;
    while (!is_found && crashes < 2 * crashes_allowed)
    {
        auto const engine = all.next_engine();
        ++crashes;
        // Each stream is numbered by the crash at which it came.
        for (auto begun = crashes;
             begun > 0 && begun + engines_per_stream > crashes; --begun)
        {
            all.cut(0, engine, request(crashing_part, 1'000 + begun),
                    answer_stage::output);
            for (std::uint64_t sound = 0; sound < sound_streams; ++sound)
                all.cut(1, engine,
                        request(10 + (begun + sound) % sound_parts,
                                2'000 + sound_streams * begun + sound),
                        answer_stage::output);
        }
        all.lose_engine();
        all.now += milliseconds{300};
        auto const found = all.judged(0);
        is_found = std::find(found.begin(), found.end(),
                             only(crashing_part).front()) != found.end();
    }
    EXPECT_LE(crashes, crashes_allowed);
}

} // namespace jujubestand::quarantine
