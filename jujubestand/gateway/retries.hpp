#ifndef JUJUBESTAND_GATEWAY_RETRIES_HPP
#define JUJUBESTAND_GATEWAY_RETRIES_HPP

#include <jujubestand/gateway/state.hpp>

/// \brief Retries of failed attempts and their budget.
namespace jujubestand::gateway
{

/// \brief This gateway's share of the retry budget of all gateways for a pool.
/// A part of it is kept back for responses that have started.
[[nodiscard]] retries::retry_options
retry_options_of(gateway_state const& state, std::string const& pool,
                 mono_time now);

/// \brief Maximum of the retry budget of a pool, with what granted retries that
/// wait for an upstream take up.
[[nodiscard]] double retry_budget_limit(gateway_state const& state,
                                        std::string const& pool, mono_time now);

/// \brief Counts the gateways that share the reserve: all that were listed
/// within the last window.
void update_retry_sharers(gateway_state& state, mono_time now);

/// \brief The same where it is due, so that gateways that have left count no
/// longer; runs at each tick.
void review_retry_sharers(gateway_state& state, mono_time now);

/// \brief Counts a new call, which adds to the retry budget of its pool.
void record_call(gateway_state& state, std::string const& pool, mono_time now);

/// \brief Whether a call may be executed more than once.
[[nodiscard]] bool is_retryable(active_call const& call);

/// \brief Whether a call ran, as far as the outcome of its attempt shows.
[[nodiscard]] verdict verdict_of(dispatch::send_outcome outcome);

/// \brief When a call needs output: the caller of a stream that has not begun
/// may leave before the call's deadline.
[[nodiscard]] mono_time output_deadline(active_call const& call);

/// \brief Records that the latest attempt may have arrived at its upstream.
void record_arrival(active_call& call);

/// \brief Counts an attempt that may have executed the call and excludes its
/// upstream from further attempts, unless it has answered with a refusal.
void count_possible_run(active_call& call, dispatch::send_outcome outcome);

/// \brief Whether the call may be retried; if so, charges the retry budget.
/// \returns `none`, or the reason against a retry
[[nodiscard]] reason_code acquire_retry(gateway_state& state, active_call& call,
                                        dispatch::send_outcome outcome,
                                        mono_time now);

/// \brief Holds a call whose response has started until the budget allows a
/// retry; aborting it would lose the response.
void suspend_call(gateway_state& state, dispatch::call_key key,
                  dispatch::send_outcome outcome);

/// \brief Retries suspended calls as far as the budget allows and fails those
/// that may no longer be retried.
void review_suspended_calls(gateway_state& state);

} // namespace jujubestand::gateway

#endif
