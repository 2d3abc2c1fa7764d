#include <algorithm>
#include <gtest/gtest.h>
#include <jujubestand/quarantine/gate.hpp>
#include <rapidcheck/gtest.h>

namespace jujubestand::quarantine
{

namespace
{

constexpr wall_time start{std::chrono::milliseconds{1'000'000'000}};
constexpr digest poison{0, 1'000};

/// Several engines with a gate each; an engine that runs the poison crashes.
struct fleet
{
    std::vector<engine_gate> gates;
    std::vector<bool> finished;
    std::size_t crashes = 0;
    std::uint64_t requests = 0;
    wall_time now = start;

    fleet(std::size_t engines, gate_rules const& rules)
    {
        for (std::size_t at = 0; at < engines; ++at)
        {
            engine_gate gate;
            gate.upstream = upstream_id{"engine-" + std::to_string(at)};
            gate.incarnation = incarnation_id{1};
            gate.rules = rules;
            this->gates.push_back(std::move(gate));
        }
    }

    void spread(notice const& made)
    {
        for (auto& gate : this->gates)
            merge(gate.book, made, this->now);
    }

    passage send(std::size_t engine, digest const& fingerprint)
    {
        this->now += std::chrono::milliseconds{1};
        return pass(this->gates[engine], {0, ++this->requests}, fingerprint,
                    this->now);
    }

    void crash(std::size_t engine)
    {
        ++this->crashes;
        engine_gate& gate = this->gates[engine];
        incarnation_id const next{gate.incarnation.value + 1};
        this->spread(lose_engine(gate, this->now).made);
        (void)see_engine(gate, next, this->now);
    }

    void finish_all(std::size_t engine)
    {
        auto const running = this->gates[engine].running;
        for (auto const& [request, entry] : running)
        {
            if (entry.fingerprint.low < this->finished.size())
                this->finished[entry.fingerprint.low] = true;
            this->spread(depart(this->gates[engine], request,
                                departure::finished, this->now)
                             .made);
        }
    }
};

// Sends the poison to one engine after the other, each time together with all
// other requests that have not finished. If the poison has to wait, the others
// finish first.
void run_poison(fleet& at, std::size_t innocents)
{
    at.finished.assign(innocents, false);
    for (std::size_t engine = 0; engine < at.gates.size(); ++engine)
    {
        for (std::size_t low = 0; low < innocents; ++low)
        {
            if (at.finished[low])
                continue;
            if (at.send(engine, {0, low}) == passage::wait)
                at.gates[engine].waiting.clear();
        }
        if (at.send(engine, poison) == passage::start)
            at.crash(engine);
        else
        {
            at.gates[engine].waiting.clear();
            at.finish_all(engine);
            if (at.send(engine, poison) == passage::start)
                at.crash(engine);
        }
    }
}

} // namespace

TEST(engine_gate, poison_stops_after_two_engines)
{
    fleet at(6, {});
    run_poison(at, 5);
    EXPECT_EQ(at.crashes, 2U);
    EXPECT_EQ(at.send(5, poison), passage::refuse);
}

TEST(engine_gate, poison_goes_on_if_quarantined_requests_are_let_in)
{
    gate_rules rules;
    rules.quarantined_are_refused = false;
    fleet at(6, rules);
    run_poison(at, 5);
    EXPECT_GT(at.crashes, 2U);
}

TEST(engine_gate, innocents_beside_the_poison_finish)
{
    fleet at(6, {});
    run_poison(at, 3);
    for (bool const is_finished : at.finished)
        EXPECT_TRUE(is_finished);
}

TEST(engine_gate, innocents_are_lost_if_suspects_share_an_engine)
{
    gate_rules rules;
    rules.suspects_run_alone = false;
    fleet at(6, rules);
    run_poison(at, 3);
    EXPECT_TRUE(std::count(at.finished.begin(), at.finished.end(), false) > 0);
}

TEST(engine_gate, finished_suspects_are_free_again)
{
    fleet at(3, {});
    ASSERT_EQ(at.send(0, {0, 1}), passage::start);
    at.crash(0);
    ASSERT_EQ(at.send(1, {0, 1}), passage::start);
    at.finish_all(1);
    EXPECT_EQ(judge(at.gates[2].book, {0, 1}, at.now), judgement::free);
}

TEST(engine_gate, finished_suspects_stay_struck_without_the_clearance)
{
    gate_rules rules;
    rules.finished_are_cleared = false;
    fleet at(3, rules);
    ASSERT_EQ(at.send(0, {0, 1}), passage::start);
    at.crash(0);
    ASSERT_EQ(at.send(1, {0, 1}), passage::start);
    at.finish_all(1);
    EXPECT_EQ(judge(at.gates[2].book, {0, 1}, at.now), judgement::alone);
}

TEST(engine_gate, broken_connection_of_a_living_engine_strikes_nobody)
{
    fleet at(1, {});
    engine_gate& gate = at.gates[0];
    ASSERT_EQ(at.send(0, {0, 1}), passage::start);
    (void)depart(gate, {0, 1}, departure::cut, start);
    EXPECT_TRUE(has_cut(gate));
    EXPECT_TRUE(see_engine(gate, incarnation_id{1}, start).made.empty());
    EXPECT_FALSE(has_cut(gate));
    EXPECT_EQ(judge(gate.book, {0, 1}, start), judgement::free);
}

TEST(engine_gate, cut_then_new_incarnation_is_a_crash)
{
    fleet at(1, {});
    engine_gate& gate = at.gates[0];
    ASSERT_EQ(at.send(0, {0, 1}), passage::start);
    (void)depart(gate, {0, 1}, departure::cut, start);
    auto const made = see_engine(gate, incarnation_id{2}, start).made;
    ASSERT_EQ(made.strikes.size(), 1U);
    EXPECT_EQ(made.strikes[0].incarnation, incarnation_id{1});
}

TEST(engine_gate, suspect_waits_for_the_engine_and_holds_others_back)
{
    fleet at(2, {});
    ASSERT_EQ(at.send(0, {0, 1}), passage::start);
    at.crash(0);
    engine_gate& gate = at.gates[1];
    ASSERT_EQ(pass(gate, {1, 1}, {0, 5}, start), passage::start);
    ASSERT_EQ(pass(gate, {1, 2}, {0, 1}, start), passage::wait);
    EXPECT_EQ(pass(gate, {1, 3}, {0, 6}, start), passage::wait);
    (void)depart(gate, {1, 1}, departure::finished, start);
    EXPECT_EQ(pass(gate, {1, 2}, {0, 1}, start), passage::start);
    EXPECT_EQ(pass(gate, {1, 3}, {0, 6}, start), passage::wait);
    (void)depart(gate, {1, 2}, departure::finished, start);
    EXPECT_EQ(pass(gate, {1, 3}, {0, 6}, start), passage::start);
}

// For any mix of sends, ends, broken connections and crashes: an engine that a
// suspect shares never gets the strikes of two crashes, and no request waits
// for ever.
RC_GTEST_PROP(engine_gate, suspects_never_share_the_engine, ())
{
    fleet at(2, {});
    auto const steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step)
    {
        auto const engine = *rc::gen::inRange<std::size_t>(0, 2);
        auto const what = *rc::gen::inRange(0, 8);
        if (what == 0)
            at.crash(engine);
        else if (what == 1)
            at.finish_all(engine);
        else
            (void)at.send(engine, {0, *rc::gen::inRange<std::uint64_t>(1, 6)});
        for (auto const& gate : at.gates)
            RC_ASSERT(!gate.alone || (gate.running.size() == 1 &&
                                      gate.running.contains(*gate.alone)));
    }
}

} // namespace jujubestand::quarantine
