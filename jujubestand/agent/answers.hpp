#ifndef JUJUBESTAND_AGENT_ANSWERS_HPP
#define JUJUBESTAND_AGENT_ANSWERS_HPP

#include <jujubestand/agent/state.hpp>
#include <string_view>

/// \brief Status messages from the agent to gateways.
namespace jujubestand::agent
{

/// \brief Pushes a status message to all known gateways if the engine became
/// usable or unusable, or stated another limit, since the last call.
void notify_gateways(agent_state& state);

/// \brief Handles a status request from a gateway, or the answer to a request
/// of this agent.
void on_status_request(agent_state& state, address const& sender,
                       std::string_view bytes);

} // namespace jujubestand::agent

#endif
