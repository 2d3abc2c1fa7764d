#ifndef JUJUBESTAND_DISPATCH_USEFUL_FIRST_HPP
#define JUJUBESTAND_DISPATCH_USEFUL_FIRST_HPP

#include <jujubestand/dispatch/types.hpp>
#include <vector>

/// \brief Decisions under `queue_discipline::useful_first`.
namespace jujubestand::dispatch
{

/// \brief Tokens that a call stands for in the queue: those of its prompt plus
/// the limit of its output; 1 for a call to a plain service.
[[nodiscard]] double tokens_of(call const& request);

/// \brief Decides on a new call: sends it only if no waiting call is before it.
[[nodiscard]] decision submit_useful_first(state& dispatcher,
                                           call const& request, mono_time now);

/// \brief Decides again on the waiting calls.
/// \returns decisions on the calls that stop waiting
[[nodiscard]] std::vector<decision> decide_useful_first(state& dispatcher,
                                                        mono_time now);

/// \brief Records that the first output of a send has arrived, or that it ended
/// without output. Changes nothing under another discipline.
void record_first_output(state& dispatcher, open_send const& send,
                         bool has_output, mono_time at);

} // namespace jujubestand::dispatch

#endif
