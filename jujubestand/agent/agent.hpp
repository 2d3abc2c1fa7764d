#ifndef JUJUBESTAND_AGENT_AGENT_HPP
#define JUJUBESTAND_AGENT_AGENT_HPP

#include <jujubestand/node/settings.hpp>
#include <jujubestand/process/daemon.hpp>

namespace jujubestand::agent
{

/// \brief Runs an agent beside a model engine until SIGTERM: it tells
/// gateways how the engine is, and gives the engine its orders. No call goes
/// through it.
[[nodiscard]] process::exit_code run(node::settings settings);

} // namespace jujubestand::agent

#endif
