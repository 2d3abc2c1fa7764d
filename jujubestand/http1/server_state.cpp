#include <jujubestand/http1/server_state.hpp>

#include <algorithm>
#include <event2/buffer.h>
#include <jujubestand/http1/sockets.hpp>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <utility>

namespace jujubestand::http1
{

namespace
{

body_framing framing_of_answer(message_head const& request)
{
    if (request.method == "HEAD")
        return body_framing::none;
    return request.takes_chunks ? body_framing::chunked : body_framing::close;
}

} // namespace

void server::state::on_accept(evconnlistener* /*listener*/,
                              evutil_socket_t socket, sockaddr* /*from*/,
                              int /*size*/, void* argument)
{
    static_cast<state*>(argument)->accept(socket);
}

void server::state::on_read(bufferevent* /*stream*/, void* argument)
{
    auto const* held = static_cast<context*>(argument);
    held->owner->process(held->id);
}

void server::state::on_write(bufferevent* /*stream*/, void* argument)
{
    auto const* held = static_cast<context*>(argument);
    held->owner->on_written(held->id);
}

void server::state::on_event(bufferevent* /*stream*/, short what,
                             void* argument)
{
    auto const* held = static_cast<context*>(argument);
    constexpr short ended = BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT;
    if ((what & ended) != 0)
        held->owner->on_closed(held->id);
}

void server::state::accept(evutil_socket_t socket)
{
    auto const limit = this->connection_limit;
    bool const is_turned_away =
        limit > 0 && this->connections.size() >= limit && !this->close_one();
    if (is_turned_away)
    {
        this->count(&limited_clients::turned_away);
        this->end_pipelining();
    }
    // A few more are kept until they have received their refusal.
    if (is_turned_away &&
        this->connections.size() >= limit + limit / turned_away_part + 1)
    {
        evutil_closesocket(socket);
        return;
    }
    set_no_delay(socket);
    auto held = std::make_unique<context>();
    held->owner = this;
    context* const argument = held.get();
    auto* const stream =
        bufferevent_socket_new(this->base, socket, BEV_OPT_CLOSE_ON_FREE);
    auto const now = mono_now();
    argument->id = this->connections.insert(
        connection{std::move(held),
                   stream_ptr(stream),
                   reader(message_kind::request, this->limits.message),
                   phase::reading,
                   0,
                   {},
                   true,
                   body_framing::chunked,
                   false,
                   false,
                   false,
                   false,
                   false,
                   0,
                   0,
                   now,
                   now,
                   now});
    bufferevent_setwatermark(stream, EV_READ, 0, input_limit_bytes);
    bufferevent_setcb(stream, on_read, on_write, on_event, argument);
    evbuffer_add_cb(bufferevent_get_input(stream), on_input, argument);
    evbuffer_add_cb(bufferevent_get_output(stream), on_output, argument);
    this->watch_reading(*this->connections.find(argument->id));
    bufferevent_enable(stream, EV_READ | EV_WRITE);
    if (is_turned_away)
        this->refuse_unread(argument->id);
}

void server::state::on_input(evbuffer* /*input*/, evbuffer_cb_info const* info,
                             void* argument)
{
    auto const* held = static_cast<context*>(argument);
    auto* const open = held->owner->connections.find(held->id);
    if (open == nullptr || info->n_added == 0)
        return;
    open->received += info->n_added;
    open->moved_at = mono_now();
}

void server::state::on_output(evbuffer* output, evbuffer_cb_info const* info,
                              void* argument)
{
    auto const* held = static_cast<context*>(argument);
    held->owner->unread.set(held->id, evbuffer_get_length(output));
    auto* const open = held->owner->connections.find(held->id);
    // Bytes that wait for no earlier ones begin a new wait.
    if (open != nullptr && (info->n_deleted > 0 || info->orig_size == 0))
        open->moved_at = mono_now();
}

std::size_t server::state::kernel_bytes(connection const& open)
{
    int unread = 0;
    auto const descriptor = bufferevent_getfd(open.stream.get());
    return ioctl(descriptor, FIONREAD, &unread) == 0 && unread > 0
               ? static_cast<std::size_t>(unread)
               : 0;
}

std::size_t server::state::unwritten(connection const& open)
{
    return evbuffer_get_length(bufferevent_get_output(open.stream.get()));
}

// Bytes of a request that were read, or that the kernel still holds: a process
// that runs late has not seen those.
bool server::state::has_input(connection const& open)
{
    return open.input.is_within_message() ||
           evbuffer_get_length(bufferevent_get_input(open.stream.get())) > 0 ||
           kernel_bytes(open) > 0;
}

// The timeout of a request does not start again with each byte, unless this
// process is late and the kernel holds more of them.
void server::state::watch_reading(connection& open) const
{
    auto const received =
        evbuffer_get_length(bufferevent_get_input(open.stream.get()));
    auto const unread_bytes = unwritten(open);
    auto const now = mono_now();
    timeval const unread_limit = to_timeval(write_timeout);
    bool const is_receiving = received > 0 || open.input.is_within_message();
    if (is_receiving && !open.is_receiving)
    {
        open.since = now;
        open.received = std::max(received, open.request.body.size());
        // The end of a body is due from its head on; `read_some` sets it.
        if (!open.input.is_within_message())
            open.due = now + this->limits.head_timeout;
    }
    open.is_receiving = is_receiving;
    // The client is not waited for while it has answers to read.
    if (unread_bytes > unread_pause_bytes ||
        (unread_bytes > 0 && !is_receiving))
    {
        bufferevent_set_timeouts(open.stream.get(), nullptr, &unread_limit);
        return;
    }
    auto left =
        is_receiving ? this->limits.head_timeout : this->limits.idle_timeout;
    if (is_receiving && kernel_bytes(open) == 0)
        left = std::clamp(
            std::chrono::ceil<std::chrono::milliseconds>(open.due - now),
            std::chrono::milliseconds{1}, left);
    timeval const limit = to_timeval(left);
    bufferevent_set_timeouts(open.stream.get(), &limit, &unread_limit);
}

void server::state::watch_closing(connection& open)
{
    auto const left = std::clamp(
        std::chrono::ceil<std::chrono::milliseconds>(open.due - mono_now()),
        std::chrono::milliseconds{1}, linger_timeout);
    timeval const limit = to_timeval(left);
    timeval const unread_limit = to_timeval(linger_timeout);
    bufferevent_set_timeouts(open.stream.get(), &limit, &unread_limit);
}

// `is_processing` keeps an answer that is given from within the callback
// from reading the next request a second time.
void server::state::process(peer_id id)
{
    connection* open = this->connections.find(id);
    if (open == nullptr || open->is_processing)
        return;
    if (open->now == phase::closing)
    {
        auto* const input = bufferevent_get_input(open->stream.get());
        evbuffer_drain(input, evbuffer_get_length(input));
        watch_closing(*open);
        return;
    }
    if (open->now == phase::answering)
    {
        this->take_ahead(*open);
        return;
    }
    open->is_processing = true;
    while (this->read_some(id))
    {
    }
    open = this->connections.find(id);
    if (open == nullptr)
        return;
    open->is_processing = false;
    if (open->now == phase::reading)
        this->watch_reading(*open);
}

// \returns whether another request may be read at once
bool server::state::read_some(peer_id id)
{
    connection* open = this->connections.find(id);
    if (open == nullptr || open->now != phase::reading ||
        unwritten(*open) > unread_pause_bytes)
        return false;
    auto found = open->input.read(bufferevent_get_input(open->stream.get()));
    bool const begins = found.head.has_value();
    if (begins)
    {
        open->is_keep_alive = found.head->is_keep_alive;
        open->framing = framing_of_answer(*found.head);
        open->request.head = std::move(*found.head);
        open->message_bytes = memory_of(open->request.head);
        open->due = mono_now() + this->limits.body_timeout;
        if (!found.failure &&
            http::find_header(open->request.head.fields, "Expect"))
            bufferevent_write(open->stream.get(),
                              "HTTP/1.1 100 Continue\r\n\r\n", 25);
    }
    open->request.body += found.body;
    open->message_bytes += found.body.size();
    this->set_request_bytes(*open);
    if (found.failure)
    {
        this->refuse(id, *found.failure);
        return false;
    }
    if (begins && !this->has_room_for_call())
    {
        this->refuse_no_room(id);
        return false;
    }
    if (!this->make_room(id) || !found.is_complete)
        return false;
    open = this->connections.find(id);
    this->begin_answer(*open);
    exchange_id const exchange{id, open->exchanges};
    this->events.on_request(exchange, std::exchange(open->request, {}));
    open = this->connections.find(id);
    return open != nullptr && open->now == phase::reading &&
           evbuffer_get_length(bufferevent_get_input(open->stream.get())) > 0;
}

void server::state::on_closed(peer_id id)
{
    connection* open = this->connections.find(id);
    if (open == nullptr)
        return;
    bool const is_waiting = open->now == phase::answering;
    exchange_id const exchange{id, open->exchanges};
    this->drop(id);
    if (is_waiting)
        this->events.on_gone(exchange);
}

void server::state::drop(peer_id id)
{
    if (auto* const open = this->connections.find(id))
        this->end_answer(*open, phase::closing);
    this->requests.erase(id);
    this->unread.erase(id);
    this->connections.erase(id);
}

server::state::connection* server::state::find(exchange_id exchange)
{
    connection* open = this->connections.find(exchange.peer);
    bool const is_current = open != nullptr &&
                            open->exchanges == exchange.number &&
                            open->now == phase::answering;
    return is_current ? open : nullptr;
}

} // namespace jujubestand::http1
