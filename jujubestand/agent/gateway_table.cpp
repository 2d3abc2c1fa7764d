#include <jujubestand/agent/gateway_table.hpp>

#include <algorithm>
#include <jujubestand/status/messages.hpp>
#include <jujubestand/status/pacing.hpp>

namespace jujubestand::agent
{

namespace
{

constexpr std::chrono::milliseconds retention_min{3'000};
/// Queries of a gateway that may be lost or late before it counts as ended.
constexpr int missed_queries = 4;
constexpr std::chrono::milliseconds review_interval{100};

bool has_priority(gateway_entry const& one, gateway_entry const& other)
{
    if (one.link_mbps != other.link_mbps)
        return one.link_mbps > other.link_mbps;
    return one.endpoint.host < other.endpoint.host;
}

void make_list(gateway_list& list)
{
    list.hosts = hosts_by_bandwidth(list.gateways);
    list.hash = status::hash_of(list.hosts);
}

} // namespace

bool remove_stale(gateway_table& gateways, std::size_t engines, mono_time now)
{
    std::chrono::milliseconds const retention = std::max(
        retention_min, missed_queries * status::idle_query_interval(engines));
    return std::erase_if(gateways,
                         [&](auto const& entry)
                         {
                             return now - entry.second.last_request_at >
                                    retention;
                         }) > 0;
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

void record_gateway(gateway_list& list, std::string const& name,
                    gateway_entry const& gateway)
{
    auto& known = list.gateways[name];
    bool const is_same = known.endpoint == gateway.endpoint &&
                         known.link_mbps == gateway.link_mbps;
    known = gateway;
    if (!is_same)
        make_list(list);
}

void review_gateways(gateway_list& list, std::size_t engines, mono_time now)
{
    if (now - list.reviewed_at < review_interval)
        return;
    list.reviewed_at = now;
    if (remove_stale(list.gateways, engines, now))
        make_list(list);
}

std::vector<std::string> hosts_if_changed(gateway_list const& list,
                                          std::uint64_t known_hash)
{
    return list.hash == known_hash ? std::vector<std::string>{} : list.hosts;
}

} // namespace jujubestand::agent
