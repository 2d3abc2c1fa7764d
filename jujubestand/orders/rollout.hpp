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

/// \brief Kinds of orders to an engine.
enum class order_kind : std::uint8_t
{
    load_weights,
    load_adapter,
    set_role,
};

/// \brief Names of the kinds in the engine interface.
inline constexpr std::array<enum_name<order_kind>, 3> order_kind_names{{
    {order_kind::load_weights, "load_weights"},
    {order_kind::load_adapter, "load_adapter"},
    {order_kind::set_role, "set_role"},
}};

/// \brief An order to an engine; members that its kind does not use are empty.
struct order
{
    order_kind kind = order_kind::load_weights;
    std::string version;
    std::string adapter;
    std::string role;
};

/// \brief The newest state that an engine reported.
struct engine_state
{
    std::string weights_version;
    std::vector<std::string> adapters;
    std::string role;
};

/// \brief The next order that brings an engine to the configuration of its
/// pool: weights first, since loading them clears the rest, then adapters,
/// then the role.
/// \returns nothing if the engine matches the configuration
[[nodiscard]] std::optional<order> next_order(config::pool const& target,
                                              upstream_id const& upstream,
                                              engine_state const& engine);

/// \brief Whether an order requires a weight-load slot of the pool.
[[nodiscard]] bool needs_slot(order const& requested) noexcept;

/// \brief Whether the engine may serve the pool: its weights must be those of
/// the pool, if the pool names any.
[[nodiscard]] bool may_serve(config::pool const& target,
                             engine_state const& engine);

} // namespace jujubestand::orders

#endif
