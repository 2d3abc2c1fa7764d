#include <algorithm>
#include <jujubestand/orders/rollout.hpp>

namespace jujubestand::orders
{

std::optional<order> next_order(config::pool const& target,
                                upstream_id const& upstream,
                                engine_state const& engine)
{
    if (!may_serve(target, engine))
        return order{order_kind::load_weights, target.weights_version, {}, {}};
    for (auto const& adapter : target.adapters)
    {
        if (std::ranges::find(engine.adapters, adapter) ==
            engine.adapters.end())
            return order{
                order_kind::load_adapter, target.weights_version, adapter, {}};
    }
    for (auto const& assignment : target.roles)
    {
        if (assignment.upstream == upstream && assignment.role != engine.role)
            return order{order_kind::set_role, {}, {}, assignment.role};
    }
    return std::nullopt;
}

bool needs_slot(order const& requested) noexcept
{
    return requested.kind == order_kind::load_weights;
}

bool may_serve(config::pool const& target, engine_state const& engine)
{
    return target.weights_version.empty() ||
           target.weights_version == engine.weights_version;
}

} // namespace jujubestand::orders
