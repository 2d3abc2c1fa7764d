#ifndef JUJUBESTAND_GATEWAY_APPLY_RECORDS_HPP
#define JUJUBESTAND_GATEWAY_APPLY_RECORDS_HPP

#include <jujubestand/follow/topic.hpp>
#include <jujubestand/gateway/state.hpp>
#include <optional>
#include <vector>

/// \brief Applies store records: configuration, weights and upstreams.
namespace jujubestand::gateway
{

/// \brief Applies operator records; one that cannot be decoded is logged. After
/// such a configuration the tables in force age from `confirmed_before` on.
/// \param confirmed_before when the copy of the topic was last confirmed
/// current without the changes; empty: never
void apply_operator_records(gateway_state& state,
                            std::vector<follow::record> const& changes,
                            std::optional<mono_time> confirmed_before);

/// \brief Applies upstream records.
void apply_upstream_records(gateway_state& state,
                            std::vector<follow::record> const& changes);

/// \brief Removes upstreams whose records have been absent for too long.
void remove_lapsed_upstreams(gateway_state& state);

/// \brief When the configuration in force was last confirmed to be the newest;
/// empty: never.
[[nodiscard]] std::optional<mono_time> tables_as_of(gateway_state const& state);

/// \brief Upper bound of the age of the configuration in force; empty if it was
/// never confirmed.
[[nodiscard]] std::optional<microseconds> tables_age(gateway_state const& state,
                                                     mono_time now);

/// \brief Whether keys and routes are confirmed recent enough to accept
/// requests; logs each change.
[[nodiscard]] bool check_freshness(gateway_state& state, mono_time now);

/// \brief Whether the load balancer should route callers to this gateway.
[[nodiscard]] bool is_ready(gateway_state& state, mono_time now);

} // namespace jujubestand::gateway

#endif
