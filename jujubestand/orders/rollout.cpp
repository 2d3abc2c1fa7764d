#include <algorithm>
#include <jujubestand/orders/rollout.hpp>

namespace jujubestand::orders
{

std::optional<order> next_order(config::pool const& wanted,
                                upstream_id const& upstream,
                                engine_state const& engine)
{
    if (!may_serve(wanted, engine))
        return order{order_kind::load_weights, wanted.weights_version, {}, {}};
    for (auto const& adapter : wanted.adapters)
    {
        if (std::ranges::find(engine.adapters, adapter) ==
            engine.adapters.end())
            return order{
                order_kind::load_adapter, wanted.weights_version, adapter, {}};
    }
    for (auto const& row : wanted.roles)
    {
        if (row.upstream == upstream && row.role != engine.role)
            return order{order_kind::set_role, {}, {}, row.role};
    }
    return std::nullopt;
}

bool needs_slot(order const& wanted) noexcept
{
    return wanted.kind == order_kind::load_weights;
}

bool may_serve(config::pool const& wanted, engine_state const& engine)
{
    return wanted.weights_version.empty() ||
           wanted.weights_version == engine.weights_version;
}

} // namespace jujubestand::orders
