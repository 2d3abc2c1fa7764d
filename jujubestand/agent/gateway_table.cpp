#include <jujubestand/agent/gateway_table.hpp>

#include <algorithm>
#include <jujubestand/status/messages.hpp>

namespace jujubestand::agent
{

namespace
{

constexpr std::chrono::milliseconds retention_period{3'000};

bool has_priority(gateway_entry const& one, gateway_entry const& other)
{
    if (one.link_mbps != other.link_mbps)
        return one.link_mbps > other.link_mbps;
    return one.endpoint.host < other.endpoint.host;
}

} // namespace

void remove_stale(gateway_table& gateways, mono_time now)
{
    std::erase_if(gateways,
                  [now](auto const& entry)
                  {
                      return now - entry.second.last_request_at >
                             retention_period;
                  });
}

std::vector<std::string> hosts_by_bandwidth(gateway_table const& gateways)
{
    std::vector<gateway_entry> known;
    known.reserve(gateways.size());
    for (auto const& [name, gateway] : gateways)
        known.push_back(gateway);
    std::sort(known.begin(), known.end(), has_priority);
    std::vector<std::string> hosts;
    hosts.reserve(gateways.size());
    for (auto const& gateway : known)
        hosts.push_back(gateway.endpoint.host);
    return hosts;
}

std::vector<std::string> hosts_if_changed(gateway_table const& gateways,
                                          std::uint64_t known_hash)
{
    auto hosts = hosts_by_bandwidth(gateways);
    if (status::hash_of(hosts) == known_hash)
        hosts.clear();
    return hosts;
}

} // namespace jujubestand::agent
