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
/// \param engines in the pool: gateways query the agents of many less often
/// \returns whether there were any
bool remove_stale(gateway_table& gateways, std::size_t engines, mono_time now);

/// \brief IP addresses of the gateways, those with the most bandwidth first:
/// these read the store for the others.
[[nodiscard]] std::vector<std::string>
hosts_by_bandwidth(gateway_table const& gateways);

/// \brief The gateways, and the list of them that is sent; it is made anew only
/// when it has changed.
struct gateway_list
{
    gateway_table gateways;
    std::vector<std::string> hosts;
    std::uint64_t hash = 0;
    mono_time reviewed_at{};
};

/// \brief Records a status request of a gateway.
void record_gateway(gateway_list& list, std::string const& name,
                    gateway_entry const& gateway);

/// \brief Removes stale gateways from the list now and then.
void review_gateways(gateway_list& list, std::size_t engines, mono_time now);

/// \brief The list, or an empty one if the gateway already has it.
/// \param known_hash `status::hash_of` of the list that the gateway has
[[nodiscard]] std::vector<std::string>
hosts_if_changed(gateway_list const& list, std::uint64_t known_hash);

} // namespace jujubestand::agent

#endif
