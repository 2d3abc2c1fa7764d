#include <jujubestand/http1/server_state.hpp>

#include <algorithm>
#include <event2/buffer.h>
#include <jujubestand/http1/sockets.hpp>
#include <jujubestand/http1/writer.hpp>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <utility>

namespace jujubestand::http1
{

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
        this->count(&limited_clients::turned_away);
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

void server::state::write(connection& open, std::string_view bytes)
{
    bufferevent_write(open.stream.get(), bytes.data(), bytes.size());
    this->drop_excess();
}

// The connections are closed from the loop, since the owner may be in the
// middle of an answer.
void server::state::drop_excess()
{
    for (auto const id : this->unread.excess())
    {
        auto* const stream = this->connections.find(id)->stream.get();
        this->unread.erase(id);
        evbuffer_remove_cb(bufferevent_get_output(stream), on_output,
                           this->connections.find(id)->held.get());
        bufferevent_trigger_event(stream, BEV_EVENT_ERROR,
                                  BEV_TRIG_DEFER_CALLBACKS);
    }
}

std::size_t server::state::kernel_bytes(connection const& open)
{
    int unread = 0;
    auto const descriptor = bufferevent_getfd(open.stream.get());
    return ioctl(descriptor, FIONREAD, &unread) == 0 && unread > 0
               ? static_cast<std::size_t>(unread)
               : 0;
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
    auto const unwritten =
        evbuffer_get_length(bufferevent_get_output(open.stream.get()));
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
    if (unwritten > unread_pause_bytes || (unwritten > 0 && !is_receiving))
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
        evbuffer_get_length(bufferevent_get_output(open->stream.get())) >
            unread_pause_bytes)
        return false;
    auto found = open->input.read(bufferevent_get_input(open->stream.get()));
    bool const begins = found.head.has_value();
    if (begins)
    {
        open->is_keep_alive = found.head->is_keep_alive;
        open->request.head = std::move(*found.head);
        open->message_bytes = memory_of(open->request.head);
        open->due = mono_now() + this->limits.body_timeout;
        if (http::find_header(open->request.head.fields, "Expect"))
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

// The owner keeps a copy of the fields that it passes on.
void server::state::begin_answer(connection& open)
{
    open.now = phase::answering;
    ++this->answering;
    open.is_started = false;
    open.is_receiving = false;
    open.since = mono_now();
    ++open.exchanges;
    open.message_bytes += memory_of(open.request.head);
    this->set_request_bytes(open);
    bufferevent_setwatermark(open.stream.get(), EV_READ, 0, read_ahead_bytes);
    bufferevent_set_timeouts(open.stream.get(), nullptr, nullptr);
}

void server::state::end_answer(connection& open, phase next)
{
    if (open.now == phase::answering)
        --this->answering;
    open.now = next;
    open.since = mono_now();
    open.is_receiving = false;
    open.message_bytes = 0;
}

void server::state::refuse(peer_id id, reason const& why)
{
    connection* open = this->connections.find(id);
    int const status = why.code == reason_code::body_too_large ? 413 : 400;
    open->is_keep_alive = false;
    std::string const head =
        response_head(status, this->with_connection({}, *open),
                      body_framing::length, why.text.size());
    this->write(*open, head);
    this->write(*open, why.text);
    this->close_after_write(*open);
}

void server::state::close_after_write(connection& open)
{
    this->end_answer(open, phase::closing);
    this->requests.erase(open.held->id);
    open.request = {};
    // A caller that sends its whole body first receives the answer after it.
    open.due = mono_now() + this->limits.body_timeout;
    auto* const input = bufferevent_get_input(open.stream.get());
    evbuffer_drain(input, evbuffer_get_length(input));
    bufferevent_setwatermark(open.stream.get(), EV_READ, 0, input_limit_bytes);
    watch_closing(open);
    if (evbuffer_get_length(bufferevent_get_output(open.stream.get())) == 0)
        shutdown(bufferevent_getfd(open.stream.get()), SHUT_WR);
}

void server::state::on_written(peer_id id)
{
    connection* open = this->connections.find(id);
    if (open != nullptr && open->now == phase::closing)
        shutdown(bufferevent_getfd(open->stream.get()), SHUT_WR);
    if (open == nullptr || open->now != phase::reading || open->is_processing)
        return;
    this->watch_reading(*open);
    this->read_again(*open);
}

// A request that waits in the input brings no further read event.
void server::state::read_again(connection& open)
{
    if (evbuffer_get_length(bufferevent_get_input(open.stream.get())) > 0)
        bufferevent_trigger(open.stream.get(), EV_READ,
                            BEV_TRIG_IGNORE_WATERMARKS |
                                BEV_TRIG_DEFER_CALLBACKS);
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

std::vector<http::field>
server::state::with_connection(std::vector<http::field> fields,
                               connection const& open) const
{
    if (!open.is_keep_alive || this->is_draining)
        fields.push_back({"Connection", "close"});
    return fields;
}

void server::state::complete(connection& open)
{
    if (!open.is_keep_alive || this->is_draining)
    {
        this->close_after_write(open);
        return;
    }
    this->end_answer(open, phase::reading);
    open.input.reset();
    this->set_request_bytes(open);
    bufferevent_setwatermark(open.stream.get(), EV_READ, 0, input_limit_bytes);
    this->watch_reading(open);
    read_again(open);
}

} // namespace jujubestand::http1
