#include <jujubestand/limits/gateway_list.hpp>

#include <algorithm>

namespace jujubestand::limits
{

namespace
{

/// A gateway stays a member for this long after the last list with it: the
/// lists of two agents may differ.
constexpr std::chrono::milliseconds unlisted_memory{1'500};

/// Regions may be cut off from each other for an hour.
constexpr std::chrono::hours missing_memory{1};

constexpr std::chrono::seconds ending_memory{60};

bool contains(std::vector<std::string> const& hosts, std::string const& host)
{
    return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
}

void note_unlisted(gateway_list& gateways,
                   std::vector<std::string> const& listed, mono_time now)
{
    for (auto const& host : gateways.listed)
    {
        if (!contains(listed, host))
            gateways.unlisted[host] = now;
    }
}

void move_to_missing(gateway_list& gateways, mono_time now)
{
    std::erase_if(gateways.unlisted,
                  [&](auto const& row)
                  {
                      if (now - row.second <= unlisted_memory)
                          return false;
                      if (!gateways.ending.contains(row.first))
                          gateways.missing[row.first] = now;
                      return true;
                  });
    std::erase_if(gateways.missing,
                  [now](auto const& row)
                  {
                      return now - row.second > missing_memory;
                  });
    std::erase_if(gateways.ending,
                  [now](auto const& row)
                  {
                      return now - row.second > ending_memory;
                  });
}

} // namespace

void set_listed(gateway_list& gateways, std::vector<std::string> const& listed,
                std::string const& own, mono_time now)
{
    if (listed.empty())
        return;
    bool const is_same = listed == gateways.listed &&
                         gateways.unlisted.empty() &&
                         gateways.missing.empty() && gateways.ending.empty();
    if (is_same)
        return;
    auto with_own = listed;
    if (!contains(with_own, own))
        with_own.push_back(own);
    if (with_own != gateways.listed)
    {
        // A gateway that is listed anew has started again.
        for (auto const& host : with_own)
        {
            if (!contains(gateways.listed, host))
                gateways.ending.erase(host);
        }
        note_unlisted(gateways, with_own, now);
        gateways.listed = std::move(with_own);
        for (auto const& host : gateways.listed)
        {
            gateways.unlisted.erase(host);
            gateways.missing.erase(host);
        }
    }
    move_to_missing(gateways, now);
    auto members = gateways.listed;
    for (auto const& [host, at] : gateways.unlisted)
        members.push_back(host);
    std::sort(members.begin(), members.end());
    if (members == gateways.members)
        return;
    gateways.members = std::move(members);
    gateways.changed_at = now;
}

void on_ending(gateway_list& gateways, std::string const& host, mono_time now)
{
    gateways.ending[host] = now;
}

double rate_share(gateway_list const& gateways)
{
    auto const members = static_cast<double>(gateways.members.size());
    return members / std::max(1.0, members + static_cast<double>(
                                                 gateways.missing.size()));
}

} // namespace jujubestand::limits
