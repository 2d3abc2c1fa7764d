#include <gtest/gtest.h>
#include <jujubestand/dispatch/queue_order.hpp>
#include <numeric>

// Order of the waiting calls and what is refused of them, at one time.
namespace jujubestand::dispatch
{

namespace
{

using std::chrono::milliseconds;

mono_time at(int ms)
{
    return mono_time{milliseconds{100'000 + ms}};
}

queue_entry urgent(std::uint64_t key, int arrived_ms, char const* team = "a")
{
    queue_entry entry;
    entry.key = key;
    entry.team = team;
    entry.priority = 0;
    entry.target_latency = milliseconds{800};
    entry.due_at = at(arrived_ms + 800);
    entry.deadline = at(arrived_ms + 6'400);
    entry.tokens = 900;
    return entry;
}

queue_entry patient(std::uint64_t key, int arrived_ms, char const* team = "a")
{
    queue_entry entry;
    entry.key = key;
    entry.team = team;
    entry.priority = 2;
    entry.target_latency = milliseconds{2'000};
    entry.due_at = at(arrived_ms + 2'000);
    entry.deadline = at(arrived_ms + 5'000);
    entry.tokens = 9'000;
    return entry;
}

queue_terms terms_at(int ms)
{
    queue_terms terms;
    terms.now = at(ms);
    return terms;
}

std::vector<std::uint64_t> keys_of(std::vector<queue_place> const& places)
{
    std::vector<std::uint64_t> keys;
    keys.reserve(places.size());
    for (auto const& place : places)
        keys.push_back(place.entry.key);
    return keys;
}

std::vector<std::uint64_t> refused_of(std::vector<queue_place> const& places)
{
    std::vector<std::uint64_t> keys;
    for (auto const& place : places)
    {
        if (place.is_refused)
            keys.push_back(place.entry.key);
    }
    return keys;
}

// A flow that has accepted so many tokens per millisecond of each priority for
// a second, and whose queue has been standing for three.
pool_flow standing_flow(double tokens_per_ms, int now_ms)
{
    pool_flow flow;
    constexpr double waited_ms = 1'000;
    for (std::uint8_t const priority : {std::uint8_t{0}, std::uint8_t{2}})
    {
        flow.priorities[priority].waiting_ms = waited_ms;
        flow.priorities[priority].accepted_tokens = tokens_per_ms * waited_ms;
    }
    flow.counted_at = at(now_ms);
    flow.waiting_since = at(now_ms - 3'000);
    flow.upstreams = 10;
    return flow;
}

} // namespace

TEST(queue_order, urgent_calls_are_first_and_the_oldest_of_a_priority)
{
    pool_flow const flow;
    auto const places = plan_queue(
        flow, {patient(1, 0), urgent(2, 20), urgent(3, 10)}, terms_at(30));
    // The patient call uses the share that the first urgent one has earned it.
    EXPECT_EQ(keys_of(places), (std::vector<std::uint64_t>{3, 1, 2}));
    EXPECT_FALSE(places[0].is_before_urgent);
    EXPECT_TRUE(places[1].is_before_urgent);
}

// A call that was late already was served before calls that became late behind
// it.
TEST(queue_order, late_calls_are_after_those_that_can_be_in_time)
{
    pool_flow const flow;
    auto const places = plan_queue(
        flow, {urgent(1, 0), urgent(2, 300), urgent(3, 200)}, terms_at(900));
    EXPECT_EQ(keys_of(places), (std::vector<std::uint64_t>{3, 2, 1}));
    EXPECT_TRUE(refused_of(places).empty());
}

// The calls of a team that sends many went before those of the others.
TEST(queue_order, the_team_that_used_least_is_next)
{
    pool_flow flow;
    record_accepted(flow, patient(100, 0, "heavy"), {}, at(0));
    std::vector<queue_entry> entries;
    for (std::uint64_t key = 1; key <= 6; ++key)
        entries.push_back(urgent(key, 0, "heavy"));
    entries.push_back(urgent(7, 5, "quiet"));
    // What was used at another priority doesn't count.
    std::vector<std::uint64_t> const equal = {1, 2, 3, 7, 4, 5, 6};
    EXPECT_EQ(keys_of(plan_queue(flow, entries, terms_at(10))), equal);
    for (std::uint64_t key = 101; key <= 110; ++key)
        record_accepted(flow, urgent(key, 0, "heavy"), {}, at(0));
    EXPECT_EQ(keys_of(plan_queue(flow, entries, terms_at(10))).front(), 7U);
    // Use is forgotten.
    for (auto& entry : entries)
    {
        entry.due_at += milliseconds{20'000};
        entry.deadline += milliseconds{20'000};
    }
    EXPECT_EQ(keys_of(plan_queue(flow, entries, terms_at(20'010))), equal);
}

TEST(queue_order, teams_take_turns)
{
    pool_flow const flow;
    std::vector<queue_entry> entries;
    for (std::uint64_t key = 1; key <= 4; ++key)
        entries.push_back(patient(key, 0, "a"));
    for (std::uint64_t key = 5; key <= 8; ++key)
        entries.push_back(patient(key, 1, "b"));
    EXPECT_EQ(keys_of(plan_queue(flow, entries, terms_at(10))),
              (std::vector<std::uint64_t>{1, 5, 2, 6, 3, 7, 4, 8}));
}

// Patient calls waited until their callers left while urgent ones came without
// end.
TEST(queue_order, a_patient_priority_gets_a_fifth_of_the_tokens)
{
    pool_flow flow;
    std::vector<queue_entry> waiting;
    std::uint64_t key = 0;
    double urgent_tokens = 0;
    double patient_tokens = 0;
    for (int sent = 0; sent < 2'000; ++sent)
    {
        while (waiting.size() < 20)
        {
            ++key;
            waiting.push_back(key % 2 == 0 ? urgent(key, 0) : patient(key, 0));
        }
        begin_turn(flow, waiting, 10, at(10));
        auto const next = plan_queue(flow, waiting, terms_at(10)).front();
        record_accepted(flow, next.entry, waiting, at(10));
        (next.entry.priority == 0 ? urgent_tokens : patient_tokens) +=
            next.entry.tokens;
        std::erase_if(waiting,
                      [&](queue_entry const& entry)
                      {
                          return entry.key == next.entry.key;
                      });
        // The queue must not fill up with one kind.
        if (std::none_of(waiting.begin(), waiting.end(),
                         [](auto const& entry)
                         {
                             return entry.priority == 0;
                         }))
            waiting.push_back(urgent(++key, 0));
    }
    double const share = patient_tokens / (urgent_tokens + patient_tokens);
    EXPECT_GT(share, 0.19);
    EXPECT_LT(share, 0.22);
}

// Calls waited that could not begin before their callers left.
TEST(queue_order, what_cannot_begin_in_its_time_is_refused_at_once)
{
    auto flow = standing_flow(1.0, 0);
    flow.waiting_since.reset();
    std::vector<queue_entry> entries;
    for (std::uint64_t key = 1; key <= 10; ++key)
        entries.push_back(urgent(key, 0));
    // 6.34 s are left for waiting; a call leaves each 0.47 s, then each second.
    EXPECT_EQ(refused_of(plan_queue(flow, entries, terms_at(0))),
              (std::vector<std::uint64_t>{}));
    flow.priorities[0].accepted_tokens = 0;
    EXPECT_EQ(refused_of(plan_queue(flow, entries, terms_at(0))),
              (std::vector<std::uint64_t>{8, 9, 10}));
    // What has begun at an upstream is not given up for an estimate.
    entries.back().is_committed = true;
    EXPECT_EQ(refused_of(plan_queue(flow, entries, terms_at(0))).size(), 2U);
    EXPECT_FALSE(refused_of(plan_queue(flow, entries, terms_at(0))).back() ==
                 10);
}

// Each call of a standing queue waited until it was late.
TEST(queue_order, a_standing_queue_refuses_what_can_only_be_late)
{
    auto flow = standing_flow(3.0, 1'000);
    std::vector<queue_entry> const entries = {urgent(1, 0), urgent(2, 900),
                                              urgent(3, 900), urgent(4, 900),
                                              urgent(5, 900)};
    // A call leaves each 230 ms: the first is late, the last would be.
    EXPECT_EQ(refused_of(plan_queue(flow, entries, terms_at(1'000))),
              (std::vector<std::uint64_t>{5, 1}));
    flow.waiting_since = at(500);
    EXPECT_TRUE(refused_of(plan_queue(flow, entries, terms_at(1'000))).empty());
}

// A refusal frees no room that a call in time could use.
TEST(queue_order, late_calls_are_served_while_no_call_can_be_in_time)
{
    auto const flow = standing_flow(3.0, 1'000);
    EXPECT_TRUE(refused_of(plan_queue(flow, {urgent(1, 0), urgent(2, 10)},
                                      terms_at(1'000)))
                    .empty());
    // Less urgent calls don't count.
    EXPECT_TRUE(refused_of(plan_queue(flow, {urgent(1, 0), patient(2, 900)},
                                      terms_at(1'000)))
                    .empty());
    EXPECT_EQ(refused_of(plan_queue(flow, {patient(1, -1'500), urgent(2, 900)},
                                    terms_at(1'000))),
              (std::vector<std::uint64_t>{1}));
}

TEST(queue_order, a_new_call_needs_time_to_spare)
{
    auto const flow = standing_flow(3.0, 1'000);
    std::vector<queue_entry> entries = {urgent(1, 900), urgent(2, 900),
                                        urgent(3, 990)};
    // The third waits for 462 ms of the 730 that it has.
    EXPECT_TRUE(refused_of(plan_queue(flow, entries, terms_at(1'000))).empty());
    auto terms = terms_at(1'000);
    terms.newcomer = 3;
    EXPECT_TRUE(refused_of(plan_queue(flow, entries, terms)).empty());
    entries.insert(entries.begin(), urgent(4, 900));
    EXPECT_TRUE(refused_of(plan_queue(flow, entries, terms_at(1'000))).empty());
    EXPECT_EQ(refused_of(plan_queue(flow, entries, terms)),
              (std::vector<std::uint64_t>{3}));
}

// Refused callers came back at once and were refused again, or came back all
// together.
TEST(queue_order, retry_after_is_when_there_is_room)
{
    auto flow = standing_flow(3.0, 1'000);
    flow.waiting_since.reset();
    std::vector<queue_entry> entries;
    for (std::uint64_t key = 1; key <= 30; ++key)
        entries.push_back(urgent(key, 1'000));
    auto const places = plan_queue(flow, entries, terms_at(1'000));
    // A call leaves each 231 ms: 28 can begin in time. The others have room
    // 555 ms, three quarters of the target's free time, before their turn.
    ASSERT_EQ(refused_of(places), (std::vector<std::uint64_t>{29, 30}));
    EXPECT_EQ(places[28].retry_after, milliseconds{5'907});
    EXPECT_EQ(places[29].retry_after, milliseconds{5'907});
    EXPECT_FALSE(places[29].is_returning);
    // Callers that return count as ahead of the next refused one.
    for (auto& entry : entries)
    {
        entry.tokens = 300;
        entry.deadline = at(1'800);
    }
    // A call leaves each 91 ms: the first nine can begin in time.
    auto const refused = plan_queue(flow, entries, terms_at(1'000));
    ASSERT_EQ(refused_of(refused).front(), 10U);
    EXPECT_TRUE(refused[9].is_returning);
    EXPECT_GT(refused[10].retry_after, refused[9].retry_after);
    EXPECT_FALSE(refused[10].is_returning);
}

// A caller that was told to return within its time, but after its target, took
// the room of a call that could have been in time.
TEST(queue_order, a_caller_that_would_be_late_is_not_asked_back)
{
    auto const flow = standing_flow(3.0, 1'000);
    auto terms = terms_at(1'000);
    terms.newcomer = 5;
    std::vector<queue_entry> entries;
    for (std::uint64_t key = 1; key <= 4; ++key)
        entries.push_back(urgent(key, 990));
    entries.push_back(urgent(5, 1'000));
    auto const places = plan_queue(flow, entries, terms);
    ASSERT_TRUE(places[4].is_refused);
    EXPECT_EQ(places[4].retry_after, milliseconds{6'400});
    EXPECT_FALSE(places[4].is_returning);
    // With less ahead it returns in time.
    entries.erase(entries.begin());
    auto quicker = flow;
    quicker.priorities[0].accepted_tokens = 3'800;
    auto const returning = plan_queue(quicker, entries, terms);
    ASSERT_TRUE(returning[3].is_refused);
    EXPECT_EQ(returning[3].retry_after, milliseconds{50});
    EXPECT_TRUE(returning[3].is_returning);
}

// The estimate stayed at what all upstreams had accepted before.
TEST(queue_order, the_rate_falls_with_the_upstreams)
{
    auto flow = standing_flow(3.0, 1'000);
    std::vector<queue_entry> const entries = {urgent(1, 990), urgent(2, 990),
                                              urgent(3, 990), urgent(4, 990)};
    begin_turn(flow, entries, 10, at(1'000));
    EXPECT_TRUE(refused_of(plan_queue(flow, entries, terms_at(1'000))).empty());
    begin_turn(flow, entries, 5, at(1'010));
    EXPECT_EQ(refused_of(plan_queue(flow, entries, terms_at(1'010))),
              (std::vector<std::uint64_t>{3, 4}));
    begin_turn(flow, entries, 10, at(1'020));
    EXPECT_TRUE(refused_of(plan_queue(flow, entries, terms_at(1'020))).empty());
}

TEST(queue_order, a_rate_is_known_after_calls_have_waited)
{
    pool_flow flow;
    std::vector<queue_entry> const waiting = {urgent(1, 0)};
    begin_turn(flow, {}, 10, at(0));
    for (int ms = 10; ms <= 240; ms += 10)
        begin_turn(flow, waiting, 10, at(ms));
    EXPECT_FALSE(accepted_rate(flow.priorities[0], 900));
    for (int ms = 250; ms <= 1'000; ms += 10)
    {
        begin_turn(flow, waiting, 10, at(ms));
        record_accepted(flow, urgent(2, ms), waiting, at(ms));
    }
    EXPECT_NEAR(*accepted_rate(flow.priorities[0], 900), 91, 5);
    // After a time without waiting calls it is unknown again.
    begin_turn(flow, {}, 10, at(9'000));
    EXPECT_FALSE(accepted_rate(flow.priorities[0], 900));
}

TEST(queue_order, calls_that_did_not_wait_are_no_measure_of_the_rate)
{
    pool_flow flow;
    begin_turn(flow, {}, 10, at(0));
    record_accepted(flow, urgent(1, 0), {}, at(0));
    EXPECT_EQ(flow.priorities[0].accepted_tokens, 0);
}

// Calls were sent so late that their callers left before the first output.
TEST(queue_order, the_measured_service_time_counts)
{
    pool_flow flow;
    for (int sample = 0; sample < 50; ++sample)
        record_service_time(flow, 0, milliseconds{400}, false, at(0));
    EXPECT_NEAR(*measured_service_ms(flow.priorities[0], at(0)), 400, 20);
    // A call that ended without output tells that it takes longer, not less.
    record_service_time(flow, 0, milliseconds{100}, true, at(0));
    EXPECT_NEAR(*measured_service_ms(flow.priorities[0], at(0)), 400, 20);
    record_service_time(flow, 0, milliseconds{2'000}, true, at(0));
    EXPECT_GT(*measured_service_ms(flow.priorities[0], at(0)), 500);
    EXPECT_EQ(
        refused_of(plan_queue(flow, {urgent(1, -6'000)}, terms_at(0))).size(),
        1U);
    // An old measurement does not keep calls from being sent.
    EXPECT_TRUE(
        refused_of(plan_queue(flow, {urgent(1, -1'000)}, terms_at(5'000)))
            .empty());
    EXPECT_FALSE(measured_service_ms(flow.priorities[0], at(5'000)));
}

// Small calls took each piece of memory before there was enough for a large
// one.
TEST(queue_order, room_is_kept_for_a_blocked_call_half_of_the_time)
{
    pool_flow flow;
    int kept = 0;
    for (int ms = 0; ms < 1'000; ms += 10)
        kept += keeps_room(flow, true, at(ms));
    EXPECT_EQ(kept, 50);
    EXPECT_FALSE(keeps_room(flow, false, at(1'150)));
    EXPECT_FALSE(keeps_room(flow, true, at(1'160)));
}

} // namespace jujubestand::dispatch
