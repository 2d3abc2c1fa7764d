#ifndef JUJUBESTAND_GATEWAY_MIGRATION_HPP
#define JUJUBESTAND_GATEWAY_MIGRATION_HPP

#include <jujubestand/gateway/state.hpp>

/// \brief Migration of streams to another engine.
namespace jujubestand::gateway
{

/// \brief Migrates resumable streams away from an engine that is about to load
/// weights, since the load waits for every call running on the engine.
void migrate_streams(gateway_state& state, dispatch::upstream_key source);

} // namespace jujubestand::gateway

#endif
