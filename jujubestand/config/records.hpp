#ifndef JUJUBESTAND_CONFIG_RECORDS_HPP
#define JUJUBESTAND_CONFIG_RECORDS_HPP

#include <array>
#include <cstdint>
#include <jujubestand/config/tables.hpp>
#include <jujubestand/core/enum_table.hpp>
#include <jujubestand/core/ids.hpp>
#include <jujubestand/core/reason.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jujubestand::config
{

/// \brief Name of the stream that carries the tables.
inline constexpr char const* stream_name = "config";

/// \brief What one change does to a table.
enum class change_kind : std::uint8_t
{
    set_route,
    delete_route,
    set_pool,
    delete_pool,
};

/// \brief Names of the change kinds.
inline constexpr std::array<enum_name<change_kind>, 4> change_kind_names{{
    {change_kind::set_route, "set_route"},
    {change_kind::delete_route, "delete_route"},
    {change_kind::set_pool, "set_pool"},
    {change_kind::delete_pool, "delete_pool"},
}};

/// \brief One row set or deleted; only the row of `kind`'s table counts, and
/// of a deleted row only the id.
struct change
{
    change_kind kind = change_kind::set_route;
    route route_row;
    pool pool_row;

    MSGPACK_DEFINE_ARRAY(kind, route_row, pool_row)
};

/// \brief Changes that take effect together or not at all.
struct edit
{
    /// Tells an operator's own edit from all others when it is read back.
    request_id nonce;
    /// Version of the tables that the operator saw.
    log_offset base;
    std::string author;
    std::vector<change> changes;

    MSGPACK_DEFINE_ARRAY(nonce, base, author, changes)
};

/// \brief The tables after all records up to `read_to`, appended again so
/// that the records themselves may expire.
struct snapshot
{
    log_offset read_to;
    /// Who made `content.version`.
    std::string author;
    tables content;

    MSGPACK_DEFINE_ARRAY(read_to, author, content)
};

/// \brief Tables that an operator puts in force whatever stood before, for
/// the case that no process can tell any more what the lost records said.
struct restore
{
    request_id nonce;
    std::string author;
    tables content;

    MSGPACK_DEFINE_ARRAY(nonce, author, content)
};

/// \brief One record of the stream.
using record = std::variant<edit, snapshot, restore>;

/// \brief A record as the log carries it.
[[nodiscard]] std::string pack(edit const& made);
/// \copydoc pack
[[nodiscard]] std::string pack(snapshot const& made);
/// \copydoc pack
[[nodiscard]] std::string pack(restore const& made);

/// \brief Reads what `pack` wrote.
/// \returns nothing, with `why` set, for bytes of any other kind; all readers
/// skip those
[[nodiscard]] std::optional<record> unpack_record(std::string const& bytes,
                                                  reason& why);

} // namespace jujubestand::config

MSGPACK_ADD_ENUM(jujubestand::config::change_kind)

#endif
