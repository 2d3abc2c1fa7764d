#ifndef JUJUBESTAND_CTL_ROWS_HPP
#define JUJUBESTAND_CTL_ROWS_HPP

#include <jujubestand/config/tables.hpp>
#include <jujubestand/core/reason.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace jujubestand::ctl
{

/// \brief JSON as the tool prints and reads it, in the order of the fields.
using json = nlohmann::ordered_json;

/// \brief A row as JSON, its id as `name`.
[[nodiscard]] json to_json(config::route const& row);
/// \copydoc to_json
[[nodiscard]] json to_json(config::pool const& row);

/// \brief Reads what `to_json` wrote; absent fields keep their defaults.
/// \returns nothing, with `why` naming the field, for an unknown field or
/// another type
[[nodiscard]] std::optional<config::route> route_from_json(json const& shown,
                                                           reason& why);
/// \copydoc route_from_json
[[nodiscard]] std::optional<config::pool> pool_from_json(json const& shown,
                                                         reason& why);

/// \brief Sets one field of a row from the text of `KEY=VALUE`; lists are
/// separated by commas, `roles` are `UPSTREAM:ROLE`.
[[nodiscard]] bool set_field(json& row, std::string const& key,
                             std::string const& value, reason& why);

} // namespace jujubestand::ctl

#endif
