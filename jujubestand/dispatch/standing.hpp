#ifndef JUJUBESTAND_DISPATCH_STANDING_HPP
#define JUJUBESTAND_DISPATCH_STANDING_HPP

#include <jujubestand/dispatch/types.hpp>
#include <optional>
#include <string>
#include <vector>

/// \brief Availability of upstreams and of their weights.
namespace jujubestand::dispatch
{

/// \brief Whether an engine's report is recent enough to be used.
[[nodiscard]] bool has_fresh_report(state const& dispatcher,
                                    upstream const& target, mono_time now);

/// \brief Whether an engine stands still: neither its agent nor its answers
/// have shown any sign of it for `silence_limit`, though calls are open at it,
/// while this gateway hears of half of its pool's engines at least.
[[nodiscard]] bool stands_still(state const& dispatcher, upstream const& target,
                                mono_time now);

/// \brief Whether an upstream accepts calls, regardless of free capacity; one
/// with a limit accepts them only while this gateway has a permit.
[[nodiscard]] bool is_available(state const& dispatcher, upstream const& target,
                                mono_time now);

/// \brief Whether an upstream runs the software version that a call needs: a
/// stream that has begun continues only at the version that began it.
[[nodiscard]] bool has_software(upstream const& target, call const& request);

/// \brief Whether a call may have run at an upstream already.
[[nodiscard]] bool was_tried(call const& request, upstream_key key);

/// \brief What a send to an upstream goes to.
[[nodiscard]] endpoint endpoint_of(upstream const& target);

/// \brief Whether a call may have arrived at an endpoint before: at its
/// address, or at the upstream of that id at another one.
[[nodiscard]] bool has_reached(call const& request, endpoint const& target);

/// \brief Whether a pool has an upstream that could serve a call now or later,
/// regardless of free capacity.
[[nodiscard]] bool has_candidate(state const& dispatcher, call const& request);

/// \brief Number of upstreams of a pool that accept calls, regardless of free
/// capacity.
[[nodiscard]] std::size_t available_count(state const& dispatcher,
                                          std::string const& pool,
                                          mono_time now);

/// \brief What this gateway can expect to send to a pool.
struct limited_flow
{
    double calls_per_second = 0;
    /// Time until the first call.
    microseconds first_in = microseconds::max();
};

/// \brief The flow of calls to a pool whose upstreams all have limits; empty if
/// one has none, or if there is no upstream.
[[nodiscard]] std::optional<limited_flow>
find_flow(state const& dispatcher, std::string const& pool, mono_time now);

/// \brief When the first upstream of a pool takes calls again that have all
/// asked for a pause; empty if one has not, or if there is no upstream.
[[nodiscard]] std::optional<mono_time>
pool_paused_until(state const& dispatcher, std::string const& pool,
                  mono_time now);

/// \brief Whether a call may begin on an engine's weights, and at what cost.
struct weights_status
{
    bool is_allowed = false;
    /// The operator has requested newer weights.
    bool is_old = false;
    std::uint64_t version = 0;
    /// Version that the operator has requested; 0: none is known.
    std::uint64_t wanted_version = 0;
    /// Time since newer weights than the engine's were requested.
    microseconds lag{0};
    double cost_ms = 0;
};

/// \brief Compares an engine's weights with the wanted version.
[[nodiscard]] weights_status check_weights(state const& dispatcher,
                                           upstream const& target,
                                           std::string const& model,
                                           mono_time now);

/// \brief Calls that were sent to engines on older weights and have not begun
/// within `weights_begin_limit`. They must not begin there any more.
[[nodiscard]] std::vector<call_key> overdue_calls(state const& dispatcher,
                                                  mono_time now);

/// \brief Calls at engines that stand still.
[[nodiscard]] std::vector<call_key> stranded_calls(state const& dispatcher,
                                                   mono_time now);

} // namespace jujubestand::dispatch

#endif
