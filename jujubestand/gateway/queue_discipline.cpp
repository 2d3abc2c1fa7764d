#include <jujubestand/gateway/queue_discipline.hpp>

#include <jujubestand/dispatch/dispatch.hpp>

namespace jujubestand::gateway
{

// Teams have no quotas in the tables yet. Once `traffic::team` has `quota`,
// this is whether any of `tables.teams` has one.
bool has_quotas(traffic::tables const& /*tables*/)
{
    return false;
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
