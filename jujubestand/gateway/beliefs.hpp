#ifndef JUJUBESTAND_GATEWAY_BELIEFS_HPP
#define JUJUBESTAND_GATEWAY_BELIEFS_HPP

#include <jujubestand/follow/topic.hpp>
#include <jujubestand/gateway/state.hpp>
#include <vector>

/// \brief What a gateway believes of configuration, weights and upstreams.
namespace jujubestand::gateway
{

/// \brief Applies records of the operator; one that can't be read changes
/// nothing.
void apply_operator_records(gateway_state& self,
                            std::vector<follow::record> const& changes);

/// \brief Applies records of upstreams.
void apply_upstream_records(gateway_state& self,
                            std::vector<follow::record> const& changes);

/// \brief Drops upstreams whose records did not come back.
void drop_lapsed(gateway_state& self);

/// \brief Whether keys and routes are proven recent enough to honour a key;
/// logs each change.
[[nodiscard]] bool check_freshness(gateway_state& self, mono_time now);

/// \brief Whether the balancer should send callers.
[[nodiscard]] bool is_ready(gateway_state& self, mono_time now);

} // namespace jujubestand::gateway

#endif
