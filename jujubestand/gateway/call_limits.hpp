#ifndef JUJUBESTAND_GATEWAY_CALL_LIMITS_HPP
#define JUJUBESTAND_GATEWAY_CALL_LIMITS_HPP

#include <jujubestand/gateway/state.hpp>
#include <jujubestand/status/messages.hpp>
#include <jujubestand/traffic/stated_limit.hpp>
#include <string_view>

/// \brief Limits that upstreams state for all gateways together: what answers
/// state, its exchange between gateways, and the permits for calls.
namespace jujubestand::gateway
{

/// \brief Applies what an upstream states in an answer to this gateway.
void on_stated_limit(gateway_state& state, dispatch::upstream_key upstream,
                     traffic::stated_limit const& stated);

/// \brief Applies what an upstream stated in an answer to its agent.
void on_agent_limit(gateway_state& state, dispatch::upstream_key upstream,
                    status::limit_report const& report);

/// \brief Calls wait from the start for the first list of gateways, for a short
/// time.
void hold_calls(gateway_state& state);

/// \brief Queries a few other gateways for the limits that they know; for a
/// gateway that has just learnt of them. Calls wait for their answers.
void query_limits(gateway_state& state);

/// \brief Requests permits that calls could use.
/// \returns whether this gateway granted itself some
bool request_permits(gateway_state& state);

/// \brief Expires requests and sends limits to the other gateways.
void review_limits(gateway_state& state);

/// \brief Handles a notice, a request or an answer of another gateway.
void on_limit_datagram(gateway_state& state, address const& sender,
                       std::string_view bytes);

} // namespace jujubestand::gateway

#endif
