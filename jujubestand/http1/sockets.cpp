#include <jujubestand/http1/sockets.hpp>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace jujubestand::http1
{

std::optional<sockaddr_in> to_sockaddr(address const& where)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(where.port);
    if (inet_pton(AF_INET, where.host.c_str(), &result.sin_addr) != 1)
        return std::nullopt;
    return result;
}

timeval to_timeval(std::chrono::milliseconds span) noexcept
{
    auto const seconds = std::chrono::floor<std::chrono::seconds>(span);
    auto const rest = std::chrono::microseconds(span - seconds);
    return timeval{static_cast<time_t>(seconds.count()),
                   static_cast<suseconds_t>(rest.count())};
}

void set_no_delay(std::intptr_t socket) noexcept
{
    int const on = 1;
    setsockopt(static_cast<int>(socket), IPPROTO_TCP, TCP_NODELAY, &on,
               sizeof on);
}

void set_reset_on_close(std::intptr_t socket) noexcept
{
    linger const at_once{1, 0};
    setsockopt(static_cast<int>(socket), SOL_SOCKET, SO_LINGER, &at_once,
               sizeof at_once);
}

} // namespace jujubestand::http1
