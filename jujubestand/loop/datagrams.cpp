#include <jujubestand/loop/datagrams.hpp>

#include <arpa/inet.h>
#include <array>
#include <event2/event.h>
#include <jujubestand/http1/sockets.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace jujubestand::loop
{

namespace
{

/// Datagrams taken in one turn, so that other events get theirs.
constexpr int turn_limit = 64;
constexpr std::size_t datagram_limit_bytes = 8'192;

address to_address(sockaddr_in const& from)
{
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &from.sin_addr, text.data(), text.size());
    return address{text.data(), ntohs(from.sin_port)};
}

} // namespace

struct datagrams::state
{
    event_base* base = nullptr;
    receiver received;
    int socket = -1;
    event* readable = nullptr;

    static void on_readable(evutil_socket_t socket, short what, void* argument);
};

void datagrams::state::on_readable(evutil_socket_t socket, short /*what*/,
                                   void* argument)
{
    auto const* self = static_cast<state*>(argument);
    std::array<char, datagram_limit_bytes> bytes;
    for (int turn = 0; turn < turn_limit; ++turn)
    {
        sockaddr_in from{};
        socklen_t from_size = sizeof from;
        ssize_t const size =
            recvfrom(socket, bytes.data(), bytes.size(), 0,
                     reinterpret_cast<sockaddr*>(&from), &from_size);
        if (size < 0)
            return;
        self->received(to_address(from),
                       {bytes.data(), static_cast<std::size_t>(size)});
    }
}

datagrams::datagrams(event_base* base, receiver received)
    : self(std::make_unique<state>())
{
    this->self->base = base;
    this->self->received = std::move(received);
}

datagrams::~datagrams()
{
    if (this->self->readable != nullptr)
        event_free(this->self->readable);
    if (this->self->socket >= 0)
        close(this->self->socket);
}

bool datagrams::bind(address const& where, reason& why)
{
    state& mine = *this->self;
    auto const local = http1::to_sockaddr(where);
    mine.socket =
        ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    bool const is_bound =
        local && mine.socket >= 0 &&
        ::bind(mine.socket, reinterpret_cast<sockaddr const*>(&*local),
               sizeof *local) == 0;
    if (!is_bound)
    {
        why = reason{reason_code::settings_invalid, "cannot bind UDP",
                     to_text(where)};
        return false;
    }
    mine.readable = event_new(mine.base, mine.socket, EV_READ | EV_PERSIST,
                              state::on_readable, &mine);
    event_add(mine.readable, nullptr);
    return true;
}

void datagrams::send(address const& to, std::string_view bytes)
{
    auto const remote = http1::to_sockaddr(to);
    if (!remote || this->self->socket < 0)
        return;
    // A datagram that can't be sent counts as lost.
    [[maybe_unused]] auto const sent =
        sendto(this->self->socket, bytes.data(), bytes.size(), 0,
               reinterpret_cast<sockaddr const*>(&*remote), sizeof *remote);
}

} // namespace jujubestand::loop
