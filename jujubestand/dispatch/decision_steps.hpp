#ifndef JUJUBESTAND_DISPATCH_DECISION_STEPS_HPP
#define JUJUBESTAND_DISPATCH_DECISION_STEPS_HPP

#include <jujubestand/dispatch/choice.hpp>
#include <jujubestand/dispatch/standing.hpp>
#include <jujubestand/dispatch/types.hpp>
#include <optional>

/// \brief Steps of the decision on a call, common to the queue disciplines.
namespace jujubestand::dispatch
{

/// Retry-after of calls that find no upstream.
inline constexpr std::chrono::milliseconds no_upstream_retry_after{500};

[[nodiscard]] decision refuse(call const& request, reason why,
                              std::chrono::milliseconds retry_after);

[[nodiscard]] decision hold(call const& request);

/// \brief Records a call as sent to the chosen upstream.
[[nodiscard]] decision send(state& dispatcher, call const& request,
                            choice const& chosen, mono_time now);

[[nodiscard]] reason no_time_left(call const& request);

/// \brief Refuses a call that can't be served any more.
[[nodiscard]] std::optional<decision>
refuse_hopeless(state const& dispatcher, call const& request, mono_time now);

/// \brief Order of `queue_discipline::by_target`: by priority, then by the time
/// of arrival plus target latency, so that calls with a long target latency do
/// not starve.
[[nodiscard]] bool precedes(call const& left, call const& right);

/// \brief Time to prefill the calls that wait ahead of this one, if this
/// gateway's share of the available engines prefills nothing else.
[[nodiscard]] double expected_wait_ms(state const& dispatcher,
                                      call const& request, mono_time now);

/// \brief The queue of a pool, as far as a call in it is concerned.
struct pool_queue
{
    /// How calls leave it; empty: not bound by limits.
    std::optional<limited_flow> flow;
    /// Calls that leave it before the call.
    std::size_t ahead = 0;
};

/// \brief Refuses a call of a pool whose upstreams all have limits if its turn
/// comes later than in this share of the time that it has left.
[[nodiscard]] std::optional<decision>
refuse_limited(state const& dispatcher, call const& request,
               pool_queue const& queue, double wait_share, mono_time now);

/// \brief Refuses a call of a pool whose upstreams have all asked for a pause
/// that ends too late for it.
[[nodiscard]] std::optional<decision>
refuse_paused(state const& dispatcher, call const& request, mono_time now);

} // namespace jujubestand::dispatch

#endif
