// What a server does to stay within its limits when all its clients together
// hold too much.
#include <jujubestand/http1/server_state.hpp>

#include <algorithm>
#include <event2/buffer.h>
#include <jujubestand/http1/sockets.hpp>
#include <jujubestand/http1/writer.hpp>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <utility>

namespace jujubestand::http1
{

namespace
{

/// Requests that hold less are refused only past the limit for small ones.
constexpr std::size_t small_request_bytes = 16'384;

/// Connections with less input read ahead are not closed to free memory.
constexpr std::size_t small_ahead_bytes = 1'024;

constexpr std::chrono::milliseconds report_interval{1'000};

/// Without descriptors, accepting is tried again after this long.
constexpr std::chrono::milliseconds accept_pause{100};

constexpr int status_unavailable = 503;

/// Memory of a text, with what the allocator adds to one on the heap.
std::size_t memory_of(std::string const& text)
{
    constexpr std::size_t within_string = 15;
    constexpr std::size_t allocator_bytes = 16;
    return text.capacity() > within_string ? text.capacity() + allocator_bytes
                                           : 0;
}

} // namespace

std::size_t memory_of(message_head const& head)
{
    std::size_t result = memory_of(head.method) + memory_of(head.target) +
                         head.fields.capacity() * sizeof(http::field);
    for (auto const& field : head.fields)
        result += memory_of(field.name) + memory_of(field.value);
    return result;
}

client_row server::state::row_of(connection const& open, std::size_t held)
{
    client_row result;
    result.id = open.held->id;
    result.held = held;
    result.received = open.received;
    result.unread = unwritten(open);
    result.since = open.since;
    result.moved_at = open.moved_at;
    if (open.now == phase::answering)
        result.stage = client_stage::answering;
    else if (open.now == phase::closing)
        result.stage = client_stage::closing;
    else if (open.is_receiving && result.unread <= unread_pause_bytes)
        result.stage = client_stage::receiving;
    else if (open.exchanges > 0)
        result.stage = client_stage::idle;
    return result;
}

std::vector<client_row> server::state::rows()
{
    std::vector<client_row> result;
    result.reserve(this->connections.size());
    for (auto const id : this->connections.ids())
    {
        auto const& open = *this->connections.find(id);
        auto const* const input = bufferevent_get_input(open.stream.get());
        result.push_back(
            row_of(open, open.message_bytes + evbuffer_get_length(input)));
    }
    return result;
}

// Slower than this, the largest body does not arrive in time.
client_pace server::state::pace() const
{
    std::chrono::duration<double> const span = this->limits.body_timeout;
    client_pace result;
    result.bytes_per_second =
        static_cast<double>(this->limits.message.body_bytes) /
        std::max(span.count(), 1.0);
    return result;
}

void server::state::set_request_bytes(connection& open)
{
    auto const* const input = bufferevent_get_input(open.stream.get());
    this->requests.set(open.held->id,
                       open.message_bytes + evbuffer_get_length(input));
}

// A process that runs late has not seen what the kernel holds of a client, or
// has left nothing for it to read: the client is not the slow one.
bool server::state::is_own_delay(connection const& open)
{
    if (unwritten(open) == 0)
        return open.now == phase::reading && kernel_bytes(open) > 0;
    int unacknowledged = 0;
    auto const descriptor = bufferevent_getfd(open.stream.get());
    return ioctl(descriptor, SIOCOUTQ, &unacknowledged) == 0 &&
           unacknowledged == 0;
}

bool server::state::close_one()
{
    auto const now = mono_now();
    auto const rows = this->rows();
    for (auto const id : closable_clients(rows, this->pace(), now))
    {
        auto const& open = *this->connections.find(id);
        if (is_own_delay(open))
            continue;
        bool const is_idle = open.now == phase::reading && !open.is_receiving;
        this->count(is_idle ? &limited_clients::closed_idle
                            : &limited_clients::closed_slow);
        // The descriptor is free at once, before the next connection is
        // accepted in the same turn of the loop.
        auto* const stream = open.stream.get();
        auto const descriptor = bufferevent_getfd(stream);
        bufferevent_setfd(stream, -1);
        evutil_closesocket(descriptor);
        this->on_closed(id);
        return true;
    }
    return false;
}

// One eighth of the connections is left for those whose requests are being
// read, so that callers can be refused with a reason.
bool server::state::has_room_for_call()
{
    constexpr std::size_t reading_part = 8;
    auto const limit =
        this->connection_limit - this->connection_limit / reading_part;
    if (this->connection_limit == 0 || this->answering < limit)
        return true;
    auto const now = mono_now();
    for (auto const& row : this->rows())
    {
        if (row.stage != client_stage::answering ||
            !is_slow(row, this->pace(), now) ||
            is_own_delay(*this->connections.find(row.id)))
            continue;
        this->count(&limited_clients::closed_slow);
        this->on_closed(row.id);
        return true;
    }
    this->end_pipelining();
    return false;
}

// Clients that send requests ahead keep their pace, and together they could
// hold all connections for as long as they go on. One of them gives its
// connection up after its current answer for each caller that is refused.
void server::state::end_pipelining()
{
    for (auto const id : this->connections.ids())
    {
        auto& open = *this->connections.find(id);
        auto* const input = bufferevent_get_input(open.stream.get());
        if (!open.is_pipelining || open.is_processing ||
            evbuffer_get_length(input) == 0)
            continue;
        if (open.now == phase::answering)
        {
            this->cut_ahead(open);
            return;
        }
        if (open.now == phase::reading)
        {
            this->count(&limited_clients::cut_ahead);
            this->close_after_write(open);
            return;
        }
    }
}

// Requests behind the one that is answered were not looked at: they have not
// run, and the connection closes after the answer.
void server::state::cut_ahead(connection& open)
{
    this->count(&limited_clients::cut_ahead);
    open.is_pipelining = false;
    open.drops_input = true;
    open.is_keep_alive = false;
    this->take_ahead(open);
}

// \returns whether the request, of which bytes have just come, is still read
bool server::state::make_room(peer_id id)
{
    constexpr std::size_t small_part = 2;
    auto const limit = this->request_limit;
    if (limit == 0 || this->requests.total() <= limit)
        return true;
    this->drop_read_ahead();
    this->refuse_slow();
    this->refuse_large();
    auto const* const open = this->connections.find(id);
    if (open == nullptr || open->now != phase::reading)
        return false;
    if (this->requests.total() <= limit + limit / small_part)
        return true;
    this->refuse_no_room(id);
    return false;
}

void server::state::refuse_slow()
{
    auto const limit = this->request_limit;
    auto const total = this->requests.total();
    if (total <= limit)
        return;
    for (auto const id :
         slow_holders(this->rows(), total - limit, this->pace(), mono_now()))
    {
        if (kernel_bytes(*this->connections.find(id)) == 0)
            this->refuse_no_room(id);
    }
}

// Requests that are read whole are the owner's; they end in time and make room.
void server::state::refuse_large()
{
    auto const may_go = [this](peer_id id, std::size_t bytes)
    {
        return this->connections.find(id)->now == phase::reading &&
               bytes >= small_request_bytes;
    };
    for (auto const id : this->requests.excess_of(may_go))
        this->refuse_no_room(id);
}

void server::state::refuse_no_room(peer_id id)
{
    auto* const open = this->connections.find(id);
    this->count(&limited_clients::refused);
    open->is_keep_alive = false;
    if (open->request.head.method.empty() || !this->events.on_no_room)
    {
        this->refuse_unread(id);
        return;
    }
    auto const request = std::exchange(open->request, {});
    open->message_bytes = 0;
    this->begin_answer(*open);
    this->events.on_no_room({id, open->exchanges}, request.head);
}

// Refuses a client whose request's head has not come.
void server::state::refuse_unread(peer_id id)
{
    auto* const open = this->connections.find(id);
    open->is_keep_alive = false;
    this->write(*open, response_head(
                           status_unavailable,
                           this->with_connection({{"Retry-After", "1"}}, *open),
                           body_framing::length, 0));
    this->close_after_write(*open);
}

void server::state::drop_read_ahead()
{
    for (auto const id : this->connections.ids())
    {
        auto& open = *this->connections.find(id);
        auto* const input = bufferevent_get_input(open.stream.get());
        if (open.now != phase::answering ||
            evbuffer_get_length(input) <= small_ahead_bytes)
            continue;
        if (this->requests.total() <= this->request_limit)
            return;
        this->cut_ahead(open);
    }
}

void server::state::take_ahead(connection& open)
{
    auto* const input = bufferevent_get_input(open.stream.get());
    open.is_pipelining = !open.drops_input && evbuffer_get_length(input) > 0;
    if (open.drops_input)
        evbuffer_drain(input, evbuffer_get_length(input));
    this->set_request_bytes(open);
    if (!open.drops_input && this->request_limit > 0 &&
        this->requests.total() > this->request_limit)
        this->drop_read_ahead();
}

void server::state::count(std::uint64_t limited_clients::*counter)
{
    ++(this->limited.*counter);
    if (!this->events.on_limited)
        return;
    if (!this->limited_timer)
        this->limited_timer.reset(
            evtimer_new(this->base, on_limited_timer, this));
    if (evtimer_pending(this->limited_timer.get(), nullptr) != 0)
        return;
    auto const due = this->limited_reported_at + report_interval;
    auto const left =
        std::max(std::chrono::ceil<std::chrono::milliseconds>(due - mono_now()),
                 std::chrono::milliseconds{0});
    timeval const span = to_timeval(left);
    evtimer_add(this->limited_timer.get(), &span);
}

void server::state::on_limited_timer(evutil_socket_t /*socket*/, short /*what*/,
                                     void* argument)
{
    auto& self = *static_cast<state*>(argument);
    auto report = std::exchange(self.limited, {});
    report.connections = self.connections.size();
    report.held_bytes = self.requests.total();
    self.limited_reported_at = mono_now();
    self.events.on_limited(report);
}

// The kernel would report the same waiting connection again at once, and the
// loop would do nothing else.
void server::state::on_accept_error(evconnlistener* /*listener*/,
                                    void* argument)
{
    auto& self = *static_cast<state*>(argument);
    if (!self.close_one())
        self.count(&limited_clients::turned_away);
    for (auto const& listener : self.listeners)
        evconnlistener_disable(listener.get());
    if (!self.accept_timer)
        self.accept_timer.reset(
            evtimer_new(self.base, on_accept_timer, argument));
    timeval const span = to_timeval(accept_pause);
    evtimer_add(self.accept_timer.get(), &span);
}

void server::state::on_accept_timer(evutil_socket_t /*socket*/, short /*what*/,
                                    void* argument)
{
    auto const& self = *static_cast<state*>(argument);
    for (auto const& listener : self.listeners)
        evconnlistener_enable(listener.get());
}

} // namespace jujubestand::http1
