#include "explorer.hpp"

#include <gtest/gtest.h>
#include <iostream>
#include <rapidcheck/gtest.h>

namespace jujubestand::claims::test
{

namespace
{

// The sanitizers slow the search down some fifty times; the plain build
// searches deeper.
#if defined(__SANITIZE_ADDRESS__)
constexpr int depth_saved = 3;
#else
constexpr int depth_saved = 0;
#endif

std::string lines_of(exploration const& found)
{
    std::string text = found.broken;
    for (auto const& step : found.trace)
        text += "\n  " + step;
    return text;
}

exploration run(char const* name, explorer_limits const& limits)
{
    exploration found = explore(limits);
    std::cout << name << ": sidecars " << limits.sidecars << ", calls "
              << limits.calls << ", depth " << limits.depth << ", faults "
              << limits.faults << ": states " << found.states << ", steps "
              << found.steps << ", with a run " << found.begun_states
              << ", with an outcome " << found.finished_states << "; "
              << lines_of(found) << "\n";
    return found;
}

// Searches deeper and deeper, so that the shortest trace is printed.
exploration run_mutant(char const* name, claim_rules const& rules,
                       std::size_t sidecars)
{
    explorer_limits limits;
    limits.sidecars = sidecars;
    limits.rules = rules;
    limits.faults = 3;
    exploration found;
    for (limits.depth = 4; limits.depth <= 12 && found.broken.empty();
         ++limits.depth)
        found = explore(limits);
    std::cout << name << ": " << lines_of(found) << "\n";
    return found;
}

} // namespace

TEST(explorer, two_sidecars_keep_every_rule)
{
    explorer_limits limits;
    limits.depth = 9 - depth_saved;
    limits.faults = 2;
    auto const found = run("two sidecars", limits);
    EXPECT_EQ(found.broken, "") << lines_of(found);
    EXPECT_GT(found.begun_states, 500U);
    EXPECT_GT(found.finished_states, 100U);
}

TEST(explorer, three_sidecars_keep_every_rule)
{
    explorer_limits limits;
    limits.sidecars = 3;
    limits.depth = 8 - depth_saved;
    limits.faults = 1;
    auto const found = run("three sidecars", limits);
    EXPECT_EQ(found.broken, "") << lines_of(found);
    EXPECT_GT(found.begun_states, 500U);
}

TEST(explorer, finds_a_claim_taken_for_won_when_appended)
{
    claim_rules rules;
    rules.decides_by_log_order = false;
    EXPECT_EQ(run_mutant("append is enough", rules, 2).broken, "key run twice");
}

TEST(explorer, finds_a_void_claim_that_comes_to_life)
{
    claim_rules rules;
    rules.void_is_final = false;
    EXPECT_EQ(run_mutant("void claim lives again", rules, 2).broken,
              "key run twice");
}

TEST(explorer, finds_a_begun_call_that_is_abandoned)
{
    claim_rules rules;
    rules.begun_is_kept = false;
    EXPECT_EQ(run_mutant("begun call abandoned", rules, 2).broken,
              "answered while it runs");
}

TEST(explorer, finds_a_refused_call_that_is_kept)
{
    claim_rules rules;
    rules.refused_is_dropped = false;
    EXPECT_EQ(run_mutant("refused call kept", rules, 2).broken,
              "answered twice");
}

TEST(explorer, finds_a_nonce_that_counts_twice)
{
    claim_rules rules;
    rules.nonce_counts_once = false;
    EXPECT_EQ(run_mutant("doubled record", rules, 2).broken,
              "answered while it runs");
}

TEST(explorer, finds_a_gap_that_is_passed_over)
{
    claim_rules rules;
    rules.gap_clears_window = false;
    EXPECT_EQ(run_mutant("gap passed over", rules, 2).broken, "key run twice");
}

// Far longer than what can be searched whole: random steps, many faults.
RC_GTEST_PROP(explorer, long_random_walks_keep_every_rule, ())
{
    explorer_limits limits;
    limits.sidecars = 3;
    limits.calls = 8;
    limits.faults = 12;
    world at = first_world(limits);
    for (int step = 0; step < 120; ++step)
    {
        auto next = successors(at, limits);
        if (next.empty())
            break;
        auto const pick = *rc::gen::inRange<std::size_t>(0, next.size());
        at = std::move(next[pick].second);
        RC_ASSERT(at.broken == "");
    }
}

} // namespace jujubestand::claims::test
