#ifndef JUJUBESTAND_HTTP_RESPONSE_END_HPP
#define JUJUBESTAND_HTTP_RESPONSE_END_HPP

#include <cstdint>
#include <optional>

struct evbuffer;
struct evhttp_connection;
struct evhttp_request;

/// \brief What makes a response that was received one, and a whole one.
namespace jujubestand::http
{

/// \brief Whether a response begins with a status code of HTTP: three digits,
/// from 100 to 599 (RFC 9110, 15). Parsers read other texts as numbers.
/// \param input bytes from the beginning of the response
/// \returns nothing while they are too few, or are no response at all
[[nodiscard]] std::optional<bool> has_valid_status(evbuffer* input);

/// \brief Whether the peer's side has acknowledged all bytes that were written
/// to a socket. Not true of a peer that has ended its side before it received
/// them all; true where the system does not tell.
[[nodiscard]] bool is_acknowledged(std::intptr_t socket) noexcept;

/// \brief The same for evhttp's connections; call before they are closed.
[[nodiscard]] bool is_acknowledged(evhttp_connection* connection) noexcept;

/// \brief Whether a response of evhttp ends with its connection, since it has
/// neither a length nor chunks.
[[nodiscard]] bool ends_by_close(evhttp_request* response) noexcept;

} // namespace jujubestand::http

#endif
