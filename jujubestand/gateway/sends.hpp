#ifndef JUJUBESTAND_GATEWAY_SENDS_HPP
#define JUJUBESTAND_GATEWAY_SENDS_HPP

#include <jujubestand/gateway/answers.hpp>
#include <jujubestand/gateway/state.hpp>

/// \brief Sends of a call to upstreams, and their answers.
namespace jujubestand::gateway
{

/// \brief A call by its key; null if it has ended.
[[nodiscard]] live_call* find_call(gateway_state& self, dispatch::call_key key);

/// \brief Carries out a decision on a call.
void apply(gateway_state& self, dispatch::decision const& made);

/// \brief Sends a call once more, from where its answer has got to.
void send_again(gateway_state& self, dispatch::call_key key);

/// \brief Ends a call with a failure of our own.
void fail_call(gateway_state& self, dispatch::call_key key,
               problem const& what);

/// \brief Forgets a call; its answer is given or nobody waits for it.
void end_call(gateway_state& self, dispatch::call_key key);

} // namespace jujubestand::gateway

#endif
