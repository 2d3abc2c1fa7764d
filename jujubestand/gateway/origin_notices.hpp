#ifndef JUJUBESTAND_GATEWAY_ORIGIN_NOTICES_HPP
#define JUJUBESTAND_GATEWAY_ORIGIN_NOTICES_HPP

#include <jujubestand/gateway/state.hpp>
#include <map>
#include <string>
#include <vector>

/// \brief Notices of the software versions that streams began at, to the
/// gateways and agents that keep them.
namespace jujubestand::gateway
{

using hosts_by_software = std::map<std::string, std::vector<std::string>>;

/// \brief IP addresses of the agents beside the engines of a pool, by software
/// version.
[[nodiscard]] hosts_by_software agents_by_software(gateway_state const& state,
                                                   std::string const& pool);

/// \brief Sends the version of a stream to the gateways that keep it.
/// \param is_writing whether this gateway writes it to the store
void send_origin_notice(gateway_state& state, origin_key stream,
                        std::string const& software_version, bool is_writing);

/// \brief Records and announces the version of a stream whose first event is
/// about to be forwarded.
void announce_origin(gateway_state& state, active_call const& call);

} // namespace jujubestand::gateway

#endif
