#ifndef JUJUBESTAND_GATEWAY_SENDS_HPP
#define JUJUBESTAND_GATEWAY_SENDS_HPP

#include <jujubestand/gateway/answers.hpp>
#include <jujubestand/gateway/state.hpp>

/// \brief Attempts of a call at upstreams and their responses.
namespace jujubestand::gateway
{

/// \brief Finds a call by key; null if it has ended.
[[nodiscard]] active_call* find_call(gateway_state& state,
                                     dispatch::call_key key);

/// \brief Terms of a send by a dispatch decision. Calls that may run at an
/// engine have the cache scope of their team, whatever their prompts are.
[[nodiscard]] traffic::send_terms
send_terms_of(gateway_state& state, active_call const& call,
              dispatch::decision const& dispatch_decision, mono_time now);

/// \brief Executes a dispatch decision: sends, holds or fails the call.
void apply_decision(gateway_state& state,
                    dispatch::decision const& dispatch_decision);

/// \brief Submits a call for its first attempt.
void submit_call(gateway_state& state, dispatch::call_key key);

/// \brief Submits a call for another attempt; a stream resumes after the last
/// forwarded event.
void retry_call(gateway_state& state, dispatch::call_key key);

/// \brief Ends a call with a failure reported by the gateway; a response that
/// has started is aborted.
void fail_call(gateway_state& state, dispatch::call_key key,
               problem const& error);

/// \brief Removes a call whose response is complete or whose caller has
/// disconnected.
void end_call(gateway_state& state, dispatch::call_key key);

} // namespace jujubestand::gateway

#endif
