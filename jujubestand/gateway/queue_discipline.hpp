#ifndef JUJUBESTAND_GATEWAY_QUEUE_DISCIPLINE_HPP
#define JUJUBESTAND_GATEWAY_QUEUE_DISCIPLINE_HPP

#include <jujubestand/dispatch/types.hpp>
#include <jujubestand/traffic/tables.hpp>

/// \brief Order of the waiting calls that the tables in force require.
namespace jujubestand::gateway
{

/// \brief Whether a team has a quota.
[[nodiscard]] bool has_quotas(traffic::tables const& tables);

/// \brief Sets the order of the waiting calls by new tables.
void apply_queue_discipline(dispatch::state& dispatcher,
                            traffic::tables const& tables);

} // namespace jujubestand::gateway

#endif
