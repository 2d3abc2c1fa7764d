#ifndef JUJUBESTAND_AGENT_ORIGINS_HPP
#define JUJUBESTAND_AGENT_ORIGINS_HPP

#include <jujubestand/agent/state.hpp>
#include <string_view>

/// \brief Software versions that streams began at, kept for gateways: they may
/// all be killed at once.
namespace jujubestand::agent
{

/// \brief Handles a gateway's notice or query of the origin of a stream;
/// ignores other datagrams.
void on_origin_datagram(agent_state& state, address const& sender,
                        std::string_view bytes);

} // namespace jujubestand::agent

#endif
