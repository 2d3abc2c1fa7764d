#include <algorithm>
#include <gtest/gtest.h>
#include <jujubestand/quarantine/gate.hpp>
#include <rapidcheck/gtest.h>

namespace jujubestand::quarantine
{

namespace
{

constexpr wall_time start_time{std::chrono::milliseconds{1'000'000'000}};
constexpr digest poison{0, 1'000};

/// Several engines with a gate each; an engine that runs the poison crashes.
struct engine_group
{
    std::vector<engine_gate> gates;
    std::vector<bool> finished;
    std::size_t crashes = 0;
    std::uint64_t requests_sent = 0;
    wall_time now = start_time;

    engine_group(std::size_t engines, gate_rules const& rules)
    {
        for (std::size_t index = 0; index < engines; ++index)
        {
            engine_gate gate;
            gate.upstream = upstream_id{"engine-" + std::to_string(index)};
            gate.incarnation = incarnation_id{1};
            gate.rules = rules;
            this->gates.push_back(std::move(gate));
        }
    }

    void merge_into_all(notice const& update)
    {
        for (auto& gate : this->gates)
            merge(gate.known_strikes, update, this->now);
    }

    admission send(std::size_t engine, digest const& fingerprint)
    {
        this->now += std::chrono::milliseconds{1};
        return admit(this->gates[engine], {0, ++this->requests_sent},
                     fingerprint, this->now);
    }

    void crash(std::size_t engine)
    {
        ++this->crashes;
        engine_gate& gate = this->gates[engine];
        incarnation_id const next{gate.incarnation.value + 1};
        this->merge_into_all(on_connect_refused(gate, this->now).changes);
        (void)on_engine_answer(gate, next, this->now);
    }

    void finish_all(std::size_t engine)
    {
        auto const running = this->gates[engine].in_flight;
        for (auto const& [request, entry] : running)
        {
            if (entry.fingerprint.low < this->finished.size())
                this->finished[entry.fingerprint.low] = true;
            this->merge_into_all(on_request_end(this->gates[engine], request,
                                                request_end::finished,
                                                this->now)
                                     .changes);
        }
    }
};

// Sends the poison to one engine after the other, each time together with all
// other requests that have not finished. If the poison has to wait, the others
// finish first.
void run_poison(engine_group& group, std::size_t harmless)
{
    group.finished.assign(harmless, false);
    for (std::size_t engine = 0; engine < group.gates.size(); ++engine)
    {
        for (std::size_t low = 0; low < harmless; ++low)
        {
            if (group.finished[low])
                continue;
            if (group.send(engine, {0, low}) == admission::wait)
                group.gates[engine].waiting_suspects.clear();
        }
        if (group.send(engine, poison) == admission::start)
            group.crash(engine);
        else
        {
            group.gates[engine].waiting_suspects.clear();
            group.finish_all(engine);
            if (group.send(engine, poison) == admission::start)
                group.crash(engine);
        }
    }
}

} // namespace

TEST(engine_gate, poison_is_refused_after_two_crashes)
{
    engine_group group(6, {});
    run_poison(group, 5);
    EXPECT_EQ(group.crashes, 2U);
    EXPECT_EQ(group.send(5, poison), admission::refuse);
}

TEST(engine_gate,
     poison_crashes_more_engines_if_quarantined_requests_are_admitted)
{
    gate_rules rules;
    rules.refuse_quarantined = false;
    engine_group group(6, rules);
    run_poison(group, 5);
    EXPECT_GT(group.crashes, 2U);
}

TEST(engine_gate, harmless_requests_beside_the_poison_finish)
{
    engine_group group(6, {});
    run_poison(group, 3);
    for (bool const is_finished : group.finished)
        EXPECT_TRUE(is_finished);
}

TEST(engine_gate, harmless_requests_are_lost_if_suspects_share_an_engine)
{
    gate_rules rules;
    rules.isolate_suspects = false;
    engine_group group(6, rules);
    run_poison(group, 3);
    EXPECT_TRUE(
        std::count(group.finished.begin(), group.finished.end(), false) > 0);
}

TEST(engine_gate, finished_suspects_are_unrestricted_again)
{
    engine_group group(3, {});
    ASSERT_EQ(group.send(0, {0, 1}), admission::start);
    group.crash(0);
    ASSERT_EQ(group.send(1, {0, 1}), admission::start);
    group.finish_all(1);
    EXPECT_EQ(status_of(group.gates[2].known_strikes, {0, 1}, group.now),
              quarantine_status::unrestricted);
}

TEST(engine_gate, finished_suspects_keep_their_strikes_without_the_clearance)
{
    gate_rules rules;
    rules.clear_finished = false;
    engine_group group(3, rules);
    ASSERT_EQ(group.send(0, {0, 1}), admission::start);
    group.crash(0);
    ASSERT_EQ(group.send(1, {0, 1}), admission::start);
    group.finish_all(1);
    EXPECT_EQ(status_of(group.gates[2].known_strikes, {0, 1}, group.now),
              quarantine_status::isolated);
}

TEST(engine_gate, broken_connection_of_a_running_engine_records_no_strike)
{
    engine_group group(1, {});
    engine_gate& gate = group.gates[0];
    ASSERT_EQ(group.send(0, {0, 1}), admission::start);
    (void)on_request_end(gate, {0, 1}, request_end::connection_broken,
                         start_time);
    EXPECT_TRUE(has_broken_connection(gate));
    EXPECT_TRUE(
        on_engine_answer(gate, incarnation_id{1}, start_time).changes.empty());
    EXPECT_FALSE(has_broken_connection(gate));
    EXPECT_EQ(status_of(gate.known_strikes, {0, 1}, start_time),
              quarantine_status::unrestricted);
}

TEST(engine_gate, broken_connection_then_new_incarnation_is_a_crash)
{
    engine_group group(1, {});
    engine_gate& gate = group.gates[0];
    ASSERT_EQ(group.send(0, {0, 1}), admission::start);
    (void)on_request_end(gate, {0, 1}, request_end::connection_broken,
                         start_time);
    auto const update =
        on_engine_answer(gate, incarnation_id{2}, start_time).changes;
    ASSERT_EQ(update.strikes.size(), 1U);
    EXPECT_EQ(update.strikes[0].incarnation, incarnation_id{1});
}

TEST(engine_gate, suspect_waits_for_the_engine_and_holds_others_back)
{
    engine_group group(2, {});
    ASSERT_EQ(group.send(0, {0, 1}), admission::start);
    group.crash(0);
    engine_gate& gate = group.gates[1];
    ASSERT_EQ(admit(gate, {1, 1}, {0, 5}, start_time), admission::start);
    ASSERT_EQ(admit(gate, {1, 2}, {0, 1}, start_time), admission::wait);
    EXPECT_EQ(admit(gate, {1, 3}, {0, 6}, start_time), admission::wait);
    (void)on_request_end(gate, {1, 1}, request_end::finished, start_time);
    EXPECT_EQ(admit(gate, {1, 2}, {0, 1}, start_time), admission::start);
    EXPECT_EQ(admit(gate, {1, 3}, {0, 6}, start_time), admission::wait);
    (void)on_request_end(gate, {1, 2}, request_end::finished, start_time);
    EXPECT_EQ(admit(gate, {1, 3}, {0, 6}, start_time), admission::start);
}

// For any mix of sends, ends, broken connections and crashes: an engine that a
// suspect shares never gets the strikes of two crashes, and no request waits
// for ever.
RC_GTEST_PROP(engine_gate, suspects_never_share_the_engine, ())
{
    engine_group group(2, {});
    auto const steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step)
    {
        auto const engine = *rc::gen::inRange<std::size_t>(0, 2);
        auto const action = *rc::gen::inRange(0, 8);
        if (action == 0)
            group.crash(engine);
        else if (action == 1)
            group.finish_all(engine);
        else
            (void)group.send(engine,
                             {0, *rc::gen::inRange<std::uint64_t>(1, 6)});
        for (auto const& gate : group.gates)
            RC_ASSERT(!gate.isolated_suspect ||
                      (gate.in_flight.size() == 1 &&
                       gate.in_flight.contains(*gate.isolated_suspect)));
    }
}

} // namespace jujubestand::quarantine
