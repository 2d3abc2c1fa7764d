#include <jujubestand/gateway/queue_discipline.hpp>

#include <algorithm>
#include <jujubestand/dispatch/dispatch.hpp>

namespace jujubestand::gateway
{

bool has_quotas(traffic::tables const& tables)
{
    return std::any_of(tables.teams.begin(), tables.teams.end(),
                       [](traffic::team const& team)
                       {
                           return team.quota.has_value();
                       });
}

void apply_queue_discipline(dispatch::state& dispatcher,
                            traffic::tables const& tables)
{
    dispatch::set_queue_discipline(
        dispatcher, has_quotas(tables)
                        ? dispatch::queue_discipline::useful_first
                        : dispatch::queue_discipline::by_target);
}

} // namespace jujubestand::gateway
