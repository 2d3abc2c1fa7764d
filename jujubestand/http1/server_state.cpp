#include <jujubestand/http1/server_state.hpp>

#include <event2/buffer.h>
#include <jujubestand/http1/sockets.hpp>
#include <jujubestand/http1/writer.hpp>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <utility>

namespace jujubestand::http1
{

namespace
{

/// How long a connection that we end is still read, so that the caller
/// receives the answer instead of a reset.
constexpr std::chrono::milliseconds linger_timeout{1'000};

/// Requests with less of a body are not refused for want of room.
constexpr std::size_t small_body_bytes = 16'384;

/// Bytes of later requests that wait while one is answered.
constexpr std::size_t read_ahead_bytes = 65'536;

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
    set_no_delay(socket);
    auto held = std::make_unique<context>();
    held->owner = this;
    context* const argument = held.get();
    auto* const stream =
        bufferevent_socket_new(this->base, socket, BEV_OPT_CLOSE_ON_FREE);
    argument->id = this->connections.insert(
        connection{std::move(held),
                   stream_ptr(stream),
                   reader(message_kind::request, this->limits.message),
                   phase::reading,
                   0,
                   {},
                   true,
                   false,
                   false});
    bufferevent_setwatermark(stream, EV_READ, 0, read_ahead_bytes);
    bufferevent_setcb(stream, on_read, on_write, on_event, argument);
    evbuffer_add_cb(bufferevent_get_output(stream), on_output, argument);
    this->watch_reading(*this->connections.find(argument->id));
    bufferevent_enable(stream, EV_READ | EV_WRITE);
}

void server::state::on_output(evbuffer* output,
                              evbuffer_cb_info const* /*info*/, void* argument)
{
    auto const* held = static_cast<context*>(argument);
    held->owner->unread.set(held->id, evbuffer_get_length(output));
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

// Bytes of a request that were read, or that the kernel still holds: a process
// that runs late has not seen those.
bool server::state::has_input(connection const& open)
{
    auto* const stream = open.stream.get();
    if (open.input.is_within_message() ||
        evbuffer_get_length(bufferevent_get_input(stream)) > 0)
        return true;
    int unread = 0;
    return ioctl(bufferevent_getfd(stream), FIONREAD, &unread) == 0 &&
           unread > 0;
}

void server::state::watch_reading(connection& open) const
{
    bool const is_idle =
        evbuffer_get_length(bufferevent_get_input(open.stream.get())) == 0 &&
        !open.input.is_within_message();
    timeval const limit = to_timeval(is_idle ? this->limits.idle_timeout
                                             : this->limits.head_timeout);
    timeval const unread_limit = to_timeval(write_timeout);
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
    if (open == nullptr || open->now != phase::reading)
        return false;
    auto found = open->input.read(bufferevent_get_input(open->stream.get()));
    if (found.head)
    {
        open->is_keep_alive = found.head->is_keep_alive;
        open->request.head = std::move(*found.head);
        if (http::find_header(open->request.head.fields, "Expect"))
            bufferevent_write(open->stream.get(),
                              "HTTP/1.1 100 Continue\r\n\r\n", 25);
    }
    open->request.body += found.body;
    this->bodies.set(id, open->request.body.size());
    if (found.failure)
    {
        this->refuse(id, *found.failure);
        return false;
    }
    if (!found.is_complete)
    {
        this->refuse_excess();
        return false;
    }
    this->begin_answer(*open);
    exchange_id const exchange{id, open->exchanges};
    this->events.on_request(exchange, std::exchange(open->request, {}));
    open = this->connections.find(id);
    return open != nullptr && open->now == phase::reading &&
           evbuffer_get_length(bufferevent_get_input(open->stream.get())) > 0;
}

void server::state::begin_answer(connection& open) const
{
    open.now = phase::answering;
    open.is_started = false;
    ++open.exchanges;
    bufferevent_set_timeouts(open.stream.get(), nullptr, nullptr);
}

// Requests that are read whole are the owner's; they end in time and make room.
void server::state::refuse_excess()
{
    auto const may_go = [this](peer_id id, std::size_t bytes)
    {
        return this->connections.find(id)->now == phase::reading &&
               bytes >= small_body_bytes;
    };
    for (auto const id : this->bodies.excess_of(may_go))
    {
        auto* const open = this->connections.find(id);
        open->is_keep_alive = false;
        this->begin_answer(*open);
        this->bodies.erase(id);
        auto const request = std::exchange(open->request, {});
        this->events.on_no_room({id, open->exchanges}, request.head);
    }
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
    this->bodies.erase(open.held->id);
    open.now = phase::closing;
    timeval const limit = to_timeval(linger_timeout);
    bufferevent_set_timeouts(open.stream.get(), &limit, &limit);
    if (evbuffer_get_length(bufferevent_get_output(open.stream.get())) == 0)
        shutdown(bufferevent_getfd(open.stream.get()), SHUT_WR);
}

void server::state::on_written(peer_id id)
{
    connection* open = this->connections.find(id);
    if (open != nullptr && open->now == phase::closing)
        shutdown(bufferevent_getfd(open->stream.get()), SHUT_WR);
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
    this->bodies.erase(id);
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
    this->bodies.erase(open.held->id);
    if (!open.is_keep_alive || this->is_draining)
    {
        this->close_after_write(open);
        return;
    }
    open.now = phase::reading;
    open.input.reset();
    this->watch_reading(open);
    // A request that waits in the input brings no further read event.
    if (evbuffer_get_length(bufferevent_get_input(open.stream.get())) > 0)
        bufferevent_trigger(open.stream.get(), EV_READ,
                            BEV_TRIG_IGNORE_WATERMARKS |
                                BEV_TRIG_DEFER_CALLBACKS);
}

} // namespace jujubestand::http1
