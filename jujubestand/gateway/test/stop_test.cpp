#include <gtest/gtest.h>
#include <jujubestand/gateway/stop.hpp>

// Which calls a gateway still accepts while it stops.
namespace jujubestand::gateway
{

namespace
{

constexpr std::chrono::milliseconds grace{8'000};
constexpr bool prompt = true;
constexpr bool plain = false;

mono_time at(int ms)
{
    return mono_time{std::chrono::milliseconds{100'000 + ms}};
}

stop_schedule const stop{at(0), grace};

} // namespace

// The balancer sends callers here for some seconds more.
TEST(stop_schedule, all_calls_are_accepted_at_first)
{
    EXPECT_TRUE(is_accepted(stop, at(0), at(60'000), prompt));
    EXPECT_TRUE(is_accepted(stop, at(2'400), at(60'000), plain));
}

// A call that a service worked on for long was accepted late, passed on, and
// cut at the end of the grace period without an answer (LOST).
TEST(stop_schedule, a_late_call_is_accepted_only_if_it_ends_before_the_stop)
{
    auto const last = last_answer_time(stop);
    EXPECT_LT(last, at(0) + grace);
    for (int arrival_ms = 2'500; arrival_ms < 8'000; arrival_ms += 100)
    {
        EXPECT_TRUE(is_accepted(stop, at(arrival_ms), last, plain));
        EXPECT_FALSE(
            is_accepted(stop, at(arrival_ms), last + microseconds{1}, plain));
        EXPECT_FALSE(is_accepted(stop, at(arrival_ms), last, prompt));
    }
}

} // namespace jujubestand::gateway
