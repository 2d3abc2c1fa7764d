#ifndef JUJUBESTAND_GATEWAY_GATEWAY_HPP
#define JUJUBESTAND_GATEWAY_GATEWAY_HPP

#include <jujubestand/node/settings.hpp>
#include <jujubestand/process/daemon.hpp>

namespace jujubestand::gateway
{

/// \brief Runs a gateway until SIGTERM. The gateway accepts caller requests and
/// sends them directly to upstreams.
[[nodiscard]] process::exit_code run(node::settings settings);

} // namespace jujubestand::gateway

#endif
