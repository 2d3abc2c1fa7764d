#ifndef JUJUBESTAND_DISPATCH_DISPATCH_HPP
#define JUJUBESTAND_DISPATCH_DISPATCH_HPP

#include <jujubestand/dispatch/types.hpp>
#include <vector>

namespace jujubestand::dispatch
{

/// \brief Decides on a new call, or on one that an upstream did not run:
/// sends it, queues it, or refuses it with a time after which the caller should
/// retry.
[[nodiscard]] decision submit(state& dispatcher, call const& request,
                              mono_time now);

/// \brief Decides again on the waiting calls, most urgent first; to be called
/// after each change of the state and periodically.
/// \returns decisions on the calls that stop waiting
[[nodiscard]] std::vector<decision> decide_waiting(state& dispatcher,
                                                   mono_time now);

/// \brief Sets how waiting calls are ordered and refused from now on; what was
/// measured under the discipline before is dropped.
void set_queue_discipline(state& dispatcher, queue_discipline discipline);

/// \brief Whether a call that runs at an upstream could be sent to another one
/// immediately.
[[nodiscard]] bool has_alternative(state const& dispatcher, call const& request,
                                   upstream_key excluded, mono_time now);

/// \brief Sets the owner of the cached parts of a call, if it waits.
void set_cache_owner(state& dispatcher, call_key call,
                     std::string const& owner);

/// \brief Removes a waiting call whose caller has disconnected.
void remove_waiting(state& dispatcher, call_key call);

} // namespace jujubestand::dispatch

#endif
