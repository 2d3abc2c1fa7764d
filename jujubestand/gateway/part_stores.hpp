#ifndef JUJUBESTAND_GATEWAY_PART_STORES_HPP
#define JUJUBESTAND_GATEWAY_PART_STORES_HPP

#include <jujubestand/gateway/state.hpp>

/// \brief Tracking of the contents of the stores of cached prompt parts.
namespace jujubestand::gateway
{

/// \brief Polls the events of every store. Called only on the gateways that
/// read the store, which share the contents with the others.
void poll_part_stores(gateway_state& state, mono_time now);

} // namespace jujubestand::gateway

#endif
