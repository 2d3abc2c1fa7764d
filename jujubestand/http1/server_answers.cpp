// How a server answers, and ends connections after an answer.
#include <event2/buffer.h>
#include <jujubestand/http1/server_state.hpp>
#include <jujubestand/http1/writer.hpp>
#include <sys/socket.h>
#include <utility>

namespace jujubestand::http1
{

namespace
{

server_refusal plain_refusal(reason const& why)
{
    return {why.code == reason_code::body_too_large ? 413 : 400, {}, why.text};
}

} // namespace

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
    open.is_pipelining =
        evbuffer_get_length(bufferevent_get_input(open.stream.get())) > 0;
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
    open->is_keep_alive = false;
    auto refusal = this->events.refusal_of ? this->events.refusal_of(why)
                                           : plain_refusal(why);
    std::string const head = response_head(
        refusal.status, this->with_connection(std::move(refusal.fields), *open),
        body_framing::length, refusal.body.size());
    this->write(*open, head);
    this->write(*open, refusal.body);
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
    if (unwritten(open) == 0)
        shutdown(bufferevent_getfd(open.stream.get()), SHUT_WR);
}

void server::state::on_written(peer_id id)
{
    connection* open = this->connections.find(id);
    if (open != nullptr && open->now == phase::closing)
        shutdown(bufferevent_getfd(open->stream.get()), SHUT_WR);
    if (open != nullptr && open->now == phase::answering &&
        this->events.on_written)
        this->events.on_written({id, open->exchanges});
    open = this->connections.find(id);
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

std::vector<http::field>
server::state::with_connection(std::vector<http::field> fields,
                               connection const& open) const
{
    if (!open.is_keep_alive || this->is_draining)
        fields.push_back({"Connection", "close"});
    else if (open.framing == body_framing::close)
        // A caller of HTTP/1.0 expects the connection to close otherwise.
        fields.push_back({"Connection", "keep-alive"});
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
