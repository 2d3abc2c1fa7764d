#ifndef JUJUBESTAND_QUARANTINE_CALL_KEYS_HPP
#define JUJUBESTAND_QUARANTINE_CALL_KEYS_HPP

#include <cstdint>
#include <jujubestand/quarantine/evidence.hpp>
#include <string_view>
#include <vector>

/// \brief The fingerprints of a call on the path entry, sidecar, engine.
namespace jujubestand::quarantine
{

/// \brief Hash of one part of a prompt, the same wherever the part stands.
[[nodiscard]] std::uint64_t hash_of_part(std::string_view role,
                                         std::string_view text);

/// \brief Leaves the first and the last parts of a long prompt.
[[nodiscard]] std::vector<std::uint64_t>
limit_parts(std::vector<std::uint64_t> parts);

/// \brief Fingerprints of a call and of the parts of its prompt.
/// \param parts hashes of the parts, first to last
[[nodiscard]] std::vector<suspect_key>
keys_of_call(team_id const& team, route_id const& route,
             std::string_view body_digest,
             std::vector<std::uint64_t> const& parts);

} // namespace jujubestand::quarantine

#endif
