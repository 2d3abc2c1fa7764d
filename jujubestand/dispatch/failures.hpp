#ifndef JUJUBESTAND_DISPATCH_FAILURES_HPP
#define JUJUBESTAND_DISPATCH_FAILURES_HPP

#include <jujubestand/dispatch/types.hpp>

/// \brief Failures of upstreams, and how long they are avoided for them.
namespace jujubestand::dispatch
{

/// \brief Records how a call ended that was sent to an upstream.
void record_outcome(state const& dispatcher, upstream& target,
                    send_outcome outcome, mono_time sent_at, mono_time now);

/// \brief Decayed count of an upstream's recent failures.
[[nodiscard]] double recent_failures(state const& dispatcher,
                                     upstream const& target, mono_time now);

} // namespace jujubestand::dispatch

#endif
