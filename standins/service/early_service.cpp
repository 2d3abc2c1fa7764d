#include <standins/service/early_service.hpp>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <jujubestand/http1/sockets.hpp>
#include <stdexcept>
#include <string_view>
#include <sys/socket.h>
#include <utility>

namespace jujubestand::standins
{

namespace
{

constexpr std::string_view id_mark = "%ID%";
constexpr std::string_view id_field = "X-Request-Id: ";
constexpr std::string_view line_end = "\r\n";

std::string request_id_in(std::string_view head)
{
    auto const field = head.find(id_field);
    if (field == std::string_view::npos)
        return {};
    auto const first = field + id_field.size();
    return std::string(head.substr(first, head.find(line_end, first) - first));
}

std::string with_id(std::string text, std::string const& id)
{
    auto const mark = text.find(id_mark);
    return mark == std::string::npos ? text
                                     : text.replace(mark, id_mark.size(), id);
}

} // namespace

void early_service::buffer_deleter::operator()(
    bufferevent* buffer) const noexcept
{
    bufferevent_free(buffer);
}

void early_service::listener_deleter::operator()(
    evconnlistener* made) const noexcept
{
    evconnlistener_free(made);
}

early_service::early_service(event_base* loop, address const& where,
                             std::string bytes)
    : base(loop)
    , response(std::move(bytes))
{
    auto const local = http1::to_sockaddr(where);
    constexpr int backlog = 128;
    this->listener.reset(evconnlistener_new_bind(
        loop,
        [](evconnlistener*, evutil_socket_t socket, sockaddr*, int,
           void* context)
        {
            static_cast<early_service*>(context)->accept(socket);
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, backlog,
        reinterpret_cast<sockaddr const*>(&*local), sizeof *local));
    if (!this->listener)
        throw std::runtime_error("cannot listen at " + to_text(where));
    // Most of a large request stays with its sender.
    constexpr int window_bytes = 4'096;
    ::setsockopt(evconnlistener_get_fd(this->listener.get()), SOL_SOCKET,
                 SO_RCVBUF, &window_bytes, sizeof window_bytes);
}

address early_service::bound() const
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

std::size_t early_service::requests() const noexcept
{
    return this->count;
}

void early_service::respond_with(std::string bytes)
{
    this->response = std::move(bytes);
}

void early_service::end(early_end how)
{
    for (auto row = this->connections.begin(); row != this->connections.end();)
    {
        auto const socket = row->first;
        if (!row->second.has_responded)
        {
            ++row;
            continue;
        }
        if (how == early_end::fin)
        {
            ::shutdown(socket, SHUT_WR);
            ++row;
            continue;
        }
        http1::set_reset_on_close(socket);
        row = this->connections.erase(row);
    }
}

void early_service::accept(evutil_socket_t socket)
{
    auto& added = this->connections[socket];
    added.owner = this;
    added.buffer.reset(
        bufferevent_socket_new(this->base, socket, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(
        added.buffer.get(),
        [](bufferevent*, void* context)
        {
            auto& target = *static_cast<connection*>(context);
            target.owner->read(target);
        },
        nullptr,
        [](bufferevent* buffer, short, void* context)
        {
            auto* const owner = static_cast<connection*>(context)->owner;
            owner->connections.erase(bufferevent_getfd(buffer));
        },
        &added);
    bufferevent_enable(added.buffer.get(), EV_READ | EV_WRITE);
}

void early_service::read(connection& target)
{
    constexpr std::string_view head_end = "\r\n\r\n";
    auto* const input = bufferevent_get_input(target.buffer.get());
    auto const found =
        evbuffer_search(input, head_end.data(), head_end.size(), nullptr);
    if (target.has_responded || found.pos < 0)
        return;
    auto const size = static_cast<ev_ssize_t>(found.pos);
    auto const* const bytes =
        reinterpret_cast<char const*>(evbuffer_pullup(input, size));
    auto const id = request_id_in({bytes, static_cast<std::size_t>(found.pos)});
    auto const own = with_id(this->response, id);
    bufferevent_disable(target.buffer.get(), EV_READ);
    bufferevent_write(target.buffer.get(), own.data(), own.size());
    target.has_responded = true;
    ++this->count;
}

} // namespace jujubestand::standins
