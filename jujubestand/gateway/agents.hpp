#ifndef JUJUBESTAND_GATEWAY_AGENTS_HPP
#define JUJUBESTAND_GATEWAY_AGENTS_HPP

#include <jujubestand/core/address.hpp>
#include <jujubestand/gateway/state.hpp>
#include <string_view>

/// \brief Status queries to the agents that run beside the engines.
namespace jujubestand::gateway
{

/// \brief Sends a status query to every agent that has none outstanding.
void query_agents(gateway_state& state);

/// \brief IP addresses of the gateways that an agent has reported recently.
[[nodiscard]] std::vector<std::string>
known_gateways(gateway_state const& state, mono_time now);

/// \brief Handles a status datagram from an agent.
void on_agent_datagram(gateway_state& state, address const& sender,
                       std::string_view bytes);

} // namespace jujubestand::gateway

#endif
