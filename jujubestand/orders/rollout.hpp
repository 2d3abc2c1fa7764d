#ifndef JUJUBESTAND_ORDERS_ROLLOUT_HPP
#define JUJUBESTAND_ORDERS_ROLLOUT_HPP

#include <array>
#include <cstdint>
#include <jujubestand/config/tables.hpp>
#include <jujubestand/core/enum_table.hpp>
#include <jujubestand/core/ids.hpp>
#include <optional>
#include <string>
#include <vector>

namespace jujubestand::orders
{

/// \brief What an engine can be told to do.
enum class order_kind : std::uint8_t
{
    load_weights,
    load_adapter,
    set_role,
};

/// \brief Names of the kinds, as engines know them.
inline constexpr std::array<enum_name<order_kind>, 3> order_kind_names{{
    {order_kind::load_weights, "load_weights"},
    {order_kind::load_adapter, "load_adapter"},
    {order_kind::set_role, "set_role"},
}};

/// \brief One order.
struct order
{
    order_kind kind = order_kind::load_weights;
    std::string version;
    std::string adapter;
    std::string role;
};

/// \brief What an engine last reported of itself.
struct engine_state
{
    std::string weights_version;
    std::vector<std::string> adapters;
    std::string role;
};

/// \brief The next order that brings an engine to what its pool wants: the
/// weights first, since a load empties the rest, then adapters, then the role.
/// \returns nothing if it is there
[[nodiscard]] std::optional<order> next_order(config::pool const& wanted,
                                              upstream_id const& upstream,
                                              engine_state const& engine);

/// \brief Whether an order needs a weight-load slot of the pool.
[[nodiscard]] bool needs_slot(order const& wanted) noexcept;

/// \brief Whether the engine may serve the pool: never with other weights
/// than the pool's.
[[nodiscard]] bool may_serve(config::pool const& wanted,
                             engine_state const& engine);

} // namespace jujubestand::orders

#endif
