#ifndef JUJUBESTAND_AGENT_ASKERS_HPP
#define JUJUBESTAND_AGENT_ASKERS_HPP

#include <cstdint>
#include <jujubestand/core/address.hpp>
#include <jujubestand/core/time.hpp>
#include <map>
#include <string>
#include <vector>

/// \brief The gateways that ask an agent, as it tells them to each other.
namespace jujubestand::agent
{

/// \brief A gateway that asks for our status.
struct known_gateway
{
    address where;
    /// Width of its link, in Mbit/s.
    double link_mbps = 0;
    mono_time asked_at{};
};

/// \brief Gateways that asked lately, by name.
using askers = std::map<std::string, known_gateway>;

/// \brief Forgets gateways that have not asked for long.
void forget_silent(askers& all, mono_time now);

/// \brief IP numbers of the gateways, those with the widest links first:
/// these read the store for the others.
[[nodiscard]] std::vector<std::string> hosts_by_width(askers const& all);

/// \brief The same, or nothing for an asker that knows this list.
/// \param known_hash `status::hash_of` of the list that the asker knows
[[nodiscard]] std::vector<std::string>
hosts_unless_known(askers const& all, std::uint64_t known_hash);

} // namespace jujubestand::agent

#endif
