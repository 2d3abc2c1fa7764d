#ifndef JUJUBESTAND_CONFIG_VALIDATION_HPP
#define JUJUBESTAND_CONFIG_VALIDATION_HPP

#include <jujubestand/config/records.hpp>
#include <jujubestand/config/tables.hpp>
#include <jujubestand/core/reason.hpp>
#include <optional>

namespace jujubestand::config
{

/// \brief Whether some call matches both routes with neither one preferred.
[[nodiscard]] bool overlaps(route const& left, route const& right);

/// \brief The tables after an edit; their version is unchanged.
/// \returns nothing, with `why` naming the row, if a rule forbids the edit
[[nodiscard]] std::optional<tables> apply(tables const& before,
                                          edit const& made, reason& why);

/// \brief Whether the tables obey all rules by themselves.
[[nodiscard]] bool is_valid(tables const& content, reason& why);

} // namespace jujubestand::config

#endif
