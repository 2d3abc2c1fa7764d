#include <jujubestand/agent/askers.hpp>

#include <algorithm>
#include <jujubestand/status/messages.hpp>

namespace jujubestand::agent
{

namespace
{

constexpr std::chrono::milliseconds asker_memory{3'000};

bool goes_first(known_gateway const& one, known_gateway const& other)
{
    if (one.link_mbps != other.link_mbps)
        return one.link_mbps > other.link_mbps;
    return one.where.host < other.where.host;
}

} // namespace

void forget_silent(askers& all, mono_time now)
{
    std::erase_if(all,
                  [now](auto const& row)
                  {
                      return now - row.second.asked_at > asker_memory;
                  });
}

std::vector<std::string> hosts_by_width(askers const& all)
{
    std::vector<known_gateway> known;
    known.reserve(all.size());
    for (auto const& [name, gateway] : all)
        known.push_back(gateway);
    std::sort(known.begin(), known.end(), goes_first);
    std::vector<std::string> hosts;
    hosts.reserve(all.size());
    for (auto const& gateway : known)
        hosts.push_back(gateway.where.host);
    return hosts;
}

std::vector<std::string> hosts_unless_known(askers const& all,
                                            std::uint64_t known_hash)
{
    auto hosts = hosts_by_width(all);
    if (status::hash_of(hosts) == known_hash)
        hosts.clear();
    return hosts;
}

} // namespace jujubestand::agent
