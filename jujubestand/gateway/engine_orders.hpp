#ifndef JUJUBESTAND_GATEWAY_ENGINE_ORDERS_HPP
#define JUJUBESTAND_GATEWAY_ENGINE_ORDERS_HPP

#include <cstdint>
#include <jujubestand/agent/rollout.hpp>
#include <jujubestand/core/address.hpp>
#include <jujubestand/dispatch/types.hpp>
#include <jujubestand/gateway/order_lease.hpp>
#include <jujubestand/gateway/query_pacing.hpp>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \brief Loads of weights on engines whose agents don't answer, or that have
/// none: one gateway at a time orders them, under a lease.
namespace jujubestand::gateway
{

struct gateway_state;

/// \brief An engine whose agent doesn't answer.
struct unattended_engine
{
    dispatch::upstream_key key = 0;
    /// Number of the engine among those of its pool, and their count.
    std::size_t pool_index = 0;
    std::size_t pool_size = 1;
    /// It lacks weights that the operator requested.
    bool lacks_weights = false;
};

/// \brief The engines whose agents have not answered for `silence`, by all
/// queries of that time.
[[nodiscard]] std::vector<unattended_engine>
find_unattended(dispatch::state const& dispatcher, query_map const& queries,
                std::chrono::milliseconds silence, mono_time now);

/// \brief When a gateway tries to take the lease.
struct lease_claim
{
    /// Delay of this gateway, so that not all of them try at once.
    std::chrono::milliseconds delay{0};
    /// Since when there are engines without agents.
    std::optional<mono_time> unattended_since;
    /// Since when some of these lack weights and none has loaded any.
    std::optional<mono_time> stalled_since;
    std::size_t lacking = 0;
};

/// \brief Records the engines without agents that there are now.
void update_claim(lease_claim& claim,
                  std::vector<unattended_engine> const& engines, mono_time now);

/// \brief Whether this gateway wants to take the lease, or to keep it.
[[nodiscard]] bool wants_lease(lease_claim const& claim,
                               order_lease const& lease, mono_time now);

/// \brief An engine that this gateway orders.
struct ordered_engine
{
    agent::rollout weights;
    bool is_report_in_flight = false;
    mono_time report_due_at{};
    /// Other gateways were told to send it no calls.
    bool is_announced = false;
};

/// \brief What this gateway does about engines without agents.
struct engine_orders
{
    order_lease lease;
    lease_claim claim;
    mono_time lease_taken_at{};
    /// Fencing token of this gateway's orders.
    std::optional<std::uint64_t> fence;
    bool is_fence_requested = false;
    std::map<dispatch::upstream_key, ordered_engine> engines;
};

/// \brief Handles a notice of the gateway that orders the loads.
void on_engine_notice(gateway_state& state, address const& sender,
                      std::string_view bytes);

/// \brief Takes or keeps the lease if there are engines without agents, and
/// orders the loads that are due; runs at each tick.
void review_engine_orders(gateway_state& state);

} // namespace jujubestand::gateway

#endif
