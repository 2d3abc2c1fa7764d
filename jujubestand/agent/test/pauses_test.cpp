#include <gtest/gtest.h>
#include <jujubestand/agent/pauses.hpp>

// Pauses that an engine asks its agent for.
namespace jujubestand::agent
{

// An engine that had started again would get no order until the end of a pause
// that the process before had asked for; gateways name both for a moment.
TEST(agent_pauses, only_a_later_process_of_the_engine_ends_a_pause)
{
    constexpr std::uint64_t first = 1'000;
    constexpr std::uint64_t next = 2'000;
    auto const end = mono_now() + std::chrono::seconds{3};
    agent_state state;
    state.weights.paused_until = end;
    end_pause_of_process_before(state, first);
    EXPECT_EQ(state.weights.paused_until, end);
    end_pause_of_process_before(state, next);
    EXPECT_EQ(state.weights.paused_until, mono_time{});
    state.weights.paused_until = end;
    end_pause_of_process_before(state, first);
    end_pause_of_process_before(state, next);
    EXPECT_EQ(state.weights.paused_until, end);
}

} // namespace jujubestand::agent
