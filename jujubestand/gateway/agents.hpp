#ifndef JUJUBESTAND_GATEWAY_AGENTS_HPP
#define JUJUBESTAND_GATEWAY_AGENTS_HPP

#include <jujubestand/core/address.hpp>
#include <jujubestand/gateway/state.hpp>
#include <string_view>

/// \brief What agents beside the engines tell a gateway.
namespace jujubestand::gateway
{

/// \brief Asks all agents for their status.
void ask_agents(gateway_state& self);

/// \brief An agent's answer came.
void on_agent_answer(gateway_state& self, address const& from,
                     std::string_view bytes);

} // namespace jujubestand::gateway

#endif
