#include <jujubestand/traffic/tables.hpp>

#include <algorithm>
#include <jujubestand/core/digest.hpp>

namespace jujubestand::traffic
{

route const* find_route(tables const& content, std::string_view host,
                        std::string_view path)
{
    route const* best = nullptr;
    for (auto const& candidate : content.routes)
    {
        if (candidate.host != host || !path.starts_with(candidate.path_prefix))
            continue;
        if (best == nullptr ||
            candidate.path_prefix.size() > best->path_prefix.size())
            best = &candidate;
    }
    return best;
}

team const* find_team(tables const& content, std::string_view key)
{
    auto const found = content.keys.find(std::string(key));
    return found == content.keys.end() ? nullptr
                                       : &content.teams[found->second];
}

pool const* find_pool(tables const& content, std::string_view name)
{
    auto const found = content.pools.find(name);
    return found == content.pools.end() ? nullptr : &found->second;
}

// A function of the configuration in force alone, so that instances agree which
// know no earlier one. Parts of an owner were cached by teams outside its list
// of isolated teams, and only such teams use them.
std::string shared_cache_owner(tables const& content)
{
    std::vector<std::string_view> isolated;
    for (auto const& row : content.teams)
    {
        if (row.is_isolated)
            isolated.push_back(row.name);
    }
    if (isolated.empty())
        return "all";
    std::sort(isolated.begin(), isolated.end());
    std::string names;
    for (auto const name : isolated)
        append_part(names, name);
    return "all-but-" + to_text(digest_of(names));
}

std::string cache_owner_of(team const& caller, std::string const& shared)
{
    return caller.is_isolated ? "team " + caller.name : shared;
}

std::string_view choose_pool(route const& from, std::uint64_t draw)
{
    constexpr double draw_range = 18446744073709551616.0;
    double total = 0;
    for (auto const& share : from.shares)
        total += share.weight;
    double left = total * (static_cast<double>(draw) / draw_range);
    for (auto const& share : from.shares)
    {
        left -= share.weight;
        if (left < 0)
            return share.pool;
    }
    return from.shares.empty() ? std::string_view{} : from.shares.back().pool;
}

} // namespace jujubestand::traffic
