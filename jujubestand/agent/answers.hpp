#ifndef JUJUBESTAND_AGENT_ANSWERS_HPP
#define JUJUBESTAND_AGENT_ANSWERS_HPP

#include <jujubestand/agent/state.hpp>
#include <string_view>

/// \brief What the agent tells gateways.
namespace jujubestand::agent
{

/// \brief Tells gateways at once if the engine can be used from now on, or
/// not any more.
void tell_gateways(agent_state& self);

/// \brief A gateway asks for the status.
void on_question(agent_state& self, address const& from,
                 std::string_view bytes);

} // namespace jujubestand::agent

#endif
