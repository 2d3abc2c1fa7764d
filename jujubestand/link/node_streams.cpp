#include <jujubestand/link/node_state.hpp>

#include <algorithm>
#include <cstring>
#include <nghttp2/nghttp2.h>
#include <utility>

namespace jujubestand::link
{

namespace
{

// A partial frame gets its window back once it fills half of it, or a frame
// larger than the window could never arrive.
constexpr std::size_t early_window_divisor = 2;

// Sent bytes at the front of a queue are dropped when they are this many.
constexpr std::size_t compact_bytes = 64U << 10U;

stream_end how_ended(stream const& one, std::uint32_t error_code)
{
    stream_end how;
    bool const is_whole = one.peer_ended || one.is_finished;
    how.clean = error_code == NGHTTP2_NO_ERROR && is_whole &&
                one.incoming.partial.empty();
    // A peer refuses a stream only before it has looked at its frames.
    how.may_have_sent =
        one.first_byte.has_value() && error_code != NGHTTP2_REFUSED_STREAM;
    if (how.clean)
        return how;
    how.is_reset = true;
    how.why.code = how.may_have_sent ? reason_code::link_cut_after_send
                                     : reason_code::link_cut_before_send;
    how.why.text = error_code == NGHTTP2_REFUSED_STREAM
                       ? "peer accepts no new streams"
                       : nghttp2_http2_strerror(error_code);
    return how;
}

} // namespace

stream_id node::state::add_stream(connection_id id, std::int32_t number)
{
    connection& link = *this->connections.find(id);
    stream made;
    made.connection = id;
    made.number = number;
    made.is_opener = number == 0;
    made.incoming.payload_limit_bytes = this->options.frame_limit_bytes;
    stream_id const which = this->streams.insert(std::move(made));
    if (number != 0)
        link.streams[number] = which;
    return which;
}

void node::state::submit(connection_id id, stream_id which)
{
    connection& link = *this->connections.find(id);
    auto* const one = this->streams.find(which);
    if (one == nullptr)
        return;
    auto const number = link.wire->open();
    if (!number)
    {
        // Its numbers are used up: the next stream takes a new connection.
        link.waiting.push_back(which);
        this->doom(id, reason{reason_code::link_unreachable,
                              "link has no stream numbers left", ""});
        return;
    }
    one->number = *number;
    link.streams[*number] = which;
    this->touch(id);
}

void node::state::queue(stream_id which, frame message)
{
    stream& one = *this->streams.find(which);
    message.stamp = tick(this->clock, wall_now());
    append_wire(one.outgoing, message);
    one.is_drained = false;
    this->resume(one);
}

void node::state::resume(stream const& one)
{
    auto* const link = this->connections.find(one.connection);
    if (link == nullptr || one.number == 0)
        return;
    link->wire->resume(one.number);
    this->touch(one.connection);
}

void node::state::forget(stream_id which)
{
    auto const* const one = this->streams.find(which);
    if (one == nullptr)
        return;
    auto* const link = this->connections.find(one->connection);
    if (link != nullptr)
    {
        link->streams.erase(one->number);
        std::erase(link->waiting, which);
        link->used = mono_now();
    }
    this->streams.erase(which);
}

void node::state::end(stream_id which, stream_end const& how)
{
    this->forget(which);
    this->owner.closed.emit(which, how);
}

session_output node::state::read(connection_id id, std::int32_t number,
                                 std::span<char> into)
{
    auto* const link = this->connections.find(id);
    if (link == nullptr)
        return {};
    auto const known = link->streams.find(number);
    if (known == link->streams.end())
        return {};
    stream& one = *this->streams.find(known->second);
    std::size_t const left = one.outgoing.size() - one.outgoing_begin;
    session_output output;
    output.bytes = std::min(left, into.size());
    std::memcpy(into.data(), one.outgoing.data() + one.outgoing_begin,
                output.bytes);
    if (output.bytes > 0 && !one.first_byte)
        one.first_byte = link->wire->buffered_bytes();
    one.outgoing_begin += output.bytes;
    output.is_last = output.bytes == left && one.is_finishing;
    one.is_finished = output.is_last;
    // Streams are many: one with nothing to send keeps no room for it.
    if (output.bytes == left)
        std::string().swap(one.outgoing);
    else if (one.outgoing_begin >= compact_bytes)
        one.outgoing.erase(0, one.outgoing_begin);
    if (output.bytes == left || one.outgoing_begin >= compact_bytes)
        one.outgoing_begin = 0;
    if (output.bytes == left && !std::exchange(one.is_drained, true))
    {
        this->drained.push_back(known->second);
        this->schedule();
    }
    return output;
}

void node::state::take(connection_id id,
                       std::vector<session_event> const& batch)
{
    using kind = session_event::kind_type;
    for (auto const& event : batch)
    {
        auto const* const link = this->connections.find(id);
        if (link == nullptr || link->doomed)
            return;
        if (event.kind == kind::opened)
            this->take_opened(id, event.stream);
        else if (event.kind == kind::data)
            this->take_bytes(id, event);
        else if (event.kind == kind::peer_ended)
            this->take_peer_end(id, event.stream);
        else
            this->take_end(id, event);
    }
}

void node::state::take_opened(connection_id id, std::int32_t number)
{
    connection& link = *this->connections.find(id);
    bool const is_first = link.proof_stream == stream_id{};
    if (!link.proof.proved && !is_first)
    {
        this->doom(id, reason{reason_code::link_refused,
                              "stream before the proof", ""});
        return;
    }
    if (link.proof.proved && !this->is_accepting)
    {
        link.wire->reset(number, NGHTTP2_REFUSED_STREAM);
        return;
    }
    stream_id const which = this->add_stream(id, number);
    link.wire->accept(number);
    link.used = mono_now();
    if (!is_first)
    {
        this->owner.opened.emit(which);
        return;
    }
    link.proof_stream = which;
    this->streams.find(which)->incoming.payload_limit_bytes =
        handshake_limit_bytes;
}

void node::state::take_bytes(connection_id id, session_event const& event)
{
    connection& link = *this->connections.find(id);
    auto const known = link.streams.find(event.stream);
    if (known == link.streams.end())
        return;
    stream_id const which = known->second;
    stream& one = *this->streams.find(which);
    std::vector<received_frame> frames;
    reason why;
    if (!feed(one.incoming, event.bytes, frames, why))
    {
        this->doom(id, why);
        return;
    }
    this->take_frames(id, which, frames);
    auto* const still = this->streams.find(which);
    if (still == nullptr)
        return;
    std::size_t const partial = still->incoming.partial.size();
    bool const is_large =
        partial >= this->options.stream_window_bytes / early_window_divisor;
    if (!is_large || partial <= still->early_window_bytes)
        return;
    std::size_t const early = partial - still->early_window_bytes;
    still->early_window_bytes = partial;
    this->connections.find(id)->wire->consume(event.stream, early);
}

void node::state::take_frames(connection_id id, stream_id which,
                              std::vector<received_frame> const& frames)
{
    for (auto const& next : frames)
    {
        auto* const link = this->connections.find(id);
        if (link == nullptr || link->doomed ||
            this->streams.find(which) == nullptr)
            return;
        merge(this->clock, next.message.stamp, wall_now());
        if (which == link->proof_stream)
        {
            this->owner.consume(which, next.wire_bytes);
            this->prove(id, next.message);
            continue;
        }
        this->owner.consume(which,
                            next.wire_bytes - next.message.payload.size());
        this->owner.received.emit(which, next.message);
    }
}

void node::state::take_peer_end(connection_id id, std::int32_t number)
{
    connection& link = *this->connections.find(id);
    auto const known = link.streams.find(number);
    if (known == link.streams.end())
        return;
    stream_id const which = known->second;
    stream& one = *this->streams.find(which);
    if (!one.incoming.partial.empty() || which == link.proof_stream)
    {
        this->doom(id, reason{reason_code::link_malformed,
                              "stream ended within a frame", ""});
        return;
    }
    one.peer_ended = true;
    if (!one.is_opener || one.is_finished)
        return;
    // The answer is whole; what we had left to say is of no use.
    link.wire->reset(number, NGHTTP2_NO_ERROR);
    this->touch(id);
    this->end(which, how_ended(one, NGHTTP2_NO_ERROR));
}

void node::state::take_end(connection_id id, session_event const& event)
{
    connection const& link = *this->connections.find(id);
    auto const known = link.streams.find(event.stream);
    if (known == link.streams.end())
        return;
    stream_id const which = known->second;
    if (which == link.proof_stream)
        this->doom(id, reason{reason_code::link_refused,
                              "peer ended the handshake", ""});
    else
        this->end(which,
                  how_ended(*this->streams.find(which), event.error_code));
}

} // namespace jujubestand::link
