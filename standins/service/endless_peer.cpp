#include <standins/service/endless_peer.hpp>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <jujubestand/http1/sockets.hpp>
#include <stdexcept>
#include <sys/socket.h>
#include <utility>

namespace jujubestand::standins
{

namespace
{

constexpr std::size_t fill_bytes = 64U << 10U;

} // namespace

void endless_peer::buffer_deleter::operator()(
    bufferevent* buffer) const noexcept
{
    bufferevent_free(buffer);
}

void endless_peer::listener_deleter::operator()(
    evconnlistener* made) const noexcept
{
    evconnlistener_free(made);
}

endless_peer::endless_peer(event_base* loop, address const& where,
                           std::string first, std::string repeated)
    : base(loop)
    , beginning(std::move(first))
{
    while (!repeated.empty() && this->filler.size() < fill_bytes)
        this->filler += repeated;
    auto const local = http1::to_sockaddr(where);
    constexpr int backlog = 128;
    this->listener.reset(evconnlistener_new_bind(
        loop,
        [](evconnlistener*, evutil_socket_t socket, sockaddr*, int,
           void* context)
        {
            static_cast<endless_peer*>(context)->accept(socket);
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, backlog,
        reinterpret_cast<sockaddr const*>(&*local), sizeof *local));
    if (!this->listener)
        throw std::runtime_error("cannot listen at " + to_text(where));
}

address endless_peer::bound() const
{
    sockaddr_in local{};
    socklen_t size = sizeof local;
    ::getsockname(evconnlistener_get_fd(this->listener.get()),
                  reinterpret_cast<sockaddr*>(&local), &size);
    std::string host(INET_ADDRSTRLEN, '\0');
    ::inet_ntop(AF_INET, &local.sin_addr, host.data(), INET_ADDRSTRLEN);
    host.resize(host.find('\0'));
    return {host, ntohs(local.sin_port)};
}

std::size_t endless_peer::open() const noexcept
{
    return this->connections.size();
}

void endless_peer::accept(evutil_socket_t socket)
{
    auto& added = this->connections[socket];
    added.owner = this;
    added.buffer.reset(
        bufferevent_socket_new(this->base, socket, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(
        added.buffer.get(),
        [](bufferevent* buffer, void* context)
        {
            auto* const input = bufferevent_get_input(buffer);
            evbuffer_drain(input, evbuffer_get_length(input));
            auto& target = *static_cast<connection*>(context);
            if (!std::exchange(target.has_begun, true))
                target.owner->begin(target);
        },
        [](bufferevent*, void* context)
        {
            auto& target = *static_cast<connection*>(context);
            if (target.has_begun)
                target.owner->fill(target);
        },
        [](bufferevent* buffer, short, void* context)
        {
            auto* const owner = static_cast<connection*>(context)->owner;
            owner->connections.erase(bufferevent_getfd(buffer));
        },
        &added);
    bufferevent_enable(added.buffer.get(), EV_READ | EV_WRITE);
}

void endless_peer::begin(connection& target) const
{
    bufferevent_write(target.buffer.get(), this->beginning.data(),
                      this->beginning.size());
    this->fill(target);
}

void endless_peer::fill(connection& target) const
{
    bufferevent_write(target.buffer.get(), this->filler.data(),
                      this->filler.size());
}

} // namespace jujubestand::standins
