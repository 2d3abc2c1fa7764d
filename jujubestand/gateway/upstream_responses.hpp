#ifndef JUJUBESTAND_GATEWAY_UPSTREAM_RESPONSES_HPP
#define JUJUBESTAND_GATEWAY_UPSTREAM_RESPONSES_HPP

#include <jujubestand/gateway/state.hpp>
#include <string>

/// \brief Responses of upstreams: what is forwarded, and when a call is retried
/// or ends.
namespace jujubestand::gateway
{

/// \brief Retries, suspends or fails a call whose attempt has ended without a
/// response that can be forwarded.
void end_failed_attempt(gateway_state& state, dispatch::call_key key,
                        dispatch::send_outcome outcome, reason const& why);

/// \brief Callbacks of one attempt of a call.
[[nodiscard]] http1::call_events events_of(gateway_state& state,
                                           dispatch::call_key key,
                                           std::string const& request_id);

} // namespace jujubestand::gateway

#endif
