#include <jujubestand/http1/server.hpp>

#include <cerrno>
#include <event2/buffer.h>
#include <jujubestand/http1/server_state.hpp>
#include <jujubestand/http1/sockets.hpp>
#include <jujubestand/http1/writer.hpp>
#include <sys/socket.h>
#include <utility>

namespace jujubestand::http1
{

namespace
{

constexpr int listen_backlog = 512;

} // namespace

server::server(event_base* base, server_events events)
    : self(std::make_unique<state>())
{
    this->self->base = base;
    this->self->events = std::move(events);
}

server::~server() = default;

bool server::listen(address const& where, reason& why)
{
    auto const socket_address = to_sockaddr(where);
    evconnlistener* made = nullptr;
    if (socket_address)
        made = evconnlistener_new_bind(
            this->self->base, state::on_accept, this->self.get(),
            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
            listen_backlog, reinterpret_cast<sockaddr const*>(&*socket_address),
            sizeof *socket_address);
    if (made == nullptr)
    {
        why = reason{reason_code::settings_invalid, "cannot listen",
                     to_text(where)};
        return false;
    }
    evconnlistener_set_error_cb(made, state::on_accept_error);
    this->self->listeners.emplace_back(made);
    return true;
}

void server::set_limits(server_limits limits)
{
    this->self->limits = limits;
}

void server::set_request_limit(std::size_t bytes)
{
    this->self->requests.set_limit(bytes);
    this->self->request_limit = bytes;
}

void server::set_connection_limit(std::size_t count)
{
    this->self->connection_limit = count;
}

void server::set_unread_limit(std::size_t bytes)
{
    this->self->unread.set_limit(bytes);
}

void server::respond(exchange_id exchange, int status,
                     std::vector<http::field> const& fields,
                     std::string_view body)
{
    auto* const open = this->self->find(exchange);
    if (open == nullptr)
        return;
    std::string const head =
        response_head(status, this->self->with_connection(fields, *open),
                      body_framing::length, body.size());
    this->self->write(*open, head);
    this->self->write(*open, body);
    this->self->complete(*open);
}

void server::begin(exchange_id exchange, int status,
                   std::vector<http::field> const& fields)
{
    auto* const open = this->self->find(exchange);
    if (open == nullptr)
        return;
    open->is_started = true;
    std::string const head =
        response_head(status, this->self->with_connection(fields, *open),
                      body_framing::chunked, 0);
    this->self->write(*open, head);
    timeval const unread = to_timeval(write_timeout);
    bufferevent_set_timeouts(open->stream.get(), nullptr, &unread);
}

void server::send(exchange_id exchange, std::string_view bytes)
{
    auto* const open = this->self->find(exchange);
    if (open == nullptr || bytes.empty())
        return;
    this->self->write(*open, chunk(bytes));
}

void server::finish(exchange_id exchange)
{
    auto* const open = this->self->find(exchange);
    if (open == nullptr)
        return;
    this->self->write(*open, last_chunk);
    this->self->complete(*open);
}

void server::abort(exchange_id exchange)
{
    auto* const open = this->self->find(exchange);
    if (open == nullptr)
        return;
    // Without its last chunk the answer is incomplete, but what was sent of
    // it still arrives.
    if (open->is_started)
        this->self->close_after_write(*open);
    else
        this->self->drop(exchange.peer);
}

bool server::has_left(exchange_id exchange) const
{
    auto const* const open = this->self->find(exchange);
    if (open == nullptr)
        return true;
    char first = 0;
    auto const got = recv(bufferevent_getfd(open->stream.get()), &first,
                          sizeof first, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR);
}

void server::drain()
{
    this->self->is_draining = true;
    for (auto const id : this->self->connections.ids())
    {
        auto* const open = this->self->connections.find(id);
        // A caller that has just connected is about to send its request.
        bool const is_idle = open->now == phase::reading &&
                             open->exchanges > 0 && !state::has_input(*open);
        if (is_idle)
            this->self->close_after_write(*open);
    }
}

std::size_t server::busy() const
{
    std::size_t count = 0;
    for (auto const id : this->self->connections.ids())
    {
        auto* const open = this->self->connections.find(id);
        bool const is_unwritten =
            evbuffer_get_length(bufferevent_get_output(open->stream.get())) > 0;
        if (open->now == phase::answering || is_unwritten ||
            (open->now == phase::reading && state::has_input(*open)))
            ++count;
    }
    return count;
}

std::size_t server::connections() const
{
    return this->self->connections.size();
}

} // namespace jujubestand::http1
