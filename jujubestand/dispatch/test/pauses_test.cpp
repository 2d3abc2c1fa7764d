#include <algorithm>
#include <gtest/gtest.h>
#include <jujubestand/dispatch/dispatch.hpp>
#include <jujubestand/dispatch/test/fleet.hpp>
#include <vector>

// Decisions on calls to upstreams that asked for a pause.
namespace jujubestand::dispatch
{

namespace
{

/// Engines state starts of 1 and 2 ms.
wall_time wall_at(int ms)
{
    return wall_time{std::chrono::milliseconds{ms}};
}

void pause(state& dispatcher, int number, int pause_ms, int ms)
{
    on_pause_stated(dispatcher, engine(dispatcher, number).key,
                    std::chrono::milliseconds{pause_ms}, wall_at(1), at(ms));
}

// Times at which calls that wait are sent to an engine whose pause has ended.
std::vector<int> resumed_sends(std::uint32_t gateways, int calls)
{
    auto dispatcher = fleet(1);
    dispatcher.gateways = gateways;
    pause(dispatcher, 1, 1'000, 0);
    for (int number = 1; number <= calls; ++number)
    {
        auto request = prompt_call(static_cast<call_key>(number), 77);
        request.model_prompt->input_tokens = 1;
        request.model_prompt->parts.clear();
        request.deadline = at(60'000);
        EXPECT_EQ(submit(dispatcher, request, at(1)).next_action, action::hold);
    }
    std::vector<int> times;
    for (int ms = 2; ms < 5'000; ms += 2)
    {
        on_load_report(dispatcher, engine(dispatcher, 1).key, idle_load(ms));
        for (auto const& decided : decide_waiting(dispatcher, at(ms)))
        {
            times.push_back(ms);
            on_send_end(dispatcher, decided.call, send_outcome::served, at(ms));
        }
    }
    return times;
}

} // namespace

// An engine that asked for a pause got the next calls 60 ms later (BUDGET).
TEST(pauses, no_path_leads_to_an_upstream_that_asked_for_a_pause)
{
    auto dispatcher = fleet(2);
    hold_parts(engine(dispatcher, 1), 77);
    auto const paused = engine(dispatcher, 1).key;
    auto const other = engine(dispatcher, 2).key;
    EXPECT_TRUE(on_pause_stated(dispatcher, paused,
                                std::chrono::milliseconds{3'000}, wall_at(1),
                                at(0)));
    EXPECT_FALSE(on_pause_stated(dispatcher, paused,
                                 std::chrono::milliseconds{1'000}, wall_at(1),
                                 at(1)));
    auto const sent = submit(dispatcher, prompt_call(1, 77), at(10));
    EXPECT_EQ(sent.upstream, other);
    EXPECT_FALSE(sent.fetch_from);
    auto repeated = prompt_call(2, 77);
    repeated.tried = {other};
    EXPECT_EQ(submit(dispatcher, repeated, at(20)).next_action, action::hold);
    EXPECT_TRUE(decide_waiting(dispatcher, at(2'900)).empty());
    EXPECT_FALSE(
        has_alternative(dispatcher, prompt_call(3, 77), other, at(2'900)));
    auto const decided = decide_waiting(dispatcher, at(3'001));
    ASSERT_EQ(decided.size(), 1U);
    EXPECT_EQ(decided[0].upstream, paused);
}

TEST(pauses, a_new_process_of_the_upstream_has_asked_for_none)
{
    auto dispatcher = fleet(1);
    pause(dispatcher, 1, 3'000, 0);
    on_upstream_record(dispatcher, engine_record(1));
    EXPECT_EQ(available_count(dispatcher, "engines", at(10)), 0U);
    auto restarted = engine_record(1);
    restarted.born_ms = 2;
    on_upstream_record(dispatcher, restarted);
    EXPECT_EQ(available_count(dispatcher, "engines", at(10)), 1U);
}

// A record that lapsed and came back brought an upstream without its pause
// (BUDGET).
TEST(pauses, a_record_that_comes_back_ends_no_pause)
{
    auto dispatcher = fleet(1);
    pause(dispatcher, 1, 3'000, 0);
    on_upstream_removed(dispatcher, "e1");
    on_upstream_record(dispatcher, engine_record(1));
    EXPECT_EQ(available_count(dispatcher, "engines", at(2'999)), 0U);
    EXPECT_EQ(available_count(dispatcher, "engines", at(3'001)), 1U);
}

// A record of the process before, from an older copy of the store, ended the
// pause of the process that runs (BUDGET).
TEST(pauses, an_older_record_in_between_ends_no_pause)
{
    auto dispatcher = fleet(1);
    auto restarted = engine_record(1);
    restarted.born_ms = 2;
    on_upstream_record(dispatcher, restarted);
    pause(dispatcher, 1, 3'000, 0);
    on_upstream_record(dispatcher, engine_record(1));
    on_upstream_record(dispatcher, restarted);
    EXPECT_EQ(available_count(dispatcher, "engines", at(2'999)), 0U);
    EXPECT_EQ(available_count(dispatcher, "engines", at(3'001)), 1U);
}

// A pause that the process that runs asked for while an older record of its
// upstream was in force ended with that record (BUDGET).
TEST(pauses, a_pause_is_of_the_latest_process_whatever_the_record)
{
    auto dispatcher = fleet(1);
    auto restarted = engine_record(1);
    restarted.born_ms = 2;
    on_upstream_record(dispatcher, restarted);
    on_upstream_removed(dispatcher, "e1");
    on_upstream_record(dispatcher, engine_record(1));
    pause(dispatcher, 1, 3'000, 0);
    on_upstream_record(dispatcher, restarted);
    EXPECT_EQ(available_count(dispatcher, "engines", at(2'999)), 0U);
    EXPECT_EQ(available_count(dispatcher, "engines", at(3'001)), 1U);
}

// A gateway that started while an older record was in force knew no later
// process: a pause that this one asked for ended with its record (BUDGET).
TEST(pauses, a_pause_is_of_the_process_that_had_started_by_then)
{
    auto dispatcher = fleet(1);
    on_pause_stated(dispatcher, engine(dispatcher, 1).key,
                    std::chrono::milliseconds{3'000}, wall_at(700), at(0));
    auto restarted = engine_record(1);
    restarted.born_ms = 500;
    on_upstream_record(dispatcher, restarted);
    EXPECT_EQ(available_count(dispatcher, "engines", at(2'999)), 0U);
    EXPECT_EQ(available_count(dispatcher, "engines", at(3'001)), 1U);
    restarted.born_ms = 701;
    on_upstream_record(dispatcher, restarted);
    EXPECT_EQ(available_count(dispatcher, "engines", at(2'999)), 1U);
}

// A pause that the latest process had asked for ended with its record, at a
// gateway whose clock was 5 s behind.
TEST(pauses, a_clock_that_is_behind_ends_no_pause)
{
    constexpr int behind = 5'000;
    constexpr int born = 60'000;
    auto dispatcher = fleet(1);
    on_pause_stated(dispatcher, engine(dispatcher, 1).key,
                    std::chrono::milliseconds{3'000},
                    wall_at(born + 1'000 - behind), at(0));
    auto restarted = engine_record(1);
    restarted.born_ms = born;
    check_clock(dispatcher.words, restarted.born_ms,
                wall_at(born + 1'500 - behind));
    on_upstream_record(dispatcher, restarted);
    EXPECT_EQ(available_count(dispatcher, "engines", at(2'999)), 0U);
    EXPECT_EQ(available_count(dispatcher, "engines", at(3'001)), 1U);
}

// Calls waited until their deadline for a pool that paused.
TEST(pauses, a_call_is_refused_if_the_whole_pool_pauses_for_too_long)
{
    auto dispatcher = fleet(2);
    pause(dispatcher, 1, 4'000, 0);
    pause(dispatcher, 2, 3'000, 0);
    auto const refused = submit(dispatcher, prompt_call(16, 77), at(0));
    EXPECT_EQ(refused.next_action, action::refuse);
    EXPECT_EQ(refused.why.code, reason_code::upstream_paused);
    EXPECT_EQ(refused.retry_after, std::chrono::milliseconds{3'000});
    // Callers come back in turn.
    auto const next = submit(dispatcher, prompt_call(17, 77), at(0));
    EXPECT_GT(next.retry_after, refused.retry_after);
    EXPECT_LE(next.retry_after, std::chrono::milliseconds{4'000});
    auto patient = prompt_call(3, 77);
    patient.deadline = at(20'000);
    EXPECT_EQ(submit(dispatcher, patient, at(0)).next_action, action::hold);
    auto begun = prompt_call(4, 77);
    begun.software_version = "";
    EXPECT_EQ(submit(dispatcher, begun, at(0)).next_action, action::hold);
}

TEST(pauses, a_call_that_waits_is_refused_once_the_whole_pool_pauses)
{
    auto dispatcher = fleet(1);
    engine(dispatcher, 1).avoid_until = at(500);
    EXPECT_EQ(submit(dispatcher, prompt_call(1, 77), at(0)).next_action,
              action::hold);
    pause(dispatcher, 1, 4'000, 100);
    auto const decided = decide_waiting(dispatcher, at(101));
    ASSERT_EQ(decided.size(), 1U);
    EXPECT_EQ(decided[0].why.code, reason_code::upstream_paused);
}

// Calls that had waited came all at once when the pause ended.
TEST(pauses, the_end_of_a_pause_lets_no_wave_through)
{
    constexpr int calls = 100;
    for (std::uint32_t const gateways : {1U, 4U, 28U})
    {
        auto const times = resumed_sends(gateways, calls);
        ASSERT_FALSE(times.empty()) << gateways;
        EXPECT_GE(times.front(), 1'000) << gateways;
        auto const early = std::count_if(times.begin(), times.end(),
                                         [](int ms)
                                         {
                                             return ms < 1'500;
                                         });
        // 30 to 60 calls a second for all gateways together.
        EXPECT_LE(early * gateways, 30 + 2 * gateways) << gateways;
    }
    EXPECT_EQ(resumed_sends(1, calls).size(), 100U);
}

} // namespace jujubestand::dispatch
