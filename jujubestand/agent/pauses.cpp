#include <jujubestand/agent/pauses.hpp>

#include <algorithm>
#include <platform/calls.hpp>
#include <utility>

namespace jujubestand::agent
{

void on_stated_pause(agent_state& state, http1::message_head const& head)
{
    auto const pause = platform::read_answer(head).pause.duration;
    if (!pause || pause->count() == 0)
        return;
    auto const now = mono_now();
    auto& until = state.weights.paused_until;
    if (until <= now)
        state.log->write(
            event_number::upstream_paused, {},
            {{"upstream", state.upstream}, {"pause_ms", pause->count()}});
    until = std::max(until, now + *pause);
}

void end_pause_of_process_before(agent_state& state, std::uint64_t incarnation)
{
    if (incarnation <= state.latest_incarnation)
        return;
    bool const has_known_another =
        std::exchange(state.latest_incarnation, incarnation) != 0;
    if (has_known_another)
        state.weights.paused_until = mono_time{};
}

} // namespace jujubestand::agent
