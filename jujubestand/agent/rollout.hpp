#ifndef JUJUBESTAND_AGENT_ROLLOUT_HPP
#define JUJUBESTAND_AGENT_ROLLOUT_HPP

#include <array>
#include <chrono>
#include <cstdint>
#include <jujubestand/core/enum_table.hpp>
#include <jujubestand/core/time.hpp>
#include <jujubestand/status/engine_report.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jujubestand::agent
{

/// \brief Limits and timings of a weight rollout.
struct rollout_options
{
    /// One engine in this many of a pool may load at the same time.
    std::size_t engines_per_load = 5;
    /// Lower bound of the engines that may load at the same time.
    std::size_t concurrent_loads_min = 2;
    /// Interval between the load starts of consecutive groups of engines.
    std::chrono::milliseconds group_interval{420};
    /// Gateways stop sending calls this long before the order is sent.
    std::chrono::milliseconds notice_period{120};
    /// A call that runs for longer than this is a long call: a load waits for
    /// its end, and gateways keep sending calls in the meantime.
    std::chrono::milliseconds long_call_min{600};
    /// The last group of engines stops waiting for long calls this long after
    /// the operator requested the version.
    std::chrono::milliseconds long_call_wait_limit{2'600};
    /// The engine rejects calls that are queued or in prefill when an order
    /// arrives; the order is delayed for them by at most this long.
    std::chrono::milliseconds queue_wait_limit{450};
    /// An order without a visible effect is sent again after this time.
    std::chrono::milliseconds order_retry_interval{700};
    /// No order is sent for this long after another holder's fencing token was
    /// found at the engine: that holder may still send orders.
    std::chrono::milliseconds other_holder_wait{3'000};
};

/// \brief Version of one model's weights that the operator requests.
struct requested_version
{
    std::uint64_t version = 0;
    /// When the oldest version that the engine lacks was requested; empty
    /// once the engine has the newest one.
    std::optional<mono_time> requested_at;
    /// False if the version may have been requested before `requested_at`.
    bool is_age_known = true;
    /// Gateways have been notified to stop sending calls.
    bool is_notice_given = false;
    mono_time notice_at{};
};

/// \brief State of the weight rollout on one engine.
struct rollout
{
    rollout_options limits;
    /// Fencing token: invalidates the orders of earlier runs of this agent;
    /// empty until the store has assigned one.
    std::optional<std::uint64_t> fence;
    std::map<std::string, requested_version> requested_versions;
    /// Index of the engine in its pool.
    std::size_t pool_index = 0;
    /// Engines in the pool.
    std::size_t pool_size = 1;
    /// When the last order was sent; reset once its effect is visible.
    std::optional<mono_time> ordered_at;
    /// Running calls of the engine, by id, and when each was first reported.
    std::map<std::uint64_t, mono_time> running_calls;
    std::uint64_t ordered_version = 0;
    /// False while the engine limits the calls that it takes and this agent
    /// has no permit.
    bool is_order_permitted = true;
    /// The engine asked for no requests before this time.
    mono_time paused_until{};
    /// An order is due but for its permit.
    bool is_permit_awaited = false;
    /// Another holder sends orders to the engine until about this time.
    mono_time other_holder_until{};
};

/// \brief Order to the engine to load a version.
struct order
{
    std::string model;
    std::uint64_t version = 0;
    std::uint64_t fence = 0;
    /// Number of orders that the engine had accepted before this one.
    std::uint64_t orders_accepted = 0;
};

/// \brief The engine's response to an order.
enum class order_response : std::uint8_t
{
    accepted,    ///< in progress, or the version is already loaded
    conflict,    ///< the engine accepted another order in between
    stale_fence, ///< the engine has seen a higher fencing token
    refused,     ///< the engine can't carry out the order
    no_response, ///< no response: the order may still be carried out
};

/// \brief Names of the responses.
inline constexpr std::array<enum_name<order_response>, 5> order_response_names{{
    {order_response::accepted, "accepted"},
    {order_response::conflict, "conflict"},
    {order_response::stale_fence, "old_fence"},
    {order_response::refused, "refused"},
    {order_response::no_response, "none"},
}};

/// \brief Records the version that the operator requests; a version that is
/// not newer than the recorded one is ignored.
/// \param is_age_known false if the request may be older than this process
/// \returns whether the version is newer than the recorded one
bool record_request(rollout& state, std::string const& model,
                    std::uint64_t version, mono_time now,
                    bool is_age_known = true);

/// \brief Updates the running calls of the engine.
void update_running_calls(rollout& state,
                          std::vector<std::uint64_t> const& running,
                          mono_time now);

/// \brief Time until the engine is to load weights; 0 if the load is due or in
/// progress, empty if none is planned.
[[nodiscard]] std::optional<microseconds>
load_due(rollout const& state, status::engine_report const& report,
         mono_time now);

/// \brief Whether gateways should stop sending calls because a load is
/// imminent or in progress.
[[nodiscard]] bool is_preparing(rollout const& state,
                                status::engine_report const& report,
                                mono_time now);

/// \brief Returns the order that is due now, if any, and records it as sent.
/// \param report the engine's latest report, just received
[[nodiscard]] std::optional<order>
next_order(rollout& state, status::engine_report const& report, mono_time now);

/// \brief The response that an HTTP status stands for; 0: none arrived.
[[nodiscard]] order_response order_response_of(int status) noexcept;

/// \brief Handles the engine's response to the last order.
void on_order_response(rollout& state, order_response answer, mono_time now);

} // namespace jujubestand::agent

#endif
