#ifndef JUJUBESTAND_AGENT_PAUSES_HPP
#define JUJUBESTAND_AGENT_PAUSES_HPP

#include <jujubestand/agent/state.hpp>
#include <jujubestand/http1/client.hpp>

/// \brief Pauses that the engine asks for when it refuses a request of its
/// agent. They concern requests of all kinds.
namespace jujubestand::agent
{

/// \brief Keeps the pause that the head of an answer asks for, if it does.
void on_stated_pause(agent_state& state, http1::message_head const& head);

/// \brief Ends the pause if a process of the engine has started that gateways
/// didn't name before. Their views differ for a moment, so only the latest
/// counts.
void end_pause_of_process_before(agent_state& state, std::uint64_t incarnation);

} // namespace jujubestand::agent

#endif
