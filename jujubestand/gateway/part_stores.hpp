#ifndef JUJUBESTAND_GATEWAY_PART_STORES_HPP
#define JUJUBESTAND_GATEWAY_PART_STORES_HPP

#include <jujubestand/gateway/state.hpp>

/// \brief Stores of cached parts of prompts, and what they hold.
namespace jujubestand::gateway
{

/// \brief Reads the events of every store; for gateways that read for all.
void watch_stores(gateway_state& self, mono_time now);

} // namespace jujubestand::gateway

#endif
