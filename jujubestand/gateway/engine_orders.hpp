#ifndef JUJUBESTAND_GATEWAY_ENGINE_ORDERS_HPP
#define JUJUBESTAND_GATEWAY_ENGINE_ORDERS_HPP

#include <cstdint>
#include <jujubestand/agent/rollout.hpp>
#include <jujubestand/core/address.hpp>
#include <jujubestand/dispatch/types.hpp>
#include <jujubestand/gateway/order_lease.hpp>
#include <jujubestand/gateway/unattended_engines.hpp>
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
