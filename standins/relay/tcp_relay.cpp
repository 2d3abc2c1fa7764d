#include <standins/relay/tcp_relay.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <standins/support/program.hpp>
#include <stdexcept>
#include <vector>

namespace jujubestand::standins
{

namespace
{

constexpr std::size_t parcels_limit_bytes = 4U << 20U;
constexpr std::size_t output_limit_bytes = 1U << 20U;
constexpr std::int64_t microseconds_per_second = 1'000'000;
constexpr microseconds busy_wait{1'000};
constexpr microseconds stalled_wait{10'000};

sockaddr_in socket_address(address const& where)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(where.port);
    if (::inet_pton(AF_INET, where.host.c_str(), &result.sin_addr) != 1)
        throw std::runtime_error("no IPv4 address: " + where.host);
    return result;
}

void send_at_once(bufferevent* buffer)
{
    int const on = 1;
    ::setsockopt(bufferevent_getfd(buffer), IPPROTO_TCP, TCP_NODELAY, &on,
                 sizeof(on));
}

} // namespace

void tcp_relay::buffer_deleter::operator()(bufferevent* buffer) const noexcept
{
    bufferevent_free(buffer);
}

void tcp_relay::listener_deleter::operator()(
    evconnlistener* made) const noexcept
{
    evconnlistener_free(made);
}

tcp_relay::tcp_relay(event_base* loop, address const& where, address const& to,
                     address const& control_where,
                     relay_switches const& initial)
    : base(loop)
    , target_address(to)
    , control(loop, control_where)
    , switches(initial)
{
    sockaddr_in const listen_at = socket_address(where);
    this->listener.reset(evconnlistener_new_bind(
        loop,
        [](evconnlistener*, evutil_socket_t socket, sockaddr*, int,
           void* context)
        {
            static_cast<tcp_relay*>(context)->accept(socket);
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
        reinterpret_cast<sockaddr const*>(&listen_at), sizeof(listen_at)));
    if (!this->listener)
        throw std::runtime_error("cannot listen at " + to_text(where));
    serve_switches(this->control, this->switches,
                   [this]
                   {
                       this->switches_changed();
                   });
}

tcp_relay::~tcp_relay() = default;

void tcp_relay::set(relay_switches const& chosen)
{
    this->switches = chosen;
    this->switches_changed();
}

address tcp_relay::bound() const
{
    sockaddr_in named{};
    socklen_t length = sizeof(named);
    ::getsockname(evconnlistener_get_fd(this->listener.get()),
                  reinterpret_cast<sockaddr*>(&named), &length);
    std::array<char, INET_ADDRSTRLEN> text{};
    ::inet_ntop(AF_INET, &named.sin_addr, text.data(), text.size());
    return {text.data(), ntohs(named.sin_port)};
}

address tcp_relay::control_bound() const
{
    return this->control.bound();
}

void tcp_relay::accept(evutil_socket_t socket)
{
    if (this->switches.cut)
    {
        evutil_closesocket(socket);
        return;
    }
    std::uint64_t const id = this->next_connection++;
    connection& added = this->connections[id];
    added.caller.buffer.reset(
        bufferevent_socket_new(this->base, socket, BEV_OPT_CLOSE_ON_FREE));
    added.target.buffer.reset(
        bufferevent_socket_new(this->base, -1, BEV_OPT_CLOSE_ON_FREE));
    sockaddr_in const target = socket_address(this->target_address);
    this->attach(added.caller, id, true);
    this->attach(added.target, id, false);
    bufferevent_socket_connect(added.target.buffer.get(),
                               reinterpret_cast<sockaddr const*>(&target),
                               sizeof(target));
    send_at_once(added.caller.buffer.get());
    send_at_once(added.target.buffer.get());
}

void tcp_relay::attach(side& made, std::uint64_t id, bool is_caller)
{
    made.owner = this;
    made.connection = id;
    made.is_caller = is_caller;
    made.timer.reset(evtimer_new(this->base, on_timer, &made));
    bufferevent_setcb(made.buffer.get(), on_read, nullptr, on_event, &made);
    bufferevent_enable(made.buffer.get(), EV_READ | EV_WRITE);
}

tcp_relay::side& tcp_relay::opposite(side const& from)
{
    connection& both = this->connections.at(from.connection);
    return from.is_caller ? both.target : both.caller;
}

void tcp_relay::on_read(bufferevent*, void* context)
{
    auto* const from = static_cast<side*>(context);
    from->owner->take_in(*from, false);
}

void tcp_relay::on_event(bufferevent*, short what, void* context)
{
    auto* const from = static_cast<side*>(context);
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
        from->owner->take_in(*from, true);
}

void tcp_relay::on_timer(evutil_socket_t, short, void* context)
{
    auto* const from = static_cast<side*>(context);
    from->owner->carry_on(*from);
}

void tcp_relay::take_in(side& from, bool is_end)
{
    evbuffer* const input = bufferevent_get_input(from.buffer.get());
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    microseconds const distance(from.is_caller ? this->switches.there_us
                                               : this->switches.back_us);
    from.parcel_bytes += bytes.size();
    bool const was_empty = from.parcels.empty();
    mono_time const due = mono_now() + distance;
    from.parcels.push_back(parcel{due, std::move(bytes), false});
    if (is_end)
        from.parcels.push_back(parcel{due, {}, true});
    from.is_over = from.is_over || is_end;
    if (from.parcel_bytes > parcels_limit_bytes)
        bufferevent_disable(from.buffer.get(), EV_READ);
    if (was_empty)
        this->arm(from, distance);
}

// One queue and one timer for each direction: timers that fall due together
// have no order among themselves.
void tcp_relay::carry_on(side& from)
{
    if (this->switches.stall || (this->switches.stall_back && !from.is_caller))
        return this->arm(from, stalled_wait);
    side const& to = this->opposite(from);
    evbuffer* const output = bufferevent_get_output(to.buffer.get());
    mono_time const now = mono_now();
    while (!from.parcels.empty() && from.parcels.front().due <= now)
    {
        // What the other end still reads must reach it before its end does.
        bool const is_last = from.parcels.front().is_end && !to.is_over;
        if (evbuffer_get_length(output) > (is_last ? 0 : output_limit_bytes))
            return this->arm(from, busy_wait);
        parcel const next = std::move(from.parcels.front());
        from.parcels.pop_front();
        from.parcel_bytes -= next.bytes.size();
        bufferevent_write(to.buffer.get(), next.bytes.data(),
                          next.bytes.size());
        if (next.is_end)
        {
            this->connections.erase(from.connection);
            return;
        }
    }
    if (from.parcel_bytes <= parcels_limit_bytes)
        bufferevent_enable(from.buffer.get(), EV_READ);
    if (!from.parcels.empty())
        this->arm(from, from.parcels.front().due - now);
}

void tcp_relay::arm(side& from, microseconds wait)
{
    auto const micros = std::max<std::int64_t>(0, wait.count());
    timeval const delay{micros / microseconds_per_second,
                        micros % microseconds_per_second};
    evtimer_add(from.timer.get(), &delay);
}

void tcp_relay::switches_changed()
{
    if (this->switches.cut)
        this->connections.clear();
}

} // namespace jujubestand::standins
