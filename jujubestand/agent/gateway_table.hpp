#ifndef JUJUBESTAND_AGENT_GATEWAY_TABLE_HPP
#define JUJUBESTAND_AGENT_GATEWAY_TABLE_HPP

#include <cstdint>
#include <jujubestand/core/address.hpp>
#include <jujubestand/core/time.hpp>
#include <map>
#include <string>
#include <vector>

/// \brief Gateways that poll an agent. The agent lists them in its status
/// messages, so that gateways find each other.
namespace jujubestand::agent
{

/// \brief A gateway that polls the agent's status.
struct gateway_entry
{
    address endpoint;
    /// Bandwidth of its link, in Mbit/s.
    double link_mbps = 0;
    mono_time last_request_at{};
};

/// \brief Gateways with a recent status request, by name.
using gateway_table = std::map<std::string, gateway_entry>;

/// \brief Removes gateways without a recent status request.
void remove_stale(gateway_table& gateways, mono_time now);

/// \brief IP addresses of the gateways, those with the most bandwidth first:
/// these read the store for the others.
[[nodiscard]] std::vector<std::string>
hosts_by_bandwidth(gateway_table const& gateways);

/// \brief The same list, or an empty one if the gateway already has it.
/// \param known_hash `status::hash_of` of the list that the gateway has
[[nodiscard]] std::vector<std::string>
hosts_if_changed(gateway_table const& gateways, std::uint64_t known_hash);

} // namespace jujubestand::agent

#endif
