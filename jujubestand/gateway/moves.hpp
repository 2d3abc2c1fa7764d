#ifndef JUJUBESTAND_GATEWAY_MOVES_HPP
#define JUJUBESTAND_GATEWAY_MOVES_HPP

#include <jujubestand/gateway/state.hpp>

/// \brief Streams that go on at another engine.
namespace jujubestand::gateway
{

/// \brief An engine is about to load weights: streams that may go on
/// elsewhere do so, since the load waits for every call that runs there.
void move_streams(gateway_state& self, dispatch::upstream_key from);

} // namespace jujubestand::gateway

#endif
