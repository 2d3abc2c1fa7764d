#include <gtest/gtest.h>
#include <jujubestand/dispatch/dispatch.hpp>
#include <jujubestand/dispatch/test/fleet.hpp>

// Decisions under `queue_discipline::useful_first`.
namespace jujubestand::dispatch
{

namespace
{

state useful_fleet(int engines)
{
    auto dispatcher = fleet(engines);
    set_queue_discipline(dispatcher, queue_discipline::useful_first);
    return dispatcher;
}

call small_call(call_key key, int ms, char const* team = "a")
{
    auto request = prompt_call(key, 77, ms);
    request.team = team;
    request.priority = 0;
    request.target_latency = std::chrono::milliseconds{800};
    request.deadline = at(ms + 6'400);
    request.model_prompt = traffic::prompt{"m", {{key, 800}}, 800, 100, 50};
    return request;
}

call large_call(call_key key, int ms, char const* team = "a")
{
    auto request = prompt_call(key, 77, ms);
    request.team = team;
    request.priority = 2;
    request.target_latency = std::chrono::milliseconds{2'000};
    return request;
}

// No engine takes calls.
void close(state& dispatcher, int ms)
{
    for (auto& [key, target] : dispatcher.upstreams)
    {
        target.load->is_preparing = true;
        target.load->reported_at = at(ms);
    }
}

void open(state& dispatcher, int ms)
{
    for (auto& [key, target] : dispatcher.upstreams)
        on_load_report(dispatcher, key, idle_load(ms));
}

std::vector<call_key> keys_of(std::vector<decision> const& decided,
                              action wanted)
{
    std::vector<call_key> keys;
    for (auto const& row : decided)
    {
        if (row.next_action == wanted)
            keys.push_back(row.call);
    }
    return keys;
}

// Reviews the queue from one time to another while no engine takes calls.
void wait(state& dispatcher, int from_ms, int to_ms)
{
    for (int ms = from_ms; ms < to_ms; ms += 15)
    {
        close(dispatcher, ms);
        EXPECT_TRUE(decide_waiting(dispatcher, at(ms)).empty()) << ms;
    }
}

} // namespace

TEST(useful_first, is_not_the_default)
{
    EXPECT_EQ(state{}.limits.queue_discipline, queue_discipline::by_target);
}

// A new call took the room that calls had waited for.
TEST(useful_first, a_new_call_does_not_overtake)
{
    auto dispatcher = useful_fleet(1);
    close(dispatcher, 0);
    ASSERT_EQ(submit(dispatcher, small_call(1, 0), at(0)).next_action,
              action::hold);
    open(dispatcher, 10);
    EXPECT_EQ(submit(dispatcher, small_call(2, 10), at(10)).next_action,
              action::hold);
    EXPECT_EQ(keys_of(decide_waiting(dispatcher, at(15)), action::send),
              (std::vector<call_key>{1, 2}));
    // One that is before all that wait is sent at once.
    close(dispatcher, 20);
    ASSERT_EQ(submit(dispatcher, large_call(3, 20), at(20)).next_action,
              action::hold);
    open(dispatcher, 30);
    EXPECT_EQ(submit(dispatcher, small_call(4, 30), at(30)).next_action,
              action::send);
}

// The calls of a team that sent many at once made those of others wait.
TEST(useful_first, a_quiet_team_is_before_a_burst_of_another)
{
    auto dispatcher = useful_fleet(1);
    close(dispatcher, 0);
    for (call_key key = 1; key <= 10; ++key)
        ASSERT_EQ(
            submit(dispatcher, small_call(key, 0, "burst"), at(0)).next_action,
            action::hold);
    ASSERT_EQ(
        submit(dispatcher, small_call(11, 100, "quiet"), at(100)).next_action,
        action::hold);
    open(dispatcher, 110);
    auto const sent =
        keys_of(decide_waiting(dispatcher, at(110)), action::send);
    auto const place = std::find(sent.begin(), sent.end(), 11U);
    ASSERT_NE(place, sent.end());
    EXPECT_LE(place - sent.begin(), 3);
}

// Calls were sent after they had become late, while others became late behind
// them (1,420 callers left after their call had been sent).
TEST(useful_first, late_calls_of_a_standing_queue_are_refused)
{
    auto dispatcher = useful_fleet(1);
    close(dispatcher, 0);
    ASSERT_EQ(submit(dispatcher, small_call(1, 0), at(0)).next_action,
              action::hold);
    wait(dispatcher, 15, 900);
    close(dispatcher, 900);
    // Late, but no other call could use its room.
    ASSERT_TRUE(decide_waiting(dispatcher, at(900)).empty());
    ASSERT_EQ(submit(dispatcher, small_call(2, 905), at(905)).next_action,
              action::hold);
    auto const decided = decide_waiting(dispatcher, at(915));
    ASSERT_EQ(keys_of(decided, action::refuse), (std::vector<call_key>{1}));
    EXPECT_EQ(decided[0].why.code, reason_code::deadline_unreachable);
    // It could not be in time any more if it returned.
    EXPECT_EQ(decided[0].retry_after, std::chrono::milliseconds{5'485});
    EXPECT_EQ(dispatcher.waiting.count(2), 1U);
}

// A stream that has begun would be cut, and a call that may have run can't be
// sent again by its caller.
TEST(useful_first, calls_that_may_have_run_are_not_refused_as_late)
{
    auto dispatcher = useful_fleet(2);
    close(dispatcher, 0);
    auto begun = small_call(1, 0);
    begun.software_version = "";
    auto tried = small_call(2, 0);
    tried.tried = {engine(dispatcher, 2).key};
    ASSERT_EQ(submit(dispatcher, begun, at(0)).next_action, action::hold);
    ASSERT_EQ(submit(dispatcher, tried, at(0)).next_action, action::hold);
    wait(dispatcher, 15, 700);
    close(dispatcher, 700);
    ASSERT_EQ(submit(dispatcher, small_call(3, 700), at(700)).next_action,
              action::hold);
    close(dispatcher, 900);
    // All three can only be late.
    EXPECT_EQ(keys_of(decide_waiting(dispatcher, at(900)), action::refuse),
              (std::vector<call_key>{3}));
    close(dispatcher, 6'350);
    EXPECT_EQ(keys_of(decide_waiting(dispatcher, at(6'350)), action::refuse),
              (std::vector<call_key>{1, 2}));
}

// Calls waited for engines that were gone until their callers left.
TEST(useful_first, what_lost_engines_can_not_serve_is_refused_in_one_review)
{
    auto dispatcher = useful_fleet(10);
    dispatcher.gateways = 1;
    close(dispatcher, 0);
    auto& flow = dispatcher.flows["engines"];
    flow.priorities[0].waiting_ms = 1'000;
    flow.priorities[0].accepted_tokens = 2'000;
    flow.upstreams = 10;
    flow.counted_at = at(0);
    for (call_key key = 1; key <= 12; ++key)
        ASSERT_EQ(submit(dispatcher, small_call(key, 0), at(0)).next_action,
                  action::hold);
    ASSERT_TRUE(decide_waiting(dispatcher, at(10)).empty());
    for (int number = 1; number <= 8; ++number)
        on_upstream_removed(dispatcher, "e" + std::to_string(number));
    // A call leaves each 0.7 s now, which leaves 6.3 s for waiting.
    auto const decided = decide_waiting(dispatcher, at(20));
    EXPECT_EQ(keys_of(decided, action::refuse),
              (std::vector<call_key>{11, 12}));
    // The ten ahead leave room three quarters of a target before its turn.
    EXPECT_GT(decided.at(0).retry_after, std::chrono::milliseconds{5'000});
    EXPECT_LT(decided.at(0).retry_after, std::chrono::milliseconds{6'500});
}

// Calls were sent to slow engines so late that their callers left before the
// first output.
TEST(useful_first, the_time_to_the_first_output_is_measured)
{
    auto dispatcher = useful_fleet(1);
    ASSERT_EQ(submit(dispatcher, small_call(1, 0), at(0)).next_action,
              action::send);
    on_answer_bytes(dispatcher, 1, at(500));
    on_first_output(dispatcher, 1);
    EXPECT_EQ(dispatcher.flows["engines"].priorities[0].service_ms, 500);
    on_send_end(dispatcher, 1, send_outcome::served, at(900));
    EXPECT_EQ(dispatcher.flows["engines"].priorities[0].service_ms, 500);
    open(dispatcher, 900);
    ASSERT_EQ(submit(dispatcher, small_call(2, 900), at(900)).next_action,
              action::send);
    // A caller that leaves has waited for longer than usual.
    on_send_end(dispatcher, 2, send_outcome::cancelled, at(1'000));
    EXPECT_EQ(dispatcher.flows["engines"].priorities[0].service_ms, 500);
    close(dispatcher, 1'000);
    auto waiting = small_call(3, 1'000);
    waiting.deadline = at(1'900);
    ASSERT_EQ(submit(dispatcher, waiting, at(1'000)).next_action, action::hold);
    open(dispatcher, 1'300);
    EXPECT_EQ(keys_of(decide_waiting(dispatcher, at(1'300)), action::refuse),
              (std::vector<call_key>{3}));
}

// Small calls took the memory that a large one waited for.
TEST(useful_first, room_is_kept_for_a_large_call_that_is_owed)
{
    auto dispatcher = useful_fleet(1);
    auto& report = engine(dispatcher, 1).load->report;
    report.memory_used = engine_memory - 8'000;
    ASSERT_EQ(submit(dispatcher, large_call(1, 0), at(0)).next_action,
              action::hold);
    int kept = 0;
    for (int ms = 10; ms < 1'000; ms += 10)
    {
        engine(dispatcher, 1).load->reported_at = at(ms);
        auto const key = static_cast<call_key>(ms);
        (void)submit(dispatcher, small_call(key, ms), at(ms));
        auto const sent =
            keys_of(decide_waiting(dispatcher, at(ms)), action::send);
        kept += sent.empty() && dispatcher.sends.empty();
        for (auto const& [sent_key, send] : std::map<call_key, open_send>(
                 dispatcher.sends.begin(), dispatcher.sends.end()))
            on_send_end(dispatcher, sent_key, send_outcome::served, at(ms));
    }
    EXPECT_GT(kept, 30);
    EXPECT_LT(kept, 60);
    report.memory_used = 0;
    engine(dispatcher, 1).load->reported_at = at(1'000);
    auto const sent =
        keys_of(decide_waiting(dispatcher, at(1'000)), action::send);
    EXPECT_NE(std::find(sent.begin(), sent.end(), 1U), sent.end());
}

// What was measured for one discipline must not count when it is in force
// again.
TEST(useful_first, a_change_of_discipline_drops_what_was_measured)
{
    auto dispatcher = useful_fleet(1);
    (void)submit(dispatcher, small_call(1, 0), at(0));
    EXPECT_FALSE(dispatcher.flows.empty());
    set_queue_discipline(dispatcher, queue_discipline::useful_first);
    EXPECT_FALSE(dispatcher.flows.empty());
    set_queue_discipline(dispatcher, queue_discipline::by_target);
    EXPECT_TRUE(dispatcher.flows.empty());
    (void)submit(dispatcher, small_call(2, 0), at(0));
    on_send_end(dispatcher, 1, send_outcome::served, at(100));
    (void)decide_waiting(dispatcher, at(110));
    EXPECT_TRUE(dispatcher.flows.empty());
}

} // namespace jujubestand::dispatch
