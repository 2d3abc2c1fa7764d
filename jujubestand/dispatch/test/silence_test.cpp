#include <gtest/gtest.h>
#include <jujubestand/dispatch/dispatch.hpp>
#include <jujubestand/dispatch/test/fleet.hpp>

// Engines that stand still: no agent reports on them, and calls that they were
// sent get no byte.
namespace jujubestand::dispatch
{

namespace
{

constexpr std::uint64_t shared_part = 77;

/// \brief Reports of all engines but one.
void report_others(state& dispatcher, upstream_key silent, int ms)
{
    for (auto const& [key, target] : dispatcher.upstreams)
    {
        if (key != silent)
            on_load_report(dispatcher, key, idle_load(ms));
    }
}

/// \brief A call that costs least where the shared parts are cached.
call small_call(call_key key, int ms)
{
    auto request = prompt_call(key, shared_part, ms);
    request.model_prompt->parts.back().tokens = 100;
    return request;
}

/// \brief A fleet whose first engine holds the shared parts and was sent call
/// 1 at 100 ms; since then only the others are reported on.
state fleet_with_a_silent_engine(int engines)
{
    auto dispatcher = fleet(engines);
    dispatcher.limits.silence_limit = std::chrono::milliseconds{1'500};
    dispatcher.limits.quiet_limit = dispatcher.limits.silence_limit;
    auto& silent = engine(dispatcher, 1);
    hold_parts(silent, shared_part);
    EXPECT_EQ(submit(dispatcher, small_call(1, 100), at(100)).upstream,
              silent.key);
    report_others(dispatcher, silent.key, 1'550);
    return dispatcher;
}

upstream_key target_of_next(state& dispatcher, call_key key, int ms)
{
    return submit(dispatcher, small_call(key, ms), at(ms)).upstream;
}

} // namespace

// Calls went on to engines that stood still, until they had a full backlog of
// calls there; their callers left meanwhile (GONE).
TEST(silence, an_engine_that_stands_still_gets_no_further_calls)
{
    auto dispatcher = fleet_with_a_silent_engine(3);
    auto const silent = engine(dispatcher, 1).key;
    EXPECT_EQ(target_of_next(dispatcher, 2, 1'550), silent);
    EXPECT_NE(target_of_next(dispatcher, 3, 1'650), silent);
    on_load_report(dispatcher, silent, idle_load(1'700));
    EXPECT_TRUE(is_available(dispatcher, engine(dispatcher, 1), at(1'700)));
}

// Calls that such an engine had been sent before waited there, also those that
// it had begun to answer (GONE).
TEST(silence, all_calls_are_stranded_at_an_engine_that_stands_still)
{
    auto dispatcher = fleet_with_a_silent_engine(3);
    EXPECT_EQ(target_of_next(dispatcher, 2, 150), engine(dispatcher, 1).key);
    on_first_output(dispatcher, 2);
    EXPECT_TRUE(stranded_calls(dispatcher, at(1'590)).empty());
    EXPECT_EQ(stranded_calls(dispatcher, at(1'600)).size(), 2U);
    on_send_end(dispatcher, 1, send_outcome::cut, at(1'600));
    EXPECT_EQ(stranded_calls(dispatcher, at(1'600)), std::vector<call_key>{2});
}

// Calls were moved after 1.5 s: those that had waited for an engine before had
// lost their callers by then (GONE).
TEST(silence, an_engine_stands_still_after_six_tenths_of_a_second)
{
    auto dispatcher = fleet_with_a_silent_engine(3);
    dispatcher.limits = options{};
    report_others(dispatcher, engine(dispatcher, 1).key, 650);
    EXPECT_TRUE(stranded_calls(dispatcher, at(690)).empty());
    EXPECT_EQ(stranded_calls(dispatcher, at(700)).size(), 1U);
    EXPECT_FALSE(is_available(dispatcher, engine(dispatcher, 1), at(700)));
}

// All calls that waited were sent to the engines that stood still, as these had
// room; their callers left from there (GONE).
TEST(silence, an_engine_that_lacks_three_reports_gets_no_further_calls)
{
    auto dispatcher = fleet_with_a_silent_engine(3);
    dispatcher.limits = options{};
    auto const silent = engine(dispatcher, 1).key;
    report_others(dispatcher, silent, 390);
    on_load_report(dispatcher, silent, idle_load(100));
    EXPECT_EQ(target_of_next(dispatcher, 2, 390), silent);
    EXPECT_NE(target_of_next(dispatcher, 3, 400), silent);
    EXPECT_TRUE(stranded_calls(dispatcher, at(400)).empty());
    on_load_report(dispatcher, silent, idle_load(410));
    EXPECT_EQ(target_of_next(dispatcher, 4, 410), silent);
}

// The agent may have ended alone, or the gateway may lag.
TEST(silence, an_engine_that_answers_or_all_others_lack_reports_gets_calls)
{
    auto dispatcher = fleet_with_a_silent_engine(3);
    dispatcher.limits = options{};
    auto const silent = engine(dispatcher, 1).key;
    on_load_report(dispatcher, silent, idle_load(100));
    report_others(dispatcher, silent, 100);
    EXPECT_EQ(target_of_next(dispatcher, 2, 450), silent);
    report_others(dispatcher, silent, 450);
    EXPECT_NE(target_of_next(dispatcher, 3, 451), silent);
    on_answer_bytes(dispatcher, 2, at(452));
    EXPECT_EQ(target_of_next(dispatcher, 4, 452), silent);
}

// A gateway that goes on after a pause reads first what came from some engines.
TEST(silence, engines_are_not_silent_while_the_gateway_stood_still)
{
    auto dispatcher = fleet_with_a_silent_engine(3);
    dispatcher.running_since = at(1'550);
    EXPECT_TRUE(stranded_calls(dispatcher, at(1'600)).empty());
    report_others(dispatcher, engine(dispatcher, 1).key, 3'000);
    EXPECT_EQ(stranded_calls(dispatcher, at(3'050)).size(), 1U);
}

// A false alarm costs a repeat and what the engine has prefilled.
TEST(silence, any_byte_of_an_engine_without_an_agent_shows_that_it_runs)
{
    auto dispatcher = fleet_with_a_silent_engine(3);
    EXPECT_EQ(target_of_next(dispatcher, 2, 150), engine(dispatcher, 1).key);
    on_answer_bytes(dispatcher, 2, at(1'000));
    EXPECT_TRUE(stranded_calls(dispatcher, at(2'490)).empty());
    EXPECT_EQ(stranded_calls(dispatcher, at(2'500)).size(), 2U);
    on_load_report(dispatcher, engine(dispatcher, 1).key, idle_load(2'450));
    EXPECT_TRUE(stranded_calls(dispatcher, at(2'500)).empty());
}

// After the last call has ended, the next one finds out.
TEST(silence, an_engine_without_calls_does_not_stand_still)
{
    auto dispatcher = fleet_with_a_silent_engine(3);
    on_send_end(dispatcher, 1, send_outcome::cancelled, at(1'000));
    EXPECT_TRUE(is_available(dispatcher, engine(dispatcher, 1), at(1'700)));
    EXPECT_EQ(target_of_next(dispatcher, 2, 1'700), engine(dispatcher, 1).key);
    EXPECT_TRUE(stranded_calls(dispatcher, at(3'000)).empty());
    report_others(dispatcher, engine(dispatcher, 1).key, 3'150);
    EXPECT_EQ(stranded_calls(dispatcher, at(3'200)), std::vector<call_key>{2});
}

// The agents of sound engines may end.
TEST(silence, an_engine_without_reports_or_calls_is_available)
{
    auto dispatcher = fleet(3);
    report_others(dispatcher, engine(dispatcher, 1).key, 9'000);
    EXPECT_TRUE(is_available(dispatcher, engine(dispatcher, 1), at(9'000)));
}

// In a large fleet, engines that this gateway does not use are reported on less
// often; they must not count as quiet in between.
TEST(silence, an_engine_that_is_not_in_use_may_be_reported_on_late)
{
    auto dispatcher = fleet(3);
    dispatcher.idle_report_delay = std::chrono::milliseconds{700};
    report_others(dispatcher, engine(dispatcher, 1).key, 950);
    EXPECT_TRUE(is_available(dispatcher, engine(dispatcher, 1), at(990)));
    EXPECT_FALSE(is_available(dispatcher, engine(dispatcher, 1), at(1'000)));
}

// Once it is sent a call it is reported on as often as others are.
TEST(silence, an_engine_in_use_is_soon_known_to_stand_still)
{
    auto dispatcher = fleet(3);
    dispatcher.idle_report_delay = std::chrono::milliseconds{700};
    auto const silent = engine(dispatcher, 1).key;
    hold_parts(engine(dispatcher, 1), shared_part);
    EXPECT_EQ(target_of_next(dispatcher, 1, 500), silent);
    report_others(dispatcher, silent, 780);
    EXPECT_EQ(target_of_next(dispatcher, 2, 790), silent);
    EXPECT_NE(target_of_next(dispatcher, 3, 800), silent);
    report_others(dispatcher, silent, 1'090);
    EXPECT_TRUE(stranded_calls(dispatcher, at(1'090)).empty());
    EXPECT_EQ(stranded_calls(dispatcher, at(1'100)).size(), 2U);
}

// All agents were cut off while their engines were busy: the last reports
// filled the engines for as long as the cut lasted, and nearly all calls were
// refused.
TEST(silence, an_old_report_of_a_full_engine_does_not_keep_calls_away)
{
    auto dispatcher = fleet(2);
    for (auto const& [key, target] : dispatcher.upstreams)
    {
        auto full = idle_load(0);
        full.report.memory_used = engine_memory;
        full.report.prefilling = 20;
        on_load_report(dispatcher, key, full);
    }
    EXPECT_FALSE(choose(dispatcher, prompt_call(1, shared_part), at(1'400)));
    EXPECT_TRUE(choose(dispatcher, prompt_call(1, shared_part), at(1'600)));
}

// A gateway that is cut off hears of no engine.
TEST(silence, silence_of_most_engines_shows_nothing)
{
    auto dispatcher = fleet_with_a_silent_engine(3);
    EXPECT_TRUE(is_available(dispatcher, engine(dispatcher, 1), at(9'000)));
}

} // namespace jujubestand::dispatch
