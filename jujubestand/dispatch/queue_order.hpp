#ifndef JUJUBESTAND_DISPATCH_QUEUE_ORDER_HPP
#define JUJUBESTAND_DISPATCH_QUEUE_ORDER_HPP

#include <chrono>
#include <cstdint>
#include <jujubestand/dispatch/queue_flow.hpp>
#include <optional>
#include <vector>

/// \brief Order of the calls that wait for a pool, and which of them are
/// refused. Addresses demand above the pool's capacity: every call that waits
/// can still be useful, and a burst costs the priority or team that caused it.
namespace jujubestand::dispatch
{

/// \brief What a plan of the queue is based on, beside the flow.
struct queue_terms
{
    mono_time now{};
    /// Call that is not in the queue yet.
    std::optional<std::uint64_t> newcomer;
    /// Its expected wait while no rate has been measured.
    double assumed_wait_ms = 0;
    /// Prefill speed of an upstream, for calls whose service time has not been
    /// measured; 0 if it does not prefill.
    double prefill_tokens_per_ms = 0;
    std::chrono::milliseconds service_time_min{60};
    std::chrono::milliseconds retry_after_min{50};
    std::chrono::milliseconds retry_after_max{10'000};
};

/// \brief Place of a call in the queue.
struct queue_place
{
    queue_entry entry;
    double wait_ms = 0;
    /// More urgent calls follow: the call uses the share of its priority.
    bool is_before_urgent = false;
    bool is_refused = false;
    /// For a refused call.
    std::chrono::milliseconds retry_after{0};
    /// For a refused call: whether its caller is expected to return.
    bool is_returning = false;
};

/// \brief Orders the calls of a pool as they are to be sent, and selects those
/// to refuse.
[[nodiscard]] std::vector<queue_place>
plan_queue(pool_flow const& flow, std::vector<queue_entry> const& entries,
           queue_terms const& terms);

} // namespace jujubestand::dispatch

#endif
