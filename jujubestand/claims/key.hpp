#ifndef JUJUBESTAND_CLAIMS_KEY_HPP
#define JUJUBESTAND_CLAIMS_KEY_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <jujubestand/core/ids.hpp>
#include <jujubestand/core/time.hpp>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace jujubestand::claims
{

/// \brief The first 128 bits of a SHA-256.
struct digest
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(digest const&) const = default;

    MSGPACK_DEFINE_ARRAY(high, low)
};

/// \brief Digest of any bytes.
[[nodiscard]] digest digest_of(std::string_view bytes);

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

template <>
struct std::hash<jujubestand::claims::digest>
{
    std::size_t
    operator()(jujubestand::claims::digest const& value) const noexcept
    {
        return static_cast<std::size_t>(value.low);
    }
};

#endif
