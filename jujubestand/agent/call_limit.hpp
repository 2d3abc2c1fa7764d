#ifndef JUJUBESTAND_AGENT_CALL_LIMIT_HPP
#define JUJUBESTAND_AGENT_CALL_LIMIT_HPP

#include <jujubestand/agent/state.hpp>
#include <jujubestand/http1/client.hpp>
#include <string_view>

/// \brief The limit that the engine states for all instances together, and the
/// permits for orders while there is one.
namespace jujubestand::agent
{

/// \brief Applies what the engine states in an answer of one kind.
void on_stated_limit(agent_state& state, limit_source source,
                     http1::message_head const& head);

/// \brief Removes what is known of the limit: the engine is another one, or
/// has been started again.
void forget_limit(agent_state& state);

/// \brief Whether an order may be sent now.
[[nodiscard]] bool has_order_permit(agent_state const& state, mono_time now);

/// \brief Records that an order is sent.
void use_order_permit(agent_state& state, mono_time now);

/// \brief Requests a permit for an order, where one is needed.
void request_order_permit(agent_state& state, mono_time now);

/// \brief Handles the answer of the gateway that issues permits.
void on_permit_datagram(agent_state& state, std::string_view bytes);

/// \brief The limit as gateways are told of it.
[[nodiscard]] status::limit_report report_limit(agent_state const& state);

} // namespace jujubestand::agent

#endif
