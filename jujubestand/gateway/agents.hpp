#ifndef JUJUBESTAND_GATEWAY_AGENTS_HPP
#define JUJUBESTAND_GATEWAY_AGENTS_HPP

#include <jujubestand/core/address.hpp>
#include <jujubestand/gateway/state.hpp>
#include <random>
#include <string_view>

/// \brief Status queries to the agents that run beside the engines.
namespace jujubestand::gateway
{

/// \brief Sends status queries to the agents of engines that this gateway uses,
/// and to some of the others, unless one is outstanding.
void query_agents(gateway_state& state);

/// \brief Replaces the list of gateways; those of the list before stay known
/// for a while. \param hosts IP addresses, those with the most bandwidth first
void set_gateways(gateway_state& state, std::vector<std::string> const& hosts,
                  mono_time now);

/// \brief IP addresses of the gateways that an agent has reported recently.
[[nodiscard]] std::vector<std::string>
known_gateways(gateway_state const& state, mono_time now);

/// \brief The same without this gateway.
[[nodiscard]] std::vector<std::string>
other_gateways(gateway_state const& state, mono_time now);

/// \brief Some of the hosts, at random; all of them if there are not more.
[[nodiscard]] std::vector<std::string>
random_hosts(std::vector<std::string> hosts, std::size_t count,
             std::mt19937_64& random);

/// \brief Handles a status datagram from an agent.
void on_agent_datagram(gateway_state& state, address const& sender,
                       std::string_view bytes);

} // namespace jujubestand::gateway

#endif
