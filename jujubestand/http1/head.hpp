#ifndef JUJUBESTAND_HTTP1_HEAD_HPP
#define JUJUBESTAND_HTTP1_HEAD_HPP

#include <array>
#include <cstdint>
#include <jujubestand/core/enum_table.hpp>
#include <jujubestand/core/reason.hpp>
#include <jujubestand/http/message.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace jujubestand::http1
{

/// \brief How the end of a body is marked.
enum class body_framing : std::uint8_t
{
    none,    ///< no body
    length,  ///< Content-Length
    chunked, ///< Transfer-Encoding: chunked
    close,   ///< end of the connection; responses only
};

/// \brief Names of the framings.
inline constexpr std::array<enum_name<body_framing>, 4> body_framing_names{{
    {body_framing::none, "none"},
    {body_framing::length, "length"},
    {body_framing::chunked, "chunked"},
    {body_framing::close, "close"},
}};

/// \brief Start line and fields of a request or a response.
struct message_head
{
    /// Requests only.
    std::string method;
    /// Requests only: path and query as they were sent.
    std::string target;
    /// Responses only.
    int status = 0;
    std::vector<http::field> fields;
    /// The connection may carry another message after this one.
    bool is_keep_alive = false;
    /// Requests only: the sender knows chunked bodies, as from HTTP/1.1 on.
    bool takes_chunks = true;
    /// Responses only.
    body_framing framing = body_framing::none;
};

/// \brief Checks the bytes of a head up to and with its empty line, before a
/// parser sees them, against what two parsers might read differently.
///
/// Refused: bare line feeds, folded lines, a field name that is not a token
/// directly followed by a colon, control characters, more than one length,
/// a length that is not digits, a length beside a transfer coding, and any
/// transfer coding but `chunked`.
/// \returns false with `why` set if the head must be refused
[[nodiscard]] bool is_unambiguous(std::string_view head, reason& why);

} // namespace jujubestand::http1

#endif
