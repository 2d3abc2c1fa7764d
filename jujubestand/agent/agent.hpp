#ifndef JUJUBESTAND_AGENT_AGENT_HPP
#define JUJUBESTAND_AGENT_AGENT_HPP

#include <jujubestand/node/settings.hpp>
#include <jujubestand/process/daemon.hpp>

namespace jujubestand::agent
{

/// \brief Runs the agent of one model engine until SIGTERM: reports the
/// engine's state to gateways and sends weight load orders to the engine.
/// The agent is not on the path of calls.
[[nodiscard]] process::exit_code run(node::settings settings);

} // namespace jujubestand::agent

#endif
