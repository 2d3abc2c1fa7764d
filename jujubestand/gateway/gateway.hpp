#ifndef JUJUBESTAND_GATEWAY_GATEWAY_HPP
#define JUJUBESTAND_GATEWAY_GATEWAY_HPP

#include <jujubestand/node/settings.hpp>
#include <jujubestand/process/daemon.hpp>

namespace jujubestand::gateway
{

/// \brief Runs a gateway until SIGTERM: it takes calls of callers and sends
/// them straight to upstreams.
[[nodiscard]] process::exit_code run(node::settings settings);

} // namespace jujubestand::gateway

#endif
