#include <gtest/gtest.h>
#include <jujubestand/core/wall_clock.hpp>

// Ages and turns that several processes derive from their wall clocks.
namespace jujubestand
{

namespace
{

using namespace std::chrono_literals;

constexpr microseconds day{1'700'000'000'000'000};

mono_time at(microseconds since)
{
    return mono_time{1h + since};
}

/// Shows a clock that is read each 5 ms, with the steps of the machine's one.
class stepping_clock
{
public:
    /// \brief Reads it until a time. \returns what it shows then
    std::chrono::milliseconds read_until(microseconds end)
    {
        for (; this->now < end; this->now += 5ms)
        {
            auto const shown = this->read();
            EXPECT_GE(shown, this->last);
            this->last = shown;
        }
        this->last = this->read();
        return this->last.time_since_epoch() -
               std::chrono::duration_cast<std::chrono::milliseconds>(day);
    }

    /// Of the machine's clock.
    microseconds step{0};

private:
    wall_time read()
    {
        return advance(this->clock, day + this->now + this->step,
                       at(this->now));
    }

    stepless_clock clock;
    microseconds now{0};
    wall_time last{};
};

} // namespace

// An age that was taken over a step was wrong by all of it.
TEST(wall_clock, a_step_that_is_taken_back_changes_next_to_nothing)
{
    for (auto const step : {5s, 2s, -2s, -5s})
    {
        stepping_clock clock;
        EXPECT_EQ(clock.read_until(1s), 1s);
        clock.step = step;
        auto const during = clock.read_until(6s);
        EXPECT_LE(std::chrono::abs(during - 6s), 101ms) << step.count();
        clock.step = 0s;
        EXPECT_EQ(clock.read_until(20s), 20s) << step.count();
    }
}

TEST(wall_clock, a_step_that_stays_is_followed)
{
    for (auto const step : {5s, -5s})
    {
        stepping_clock clock;
        clock.read_until(1s);
        clock.step = step;
        EXPECT_EQ(clock.read_until(5min), 5min + step);
    }
}

// A machine without a clock of its own starts in 1970.
TEST(wall_clock, the_first_setting_of_a_clock_is_followed_at_once)
{
    stepless_clock clock;
    EXPECT_EQ(advance(clock, 0s, at(0s)), wall_time{});
    EXPECT_EQ(advance(clock, day, at(5ms)).time_since_epoch(), day);
}

TEST(wall_clock, differences_to_peers_are_measured_and_small_ones_ignored)
{
    peer_clocks clocks;
    wall_time const wall{
        std::chrono::duration_cast<std::chrono::milliseconds>(day)};
    auto const sent = [&](std::chrono::milliseconds before)
    {
        return (wall - before).time_since_epoch().count();
    };
    auto const difference = [&](char const* host,
                                std::chrono::milliseconds before,
                                microseconds now)
    {
        return clock_difference(clocks, host, sent(before), wall, at(now));
    };
    EXPECT_EQ(difference("near", 3ms, 0s), 0ms);
    EXPECT_EQ(difference("ahead", -4'990ms, 0s), -4'990ms);
    EXPECT_EQ(difference("behind", 5'010ms, 0s), 5'010ms);
    EXPECT_EQ(clock_difference(clocks, "old", 0, wall, at(0s)), 0ms);
    // Of a message that waited while this process stood still.
    EXPECT_EQ(difference("near", 3'000ms, 5s), 0ms);
    EXPECT_EQ(difference("ahead", -1'990ms, 5s), -4'990ms);
    // The other process started again after its clock was set.
    EXPECT_EQ(difference("near", 2'000ms, 40s), 2'000ms);
}

} // namespace jujubestand
