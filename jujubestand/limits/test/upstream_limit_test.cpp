#include <gtest/gtest.h>
#include <jujubestand/limits/upstream_limit.hpp>

// What a process knows of an upstream's limit, from its own answers and from
// reports of other processes.
namespace jujubestand::limits
{

namespace
{

mono_time at(int ms)
{
    return mono_time{std::chrono::milliseconds{100'000 + ms}};
}

wall_time wall(int ms)
{
    return wall_time{std::chrono::milliseconds{1'700'000'000'000 + ms}};
}

statement names(double calls_per_second, int ms)
{
    return {calls_per_second, wall(ms)};
}

statement names_none(int ms)
{
    return {std::nullopt, wall(ms)};
}

} // namespace

TEST(upstream_limit, is_named_altered_and_ended_by_own_answers)
{
    std::optional<upstream_limit> known;
    EXPECT_EQ(on_own_statement(known, names_none(0), at(0)),
              limit_change::none);
    EXPECT_FALSE(known);
    EXPECT_EQ(on_own_statement(known, names(1.2, 10), at(10)),
              limit_change::named);
    EXPECT_EQ(on_own_statement(known, names(1.2, 20), at(20)),
              limit_change::none);
    EXPECT_EQ(on_own_statement(known, names(0.5, 30), at(30)),
              limit_change::altered);
    EXPECT_DOUBLE_EQ(rate_of(*known, at(40)), 0.5);
    EXPECT_TRUE(applies(known, at(60'000)));
    EXPECT_EQ(on_own_statement(known, names_none(50), at(50)),
              limit_change::ended);
    EXPECT_EQ(on_own_statement(known, names_none(60), at(60)),
              limit_change::none);
    EXPECT_EQ(on_own_statement(known, names(0.5, 70), at(70)),
              limit_change::named);
}

// A report that was delayed brought back a limit that had ended, or ended one
// that was named since.
TEST(upstream_limit, an_older_report_changes_nothing)
{
    std::optional<upstream_limit> known;
    on_own_statement(known, names(1.2, 100), at(100));
    EXPECT_EQ(on_reported_statement(known, names_none(90), wall(110), at(110)),
              limit_change::none);
    EXPECT_EQ(on_reported_statement(known, names_none(105), wall(110), at(110)),
              limit_change::ended);
    EXPECT_EQ(on_reported_statement(known, names(1.2, 100), wall(120), at(120)),
              limit_change::none);
    EXPECT_FALSE(applies(known, at(60'000)));
    EXPECT_EQ(
        on_reported_statement(known, names(1.2, 100), wall(60'000), at(60'000)),
        limit_change::none);
    EXPECT_FALSE(applies(known, at(60'000)));
}

// A process whose clock is ahead would have had the last word for that long.
TEST(upstream_limit, a_report_from_the_future_counts_as_of_now)
{
    std::optional<upstream_limit> known;
    on_reported_statement(known, names_none(0), wall(0), at(0));
    on_reported_statement(known, names(1.2, 50'000), wall(100), at(100));
    EXPECT_EQ(on_reported_statement(known, names(0.5, 200), wall(200), at(200)),
              limit_change::altered);
    EXPECT_EQ(on_own_statement(known, names(2, 210), at(210)),
              limit_change::altered);
}

// Two processes with clocks that differ told each other an older limit, which
// grew newer with each message than the one that was named since.
TEST(upstream_limit, a_converted_report_of_what_is_known_makes_it_no_newer)
{
    std::optional<upstream_limit> known;
    on_own_statement(known, names(10, 0), at(0));
    for (int ms = 10; ms < 500; ms += 10)
        EXPECT_EQ(on_reported_statement(known, {10.0, wall(ms), true}, wall(ms),
                                        at(ms)),
                  limit_change::none);
    EXPECT_EQ(on_reported_statement(known, names(5, 450), wall(500), at(500)),
              limit_change::altered);
    EXPECT_EQ(on_reported_statement(known, {std::nullopt, wall(600), true},
                                    wall(600), at(600)),
              limit_change::ended);
}

TEST(upstream_limit, rises_step_by_step_after_its_end)
{
    std::optional<upstream_limit> known;
    on_own_statement(known, names(1.2, 0), at(0));
    on_own_statement(known, names_none(0), at(1'000));
    EXPECT_LE(rate_of(*known, at(1'000)), 2);
    EXPECT_LE(rate_of(*known, at(2'000)), 8);
    EXPECT_GE(rate_of(*known, at(4'000)), 100);
    EXPECT_TRUE(applies(known, at(4'000)));
    EXPECT_FALSE(applies(known, at(5'000)));
}

// With no call at all, no answer could tell that the limit has ended.
TEST(upstream_limit, of_zero_lets_a_call_through_now_and_then)
{
    std::optional<upstream_limit> known;
    on_own_statement(known, names(0, 0), at(0));
    EXPECT_GT(rate_of(*known, at(0)), 0);
    EXPECT_LE(rate_of(*known, at(0)), 0.1);
}

} // namespace jujubestand::limits
