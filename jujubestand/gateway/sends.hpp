#ifndef JUJUBESTAND_GATEWAY_SENDS_HPP
#define JUJUBESTAND_GATEWAY_SENDS_HPP

#include <jujubestand/gateway/answers.hpp>
#include <jujubestand/gateway/state.hpp>

/// \brief Sends of a call to upstreams, and their answers.
namespace jujubestand::gateway
{

/// \brief This gateway's share of the repeated sends that all may make.
[[nodiscard]] retries::retry_options
retry_options_of(gateway_state const& self);

/// \brief What is kept of it for answers that have begun.
[[nodiscard]] retries::retry_options
rescue_options_of(gateway_state const& self);

/// \brief Carries out a decision on a call.
void apply(gateway_state& self, dispatch::decision const& made);

/// \brief An engine is about to load weights: streams that may go on
/// elsewhere do so, since the load waits for every call that runs there.
void move_streams(gateway_state& self, dispatch::upstream_key from);

/// \brief Ends a call with a failure of our own.
void fail_call(gateway_state& self, dispatch::call_key key,
               problem const& what);

/// \brief Forgets a call; its answer is given or nobody waits for it.
void end_call(gateway_state& self, dispatch::call_key key);

} // namespace jujubestand::gateway

#endif
