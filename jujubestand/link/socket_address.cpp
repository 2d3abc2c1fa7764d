#include <jujubestand/link/socket_address.hpp>

#include <array>
#include <cstring>
#include <netdb.h>
#include <string>

namespace jujubestand::link
{

std::optional<socket_address> to_socket_address(address const& where)
{
    addrinfo hints{};
    hints.ai_socktype = SOCK_STREAM;
    hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV;
    addrinfo* found = nullptr;
    std::string const port = std::to_string(where.port);
    if (getaddrinfo(where.host.c_str(), port.c_str(), &hints, &found) != 0)
        return std::nullopt;
    socket_address result;
    result.length = found->ai_addrlen;
    std::memcpy(&result.storage, found->ai_addr, found->ai_addrlen);
    freeaddrinfo(found);
    return result;
}

std::optional<address> to_address(sockaddr const* where, socklen_t length)
{
    std::array<char, NI_MAXHOST> host{};
    std::array<char, NI_MAXSERV> port{};
    if (getnameinfo(where, length, host.data(), host.size(), port.data(),
                    port.size(), NI_NUMERICHOST | NI_NUMERICSERV) != 0)
        return std::nullopt;
    return address{host.data(),
                   static_cast<std::uint16_t>(std::stoul(port.data()))};
}

std::optional<address> bound_address(int socket)
{
    socket_address bound;
    bound.length = sizeof bound.storage;
    if (getsockname(socket, bound.get(), &bound.length) != 0)
        return std::nullopt;
    return to_address(bound.get(), bound.length);
}

} // namespace jujubestand::link
