#ifndef JUJUBESTAND_CORE_ADDRESS_HPP
#define JUJUBESTAND_CORE_ADDRESS_HPP

#include <compare>
#include <cstdint>
#include <functional>
#include <jujubestand/core/reason.hpp>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace jujubestand
{

/// \brief An IP number and a port; port 0 asks for an ephemeral one.
struct address
{
    std::string host;
    std::uint16_t port = 0;

    auto operator<=>(address const&) const = default;

    MSGPACK_DEFINE_ARRAY(host, port)
};

/// \brief Reads `HOST:PORT`, HOST a numeric IPv4 address or a numeric IPv6
/// address in brackets.
[[nodiscard]] std::optional<address> parse_address(std::string_view text,
                                                   reason& why);

/// \brief `HOST:PORT`, with brackets around IPv6.
[[nodiscard]] std::string to_text(address const& where);

} // namespace jujubestand

template <>
struct std::hash<jujubestand::address>
{
    std::size_t operator()(jujubestand::address const& where) const noexcept
    {
        return std::hash<std::string>{}(where.host) * 31 + where.port;
    }
};

#endif
