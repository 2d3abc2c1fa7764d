#include <jujubestand/http1/server.hpp>

#include <cerrno>
#include <event2/buffer.h>
#include <jujubestand/http1/server_state.hpp>
#include <jujubestand/http1/sockets.hpp>
#include <jujubestand/http1/writer.hpp>
#include <jujubestand/link/socket_address.hpp>
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
    auto socket_address = link::to_socket_address(where);
    evconnlistener* made = nullptr;
    if (socket_address)
        made = evconnlistener_new_bind(
            this->self->base, state::on_accept, this->self.get(),
            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
            listen_backlog, socket_address->get(),
            static_cast<int>(socket_address->length));
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

address server::bound() const
{
    if (this->self->listeners.empty())
        return {};
    auto const& latest = this->self->listeners.back();
    return link::bound_address(evconnlistener_get_fd(latest.get()))
        .value_or(address{});
}

void server::stop_accepting()
{
    this->self->listeners.clear();
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
    if (open->framing != body_framing::none)
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
    open->is_keep_alive =
        open->is_keep_alive && open->framing != body_framing::close;
    std::string const head = response_head(
        status, this->self->with_connection(fields, *open), open->framing, 0);
    this->self->write(*open, head);
    timeval const unread = to_timeval(write_timeout);
    bufferevent_set_timeouts(open->stream.get(), nullptr, &unread);
}

void server::send(exchange_id exchange, std::string_view bytes)
{
    auto* const open = this->self->find(exchange);
    if (open == nullptr || bytes.empty() || open->framing == body_framing::none)
        return;
    if (open->framing == body_framing::chunked)
        this->self->write(*open, chunk(bytes));
    else
        this->self->write(*open, bytes);
}

void server::finish(exchange_id exchange)
{
    auto* const open = this->self->find(exchange);
    if (open == nullptr)
        return;
    if (open->framing == body_framing::chunked)
        this->self->write(*open, last_chunk);
    this->self->complete(*open);
}

void server::abort(exchange_id exchange)
{
    auto* const open = this->self->find(exchange);
    if (open == nullptr)
        return;
    // Without its last chunk the answer is incomplete, but what was sent of
    // it still arrives. An answer that ends with its connection is incomplete
    // only if that is reset, which drops what has not been written.
    if (open->is_started && open->framing == body_framing::chunked)
    {
        this->self->close_after_write(*open);
        return;
    }
    if (open->is_started)
        set_reset_on_close(bufferevent_getfd(open->stream.get()));
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

std::string server::peer_host(exchange_id exchange) const
{
    auto const* const open = this->self->find(exchange);
    if (open == nullptr)
        return {};
    link::socket_address peer;
    peer.length = sizeof peer.storage;
    if (getpeername(bufferevent_getfd(open->stream.get()), peer.get(),
                    &peer.length) != 0)
        return {};
    return link::to_address(peer.get(), peer.length).value_or(address{}).host;
}

std::size_t server::unwritten_bytes(exchange_id exchange) const
{
    auto const* const open = this->self->find(exchange);
    return open == nullptr ? 0 : state::unwritten(*open);
}

std::size_t server::unfinished() const
{
    std::size_t count = 0;
    for (auto const id : this->self->connections.ids())
    {
        auto const& open = *this->self->connections.find(id);
        count += open.now == phase::answering || state::unwritten(open) > 0;
    }
    return count;
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
        auto const& open = *this->self->connections.find(id);
        if (open.now == phase::answering || state::unwritten(open) > 0 ||
            (open.now == phase::reading && state::has_input(open)))
            ++count;
    }
    return count;
}

std::size_t server::connections() const
{
    return this->self->connections.size();
}

} // namespace jujubestand::http1
