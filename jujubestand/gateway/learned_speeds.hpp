#ifndef JUJUBESTAND_GATEWAY_LEARNED_SPEEDS_HPP
#define JUJUBESTAND_GATEWAY_LEARNED_SPEEDS_HPP

#include <jujubestand/gateway/state.hpp>

namespace jujubestand::gateway
{

/// \brief Sets the speeds of upstreams that decisions use, and logs the pools
/// that switch to learned ones or back.
void review_learned_speeds(gateway_state& state);

} // namespace jujubestand::gateway

#endif
