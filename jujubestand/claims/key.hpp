#ifndef JUJUBESTAND_CLAIMS_KEY_HPP
#define JUJUBESTAND_CLAIMS_KEY_HPP

#include <cstdint>
#include <jujubestand/core/digest.hpp>
#include <jujubestand/core/ids.hpp>
#include <jujubestand/core/time.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace jujubestand::claims
{

/// \brief Digest of an idempotency key within its team and route.
[[nodiscard]] digest scoped_key(team_id const& team, route_id const& route,
                                std::string_view key);

/// \brief When a key was made, read from its text.
/// \param key a UUID of version 7 (RFC 9562), in its usual form
/// \returns nothing if it is anything else
[[nodiscard]] std::optional<wall_time> key_time(std::string_view key) noexcept;

/// \brief A new key, as callers and tools make one.
/// \param random 74 of these bits are used
[[nodiscard]] std::string make_key(wall_time now, request_id const& random);

/// \brief Which of a pool's claim streams holds a key.
[[nodiscard]] std::uint32_t stream_index(digest const& key,
                                         std::uint32_t claim_streams) noexcept;

/// \brief Name of a claim stream on the platform's log.
[[nodiscard]] std::string stream_name(pool_id const& pool, std::uint32_t index);

} // namespace jujubestand::claims

#endif
