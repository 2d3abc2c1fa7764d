#ifndef JUJUBESTAND_GATEWAY_UNATTENDED_ENGINES_HPP
#define JUJUBESTAND_GATEWAY_UNATTENDED_ENGINES_HPP

#include <chrono>
#include <cstddef>
#include <jujubestand/dispatch/types.hpp>
#include <jujubestand/gateway/order_lease.hpp>
#include <jujubestand/gateway/query_pacing.hpp>
#include <optional>
#include <vector>

/// \brief Engines whose agents don't answer, or that have none, and whether
/// this gateway should order them.
namespace jujubestand::gateway
{

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

} // namespace jujubestand::gateway

#endif
