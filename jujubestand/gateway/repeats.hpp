#ifndef JUJUBESTAND_GATEWAY_REPEATS_HPP
#define JUJUBESTAND_GATEWAY_REPEATS_HPP

#include <jujubestand/gateway/state.hpp>

/// \brief Whether a call may be sent once more after a send that failed.
namespace jujubestand::gateway
{

/// \brief This gateway's share of the repeated sends that all may make.
[[nodiscard]] retries::retry_options
retry_options_of(gateway_state const& self);

/// \brief What is kept of it for answers that have begun.
[[nodiscard]] retries::retry_options
rescue_options_of(gateway_state const& self);

/// \brief Whether a call may run more than once.
[[nodiscard]] bool may_repeat(live_call const& call);

/// \brief What is known of a run, by how its send ended.
[[nodiscard]] verdict verdict_of(dispatch::send_outcome outcome);

/// \brief Counts an upstream that may have run the call.
void count_run(live_call& call);

/// \brief Whether the call may be sent once more; if so, that send counts.
/// \returns `none`, or why not
[[nodiscard]] reason_code why_not_again(gateway_state& self,
                                        live_call const& call,
                                        dispatch::send_outcome outcome,
                                        mono_time now);

/// \brief Keeps an answer that has begun until the budget allows one more
/// send: cut off, it would be lost.
void suspend(gateway_state& self, dispatch::call_key key,
             dispatch::send_outcome outcome);

/// \brief Sends suspended calls again as far as the budget allows, and ends
/// those whose time is over.
void review_suspended(gateway_state& self);

} // namespace jujubestand::gateway

#endif
