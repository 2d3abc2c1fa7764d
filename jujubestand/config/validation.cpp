#include <algorithm>
#include <jujubestand/config/validation.hpp>
#include <set>
#include <string>
#include <string_view>

namespace jujubestand::config
{

namespace
{

constexpr std::size_t name_limit = 128;
constexpr std::uint32_t deadline_limit_ms = 86'400'000;
constexpr std::uint8_t priority_limit = 15;
constexpr std::uint64_t body_limit_limit_bytes = 1ULL << 30U;
constexpr std::uint32_t loads_limit = 1'000;
constexpr std::uint32_t claim_streams_limit = 256;

bool refuse(reason& why, std::string text, std::string place)
{
    why = {reason_code::edit_invalid, std::move(text), std::move(place)};
    return false;
}

// Pool names stand in names of log streams.
bool is_name(std::string_view text)
{
    if (text.empty() || text.size() > name_limit)
        return false;
    return std::ranges::all_of(text,
                               [](char letter)
                               {
                                   return (letter >= 'a' && letter <= 'z') ||
                                          (letter >= '0' && letter <= '9') ||
                                          letter == '-' || letter == '.';
                               });
}

template <class Id>
bool has_doubles(std::vector<Id> const& ids)
{
    return std::set<Id>(ids.begin(), ids.end()).size() != ids.size();
}

template <class Id>
bool intersects(std::vector<Id> const& left, std::vector<Id> const& right)
{
    if (left.empty() || right.empty())
        return left.empty() && right.empty();
    std::set<Id> const known(left.begin(), left.end());
    return std::ranges::any_of(right,
                               [&known](Id const& id)
                               {
                                   return known.contains(id);
                               });
}

bool is_valid_match(route const& row, reason& why)
{
    auto const place = "route " + row.id.text;
    if (has_doubles(row.teams) || has_doubles(row.models))
        return refuse(why, "a team or model is named twice", place);
    if (row.path_prefix.empty())
        return true;
    if (row.path_prefix.front() != '/')
        return refuse(why, "path_prefix must start with /", place);
    if (row.path_prefix.find_first_of("?# ") != std::string::npos)
        return refuse(why, "path_prefix has a query or a space", place);
    if (!row.models.empty())
        return refuse(why, "a plain service has no models", place);
    return true;
}

bool is_valid_route(tables const& after, route const& row, reason& why)
{
    auto const place = "route " + row.id.text;
    if (!is_name(row.id.text))
        return refuse(why, "name must be [a-z0-9.-]+", place);
    if (!after.pools.contains(row.pool))
        return refuse(why, "unknown pool " + row.pool.text, place);
    if (row.deadline_ms == 0 || row.deadline_ms > deadline_limit_ms)
        return refuse(why, "deadline_ms must be 1 to 86400000", place);
    if (row.first_token_deadline_ms > row.deadline_ms)
        return refuse(why, "first_token_deadline_ms is over deadline_ms",
                      place);
    if (row.priority > priority_limit)
        return refuse(why, "priority must be 0 to 15", place);
    if (row.body_limit_bytes == 0 ||
        row.body_limit_bytes > body_limit_limit_bytes)
        return refuse(why, "body_limit_bytes must be 1 to 1073741824", place);
    return is_valid_match(row, why);
}

bool overlaps_none(tables const& after, route const& row, reason& why)
{
    for (auto const& [id, other] : after.routes)
    {
        if (id != row.id && overlaps(other, row))
            return refuse(why, "overlaps route " + id.text,
                          "route " + row.id.text);
    }
    return true;
}

bool are_valid_roles(pool const& row, reason& why)
{
    auto const place = "pool " + row.id.text;
    std::set<upstream_id> seen;
    for (auto const& wanted : row.roles)
    {
        if (wanted.role != "mixed" && wanted.role != "prefill" &&
            wanted.role != "decode")
            return refuse(why, "unknown role " + wanted.role, place);
        if (std::ranges::find(row.upstreams, wanted.upstream) ==
            row.upstreams.end())
            return refuse(why, "role of an upstream outside the pool", place);
        if (!seen.insert(wanted.upstream).second)
            return refuse(why, "two roles for one upstream", place);
    }
    return true;
}

bool is_valid_pool(pool const& row, reason& why)
{
    auto const place = "pool " + row.id.text;
    if (!is_name(row.id.text))
        return refuse(why, "name must be [a-z0-9.-]+", place);
    if (has_doubles(row.upstreams) || has_doubles(row.adapters))
        return refuse(why, "an upstream or adapter is named twice", place);
    // Written so that a NaN is refused too.
    if (!(row.tail_weight >= 0.0 && row.tail_weight <= 1.0))
        return refuse(why, "tail_weight must be 0 to 1", place);
    if (row.concurrent_weight_loads == 0 ||
        row.concurrent_weight_loads > loads_limit)
        return refuse(why, "concurrent_weight_loads must be 1 to 1000", place);
    if (row.claim_streams == 0 || row.claim_streams > claim_streams_limit)
        return refuse(why, "claim_streams must be 1 to 256", place);
    return are_valid_roles(row, why);
}

// A sidecar could not serve two pools that want different weights.
bool shares_no_upstream(tables const& after, pool const& row, reason& why)
{
    for (auto const& [id, other] : after.pools)
    {
        if (id == row.id || row.upstreams.empty() || other.upstreams.empty())
            continue;
        if (other.weights_version != row.weights_version &&
            intersects(other.upstreams, row.upstreams))
            return refuse(why,
                          "shares an upstream with pool " + id.text +
                              ", which has other weights",
                          "pool " + row.id.text);
    }
    return true;
}

bool is_unused(tables const& after, pool_id const& id, reason& why)
{
    for (auto const& [route, row] : after.routes)
    {
        if (row.pool == id)
            return refuse(why, "in use by route " + route.text,
                          "pool " + id.text);
    }
    return true;
}

bool change_tables(tables& content, change const& made, reason& why)
{
    auto const& route_id = made.route_row.id;
    auto const& pool_id = made.pool_row.id;
    switch (made.kind)
    {
    case change_kind::set_route:
        content.routes[route_id] = made.route_row;
        return true;
    case change_kind::set_pool:
        content.pools[pool_id] = made.pool_row;
        return true;
    case change_kind::delete_route:
        return content.routes.erase(route_id) != 0 ||
               refuse(why, "no such route", "route " + route_id.text);
    case change_kind::delete_pool:
        return content.pools.erase(pool_id) != 0 ||
               refuse(why, "no such pool", "pool " + pool_id.text);
    }
    return refuse(why, "unknown kind of change", {});
}

bool has_unrepeatable_route(tables const& content, pool_id const& pool)
{
    return std::any_of(content.routes.begin(), content.routes.end(),
                       [&pool](auto const& row)
                       {
                           return !row.second.is_idempotent &&
                                  row.second.pool == pool;
                       });
}

// A key's claims stand on one stream, named by the pool and its number of
// streams. Were a key to move, its claims would not be found there, and a
// repeat of its call would run again.
bool keeps_claims(tables const& before, tables const& after, change const& made,
                  reason& why)
{
    if (made.kind == change_kind::set_pool)
    {
        pool_id const& id = made.pool_row.id;
        auto const old = before.pools.find(id);
        bool const is_moved =
            old != before.pools.end() &&
            old->second.claim_streams != made.pool_row.claim_streams &&
            has_unrepeatable_route(before, id);
        return !is_moved ||
               refuse(why,
                      "claim_streams moves keys of calls that may run once",
                      "pool " + id.text);
    }
    if (made.kind != change_kind::set_route)
        return true;
    route_id const& id = made.route_row.id;
    auto const old = before.routes.find(id);
    auto const now = after.routes.find(id);
    bool const is_moved =
        old != before.routes.end() && now != after.routes.end() &&
        !old->second.is_idempotent && old->second.pool != now->second.pool;
    return !is_moved ||
           refuse(why, "the pool moves keys of calls that may run once",
                  "route " + id.text);
}

// Checked after all changes, so that one edit may replace a pool and move its
// routes; a row that a later change of the edit deleted is not checked.
bool is_valid_change(tables const& after, change const& made, reason& why)
{
    auto const& route = made.route_row;
    auto const& pool = made.pool_row;
    switch (made.kind)
    {
    case change_kind::set_route:
        return !after.routes.contains(route.id) ||
               (is_valid_route(after, route, why) &&
                overlaps_none(after, route, why));
    case change_kind::set_pool:
        return !after.pools.contains(pool.id) ||
               (is_valid_pool(pool, why) &&
                shares_no_upstream(after, pool, why));
    case change_kind::delete_pool:
        return after.pools.contains(pool.id) || is_unused(after, pool.id, why);
    case change_kind::delete_route:
        break;
    }
    return true;
}

} // namespace

bool overlaps(route const& left, route const& right)
{
    return left.path_prefix == right.path_prefix &&
           intersects(left.teams, right.teams) &&
           intersects(left.models, right.models);
}

std::optional<tables> apply(tables const& before, edit const& made, reason& why)
{
    if (made.changes.empty())
    {
        refuse(why, "no changes", {});
        return std::nullopt;
    }
    tables after = before;
    for (auto const& one : made.changes)
    {
        if (!change_tables(after, one, why))
            return std::nullopt;
    }
    for (auto const& one : made.changes)
    {
        if (!is_valid_change(after, one, why) ||
            !keeps_claims(before, after, one, why))
            return std::nullopt;
    }
    return after;
}

bool is_valid(tables const& content, reason& why)
{
    edit whole;
    for (auto const& [id, row] : content.pools)
        whole.changes.push_back({change_kind::set_pool, {}, row});
    for (auto const& [id, row] : content.routes)
        whole.changes.push_back({change_kind::set_route, row, {}});
    return whole.changes.empty() || apply(tables{}, whole, why);
}

} // namespace jujubestand::config
