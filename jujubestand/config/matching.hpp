#ifndef JUJUBESTAND_CONFIG_MATCHING_HPP
#define JUJUBESTAND_CONFIG_MATCHING_HPP

#include <cstddef>
#include <functional>
#include <jujubestand/config/tables.hpp>
#include <jujubestand/core/ids.hpp>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

namespace jujubestand::config
{

/// \brief What a route is chosen by.
struct route_query
{
    std::string_view team;
    /// Empty for a plain service.
    std::string_view model;
    /// Path without its query; ignored for a completion.
    std::string_view path;
    bool is_completion = true;
};

/// \brief Whom a row of the index is for; empty parts match any.
struct route_key
{
    std::string team;
    std::string model;

    bool operator==(route_key const&) const = default;
};

/// \brief Hashes keys and their views alike.
struct route_key_hash
{
    [[nodiscard]] std::size_t operator()(route_key const& key) const noexcept
    {
        std::hash<std::string> const hash;
        return hash(key.team) * 31 + hash(key.model);
    }
};

/// \brief Routes of one path prefix, by team and model.
using route_group = std::unordered_map<route_key, route_id, route_key_hash>;

/// \brief The route table, made ready for matching.
struct route_index
{
    /// By path prefix; the completion API's group has the empty one.
    std::map<std::string, route_group, std::less<>> groups;
};

/// \brief Builds the index of one version of the tables.
[[nodiscard]] route_index make_route_index(tables const& content);

/// \brief The route of a call: the longest matching prefix wins, then a named
/// team, then a named model.
/// \returns null if none matches; valid while `content` is unchanged
[[nodiscard]] route const* match(route_index const& index,
                                 tables const& content,
                                 route_query const& query);

} // namespace jujubestand::config

#endif
