#ifndef JUJUBESTAND_GATEWAY_CALLS_HPP
#define JUJUBESTAND_GATEWAY_CALLS_HPP

#include <jujubestand/gateway/state.hpp>

/// \brief Handling of caller requests from arrival to response.
namespace jujubestand::gateway
{

/// \brief The call as dispatch sees it.
[[nodiscard]] dispatch::call make_dispatch_call(gateway_state const& state,
                                                active_call const& call,
                                                dispatch::call_key key,
                                                std::string_view pool);

/// \brief Handles a completely received caller request.
void on_request(gateway_state& state, http1::exchange_id exchange,
                http1::server_request request);

/// \brief Refuses a request whose body there is no memory for.
void on_no_room(gateway_state& state, http1::exchange_id exchange,
                http1::message_head const& head);

/// \brief Handles a caller that disconnected before its response was
/// complete.
void on_caller_disconnected(gateway_state& state, http1::exchange_id exchange);

/// \brief Starts a call that has been accepted: submits it, or first finds
/// where the stream began that it resumes.
void begin_call(gateway_state& state, dispatch::call_key key);

/// \brief Makes the timer of `schedule_review`.
void make_review_timer(gateway_state& state);

/// \brief Schedules a review of the waiting calls unless one is already
/// scheduled.
void schedule_review(gateway_state& state);

/// \brief Logs the calls whose callers left after the calls had been sent.
void report_wasted_work(gateway_state& state);

/// \brief Re-evaluates the dispatch decision of all waiting calls.
void review_waiting(gateway_state& state);

} // namespace jujubestand::gateway

#endif
