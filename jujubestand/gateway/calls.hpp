#ifndef JUJUBESTAND_GATEWAY_CALLS_HPP
#define JUJUBESTAND_GATEWAY_CALLS_HPP

#include <jujubestand/gateway/state.hpp>

/// \brief Calls of callers, from their arrival to their answer.
namespace jujubestand::gateway
{

/// \brief A caller's request was read whole.
void on_request(gateway_state& self, http1::exchange_id exchange,
                http1::server_request request);

/// \brief A caller left before it had its whole answer.
void on_caller_gone(gateway_state& self, http1::exchange_id exchange);

/// \brief Has the waiting calls reviewed shortly; not at once.
void plan_review(gateway_state& self);

/// \brief Decides anew on the calls that wait.
void review_waiting(gateway_state& self);

} // namespace jujubestand::gateway

#endif
