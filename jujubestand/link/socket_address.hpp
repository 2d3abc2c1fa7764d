#ifndef JUJUBESTAND_LINK_SOCKET_ADDRESS_HPP
#define JUJUBESTAND_LINK_SOCKET_ADDRESS_HPP

#include <jujubestand/core/address.hpp>
#include <optional>
#include <sys/socket.h>

namespace jujubestand::link
{

/// \brief An address as the socket functions take it.
struct socket_address
{
    sockaddr_storage storage{};
    socklen_t length = 0;

    [[nodiscard]] sockaddr* get() noexcept
    {
        return reinterpret_cast<sockaddr*>(&this->storage);
    }
};

/// \brief Nothing if the host is no IP number.
[[nodiscard]] std::optional<socket_address>
to_socket_address(address const& where);

/// \brief Nothing if it is of no internet family.
[[nodiscard]] std::optional<address> to_address(sockaddr const* where,
                                                socklen_t length);

/// \brief The address that a socket is bound to.
[[nodiscard]] std::optional<address> bound_address(int socket);

} // namespace jujubestand::link

#endif
