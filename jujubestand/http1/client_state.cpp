#include <jujubestand/http1/client_state.hpp>

#include <algorithm>
#include <event2/buffer.h>
#include <jujubestand/http1/sockets.hpp>
#include <jujubestand/http1/writer.hpp>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace jujubestand::http1
{

namespace
{

/// Unacknowledged bytes for this long mean that the path is gone.
constexpr unsigned unacknowledged_ms = 4'000;

/// A kept connection is given up this long before its server may close it.
constexpr std::chrono::milliseconds keep_alive_margin{700};

bool is_avoided(client_request const& request, std::uint64_t connection)
{
    auto const& avoided = request.avoided_connections;
    return std::find(avoided.begin(), avoided.end(), connection) !=
           avoided.end();
}

} // namespace

void client::state::on_read(bufferevent* /*stream*/, void* argument)
{
    auto const* held = static_cast<context*>(argument);
    held->owner->on_input(held->id);
}

void client::state::on_event(bufferevent* /*stream*/, short what,
                             void* argument)
{
    auto const* held = static_cast<context*>(argument);
    if ((what & BEV_EVENT_CONNECTED) == 0)
    {
        held->owner->on_close(held->id, what);
        return;
    }
    connection* open = held->owner->connections.find(held->id);
    open->is_connected = true;
    set_no_delay(bufferevent_getfd(open->stream.get()));
    bufferevent_set_timeouts(open->stream.get(), nullptr, nullptr);
    call* waiting = held->owner->calls.find(open->call);
    if (waiting != nullptr)
        held->owner->write(*open, *waiting);
}

// Times the end of a call, or the first output of its answer if that is due.
void client::state::start_timer(call& started)
{
    using std::chrono::milliseconds;
    auto const& request = started.request;
    bool const awaits_output =
        !started.has_output && request.output_timeout > milliseconds{0};
    auto const limit = awaits_output ? request.output_timeout : request.timeout;
    if (limit <= milliseconds{0})
    {
        started.timer.reset();
        return;
    }
    started.due_at = started.started_at + limit;
    if (!started.timer)
        started.timer.reset(
            evtimer_new(this->base, on_timer, started.held.get()));
    auto const left =
        std::max(std::chrono::ceil<milliseconds>(started.due_at - mono_now()),
                 milliseconds{0});
    timeval const span = to_timeval(left);
    evtimer_add(started.timer.get(), &span);
}

void client::state::on_timer(evutil_socket_t /*socket*/, short /*what*/,
                             void* argument)
{
    auto const held = *static_cast<std::pair<state*, call_id>*>(argument);
    call* const found = held.first->calls.find(held.second);
    if (found == nullptr)
        return;
    // The loop's clock is coarse: a timer may come some milliseconds early.
    if (mono_now() < found->due_at)
    {
        held.first->start_timer(*found);
        return;
    }
    call_end end;
    end.may_have_sent = found->has_sent;
    end.why = reason{reason_code::upstream_timeout, "no answer in time", {}};
    held.first->reset(found->connection);
    held.first->end_call(held.second, end);
}

std::optional<client::state::connection_id>
client::state::take_idle(client_request const& request)
{
    auto const found = this->idle.find(request.server);
    if (found == this->idle.end())
        return std::nullopt;
    auto const now = mono_now();
    auto& kept_ids = found->second;
    for (auto position = kept_ids.size(); position-- > 0;)
    {
        auto const id = kept_ids[position];
        connection const* open = this->connections.find(id);
        if (open != nullptr && is_avoided(request, open->number))
            continue;
        kept_ids.erase(kept_ids.begin() +
                       static_cast<std::ptrdiff_t>(position));
        if (open == nullptr)
            continue;
        auto limit = request.idle_limit;
        if (open->keep_alive)
            limit = std::min(limit, *open->keep_alive - keep_alive_margin);
        if (now - open->idle_since <= limit)
            return id;
        this->drop(id);
    }
    return std::nullopt;
}

client::state::connection_id
client::state::connect(client_request const& request)
{
    auto held = std::make_unique<context>();
    held->owner = this;
    context* const argument = held.get();
    auto* const stream = bufferevent_socket_new(
        this->base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    reader_limits limits;
    limits.body_bytes = request.answer_limit_bytes;
    argument->id = this->connections.insert(
        connection{std::move(held), stream_ptr(stream), request.server,
                   reader(message_kind::response, limits), call_id{}, false,
                   mono_time{}, std::nullopt, ++this->opened});
    bufferevent_setcb(stream, on_read, nullptr, on_event, argument);
    timeval const limit = to_timeval(request.connect_timeout);
    bufferevent_set_timeouts(stream, &limit, &limit);
    bufferevent_enable(stream, EV_READ | EV_WRITE);
    auto const where = to_sockaddr(request.server);
    // A failure at once is told by the event callback, which is deferred.
    if (where)
    {
        bufferevent_socket_connect(
            stream, reinterpret_cast<sockaddr const*>(&*where), sizeof *where);
        int const limit_ms = static_cast<int>(unacknowledged_ms);
        setsockopt(bufferevent_getfd(stream), IPPROTO_TCP, TCP_USER_TIMEOUT,
                   &limit_ms, sizeof limit_ms);
    }
    return argument->id;
}

void client::state::write(connection& open, call& started)
{
    auto const& request = started.request;
    bool const has_body = !request.body.empty() || request.method == "POST" ||
                          request.method == "PUT";
    std::string const head =
        request_head(request.method, request.target, request.fields,
                     has_body ? body_framing::length : body_framing::none,
                     request.body.size());
    bufferevent_write(open.stream.get(), head.data(), head.size());
    bufferevent_write(open.stream.get(), request.body.data(),
                      request.body.size());
    started.has_sent = true;
}

void client::state::end_call(call_id id, call_end const& end)
{
    call* found = this->calls.find(id);
    if (found == nullptr)
        return;
    this->kept.erase(id);
    auto const events = std::move(found->events);
    auto told = end;
    told.foreign_answers = found->foreign;
    this->calls.erase(id);
    events->on_end(told);
}

void client::state::drop(connection_id id)
{
    this->connections.erase(id);
}

// A request that is still on its way must not arrive after its call has ended.
void client::state::reset(connection_id id)
{
    connection const* open = this->connections.find(id);
    if (open != nullptr)
        set_reset_on_close(bufferevent_getfd(open->stream.get()));
    this->drop(id);
}

} // namespace jujubestand::http1
