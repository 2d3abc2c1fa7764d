#ifndef JUJUBESTAND_HTTP1_SOCKETS_HPP
#define JUJUBESTAND_HTTP1_SOCKETS_HPP

#include <chrono>
#include <cstdint>
#include <jujubestand/core/address.hpp>
#include <netinet/in.h>
#include <optional>
#include <sys/time.h>

namespace jujubestand::http1
{

/// \brief Socket address of a numeric IPv4 address; nothing for any other.
[[nodiscard]] std::optional<sockaddr_in> to_sockaddr(address const& where);

/// \brief A span as libevent takes it.
[[nodiscard]] timeval to_timeval(std::chrono::milliseconds span) noexcept;

/// \brief Sends small writes at once.
void set_no_delay(std::intptr_t socket) noexcept;

/// \brief Lets the connection be reset when it is closed: bytes that are still
/// on their way are dropped.
void set_reset_on_close(std::intptr_t socket) noexcept;

} // namespace jujubestand::http1

#endif
