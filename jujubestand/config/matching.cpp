#include <array>
#include <jujubestand/config/matching.hpp>

namespace jujubestand::config
{

namespace
{

template <class Id>
std::vector<std::string> names_of(std::vector<Id> const& ids)
{
    std::vector<std::string> names;
    names.reserve(ids.size() + 1);
    for (auto const& id : ids)
        names.push_back(id.text);
    if (names.empty())
        names.emplace_back();
    return names;
}

route_id const* find_in(route_group const& group, route_query const& query)
{
    std::string const team(query.team);
    std::string const model(query.is_completion ? query.model : "");
    std::array<route_key, 4> const keys{{
        {team, model},
        {team, {}},
        {{}, model},
        {{}, {}},
    }};
    for (auto const& key : keys)
    {
        auto const found = group.find(key);
        if (found != group.end())
            return &found->second;
    }
    return nullptr;
}

route const* row_of(tables const& content, route_id const* id)
{
    if (id == nullptr)
        return nullptr;
    auto const found = content.routes.find(*id);
    return found == content.routes.end() ? nullptr : &found->second;
}

// A prefix ends at the path's end or before a slash, unless it ends in one
// itself.
bool is_boundary(std::string_view path, std::size_t length)
{
    return length == path.size() || path[length] == '/' ||
           path[length - 1] == '/';
}

} // namespace

route_index make_route_index(tables const& content)
{
    route_index index;
    for (auto const& [id, row] : content.routes)
    {
        auto& group = index.groups[row.path_prefix];
        auto const models = names_of(row.models);
        for (auto const& team : names_of(row.teams))
        {
            for (auto const& model : models)
                group.emplace(route_key{team, model}, id);
        }
    }
    return index;
}

route const* match(route_index const& index, tables const& content,
                   route_query const& query)
{
    std::string_view const path =
        query.is_completion ? std::string_view{} : query.path;
    for (std::size_t length = path.size(); length > 0; --length)
    {
        if (!is_boundary(path, length))
            continue;
        auto const group = index.groups.find(path.substr(0, length));
        if (group == index.groups.end())
            continue;
        auto const* row = row_of(content, find_in(group->second, query));
        if (row != nullptr)
            return row;
    }
    if (!query.is_completion)
        return nullptr;
    auto const group = index.groups.find(std::string_view{});
    if (group == index.groups.end())
        return nullptr;
    return row_of(content, find_in(group->second, query));
}

} // namespace jujubestand::config
