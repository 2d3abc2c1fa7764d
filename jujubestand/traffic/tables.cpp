#include <jujubestand/traffic/tables.hpp>

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
