#ifndef JUJUBESTAND_CTL_TABLE_KINDS_HPP
#define JUJUBESTAND_CTL_TABLE_KINDS_HPP

#include <jujubestand/config/records.hpp>
#include <jujubestand/ctl/rows.hpp>
#include <string>
#include <utility>

/// \brief The two tables as parameters of the commands on either.
namespace jujubestand::ctl
{

/// \brief The table of routes.
struct route_table
{
    static constexpr char const* key = "routes";

    static auto const& rows(config::tables const& content)
    {
        return content.routes;
    }

    static auto read(json const& shown, reason& why)
    {
        return route_from_json(shown, why);
    }

    static config::change set(config::route row)
    {
        return {config::change_kind::set_route, std::move(row), {}};
    }

    static config::change remove(std::string const& name)
    {
        config::change made;
        made.kind = config::change_kind::delete_route;
        made.route_row.id = route_id(name);
        return made;
    }

    static config::route named(std::string const& name)
    {
        config::route row;
        row.id = route_id(name);
        return row;
    }
};

/// \brief The table of pools.
struct pool_table
{
    static constexpr char const* key = "pools";

    static auto const& rows(config::tables const& content)
    {
        return content.pools;
    }

    static auto read(json const& shown, reason& why)
    {
        return pool_from_json(shown, why);
    }

    static config::change set(config::pool row)
    {
        return {config::change_kind::set_pool, {}, std::move(row)};
    }

    static config::change remove(std::string const& name)
    {
        config::change made;
        made.kind = config::change_kind::delete_pool;
        made.pool_row.id = pool_id(name);
        return made;
    }

    static config::pool named(std::string const& name)
    {
        config::pool row;
        row.id = pool_id(name);
        return row;
    }
};

/// \brief The rows of a table as a JSON list.
template <class Table>
[[nodiscard]] json rows_json(config::tables const& content)
{
    json rows = json::array();
    for (auto const& [id, row] : Table::rows(content))
        rows.push_back(to_json(row));
    return rows;
}

} // namespace jujubestand::ctl

#endif
