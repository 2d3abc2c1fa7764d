#include <gtest/gtest.h>
#include <jujubestand/core/wall_clock.hpp>
#include <jujubestand/gateway/limit_records.hpp>

// Records of limits between processes whose wall clocks differ.
namespace jujubestand::gateway
{

namespace
{

constexpr std::int64_t day_ms = 1'700'000'000'000;

mono_time at(int ms)
{
    return mono_time{std::chrono::milliseconds{100'000 + ms}};
}

wall_time wall(int ms)
{
    return wall_time{std::chrono::milliseconds{day_ms + ms}};
}

/// \brief A record of a process that is ahead by `ahead_ms`, as it arrives.
limits::limit_record arrived(double calls_per_second, int stated_ms,
                             int sent_ms, int ahead_ms)
{
    constexpr int delay_ms = 4;
    limits::limit_record record;
    record.is_named = true;
    record.calls_per_second = calls_per_second;
    record.stated_at_ms = day_ms + stated_ms + ahead_ms;
    record.sent_at_ms = day_ms + sent_ms + ahead_ms;
    peer_clocks clocks;
    to_own_clock(record, clock_difference(clocks, "10.0.0.2", record.sent_at_ms,
                                          wall(sent_ms + delay_ms),
                                          at(sent_ms + delay_ms)));
    return record;
}

} // namespace

// What a process ahead had heard before counted as newer than what an upstream
// said after it, and the limit of before came back; what one behind had heard
// last was ignored.
TEST(limit_clocks, the_later_statement_holds_whatever_the_clocks)
{
    for (int const ahead_ms : {0, 400, 2'000, 5'000, -400, -2'000, -5'000})
    {
        SCOPED_TRACE(ahead_ms);
        std::optional<limits::upstream_limit> known;
        on_own_statement(known, {5.0, wall(1'000)}, at(1'000));
        // By the other's clock, as far as messages tell.
        int const early = ahead_ms == 400 || ahead_ms == -400 ? 500 : 20;
        on_reported_statement(
            known, statement_of(arrived(10, 1'000 - early, 1'100, ahead_ms)),
            wall(1'104), at(1'104));
        EXPECT_DOUBLE_EQ(known->calls_per_second, 5);
        on_reported_statement(
            known, statement_of(arrived(2, 1'000 + early, 1'600, ahead_ms)),
            wall(1'604), at(1'604));
        EXPECT_DOUBLE_EQ(known->calls_per_second, 2);
    }
}

TEST(limit_clocks, records_of_older_versions_are_taken_as_they_are)
{
    limits::limit_record record;
    record.stated_at_ms = day_ms;
    peer_clocks clocks;
    to_own_clock(record, clock_difference(clocks, "10.0.0.2", record.sent_at_ms,
                                          wall(3'000), at(3'000)));
    EXPECT_EQ(statement_of(record).stated_at, wall(0));
    EXPECT_FALSE(statement_of(record).is_converted);
}

} // namespace jujubestand::gateway
