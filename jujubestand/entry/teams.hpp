#ifndef JUJUBESTAND_ENTRY_TEAMS_HPP
#define JUJUBESTAND_ENTRY_TEAMS_HPP

#include <jujubestand/core/ids.hpp>
#include <jujubestand/core/reason.hpp>
#include <jujubestand/http/message.hpp>
#include <jujubestand/settings/settings.hpp>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace jujubestand::entry
{

/// \brief Teams by the SHA-256 digests of their API keys.
struct team_table
{
    std::unordered_map<std::string, team_id> by_digest;
};

/// \brief Table of the teams that the settings list.
[[nodiscard]] team_table
make_team_table(std::vector<settings::team> const& teams);

/// \brief The team whose key the request bears (`Authorization: Bearer KEY`).
/// \returns nothing, with `why` set, if there is no such team or more than
/// one `Authorization` field
[[nodiscard]] std::optional<team_id>
authenticate(team_table const& table, std::vector<http::field> const& headers,
             reason& why);

} // namespace jujubestand::entry

#endif
