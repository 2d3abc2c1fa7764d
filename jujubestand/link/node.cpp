#include <jujubestand/link/node.hpp>

#include <algorithm>
#include <jujubestand/link/node_state.hpp>
#include <jujubestand/link/socket_address.hpp>
#include <nghttp2/nghttp2.h>
#include <utility>

namespace jujubestand::link
{

void node::state::on_accept(evconnlistener*, evutil_socket_t socket,
                            sockaddr* where, int length, void* context)
{
    auto const remote = to_address(where, static_cast<socklen_t>(length));
    static_cast<state*>(context)->adopt(socket, remote.value_or(address{}));
}

node::node(event_base* base, node_options options, hybrid_time& clock)
    : self(std::make_unique<state>(*this, base, std::move(options), clock))
{
}

node::~node() = default;

std::optional<address> node::listen(address const& where, reason& why)
{
    auto wanted = to_socket_address(where);
    std::optional<address> bound;
    if (wanted)
        this->self->listener.reset(evconnlistener_new_bind(
            this->self->base, state::on_accept, this->self.get(),
            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1, wanted->get(),
            static_cast<int>(wanted->length)));
    if (this->self->listener)
        bound =
            bound_address(evconnlistener_get_fd(this->self->listener.get()));
    if (!bound)
        why = reason{reason_code::link_unreachable, "cannot listen",
                     to_text(where)};
    return bound;
}

void node::stop_accepting()
{
    this->self->is_accepting = false;
    this->self->listener.reset();
}

stream_id node::open(address const& peer_address)
{
    auto const known = this->self->by_address.find(peer_address);
    connection_id const id = known == this->self->by_address.end()
                                 ? this->self->connect(peer_address)
                                 : known->second;
    stream_id const which = this->self->add_stream(id, 0);
    connection& link = *this->self->connections.find(id);
    link.used = mono_now();
    if (link.proof.proved)
        this->self->submit(id, which);
    else
        link.waiting.push_back(which);
    return which;
}

bool node::send(stream_id stream, frame message)
{
    auto const* const one = this->self->streams.find(stream);
    if (one == nullptr || one->is_finishing)
        return false;
    this->self->queue(stream, std::move(message));
    return true;
}

void node::finish(stream_id stream)
{
    auto* const one = this->self->streams.find(stream);
    if (one == nullptr || one->is_finishing)
        return;
    one->is_finishing = true;
    this->self->resume(*one);
}

void node::reset(stream_id stream)
{
    auto const* const one = this->self->streams.find(stream);
    if (one == nullptr)
        return;
    connection_id const id = one->connection;
    std::int32_t const number = one->number;
    this->self->forget(stream);
    auto* const link = this->self->connections.find(id);
    if (link == nullptr || number == 0)
        return;
    link->wire->reset(number, NGHTTP2_CANCEL);
    this->self->touch(id);
}

void node::consume(stream_id stream, std::size_t bytes)
{
    auto* const one = this->self->streams.find(stream);
    if (one == nullptr)
        return;
    std::size_t const early = std::min(bytes, one->early_window_bytes);
    one->early_window_bytes -= early;
    auto* const link = this->self->connections.find(one->connection);
    if (link == nullptr || bytes == early)
        return;
    link->wire->consume(one->number, bytes - early);
    this->self->touch(one->connection);
}

std::size_t node::unsent_bytes(stream_id stream) const
{
    auto const* const one = this->self->streams.find(stream);
    return one == nullptr ? 0 : one->outgoing.size() - one->outgoing_begin;
}

std::optional<peer> node::peer_of(stream_id stream) const
{
    auto const* const one = this->self->streams.find(stream);
    if (one == nullptr)
        return std::nullopt;
    auto const* const link = this->self->connections.find(one->connection);
    return link == nullptr ? std::nullopt : link->proof.proved;
}

bool node::is_connected(address const& peer_address) const
{
    auto const known = this->self->by_address.find(peer_address);
    if (known == this->self->by_address.end())
        return false;
    auto const* const link = this->self->connections.find(known->second);
    return link != nullptr && link->proof.proved.has_value();
}

std::uint64_t node::bytes_written() const noexcept
{
    std::uint64_t total = this->self->written_before;
    for (auto const id : this->self->connections.ids())
    {
        auto const& wire = this->self->connections.find(id)->wire;
        total += wire ? wire->written_bytes() : 0;
    }
    return total;
}

std::uint64_t node::bytes_read() const noexcept
{
    std::uint64_t total = this->self->read_before;
    for (auto const id : this->self->connections.ids())
    {
        auto const& wire = this->self->connections.find(id)->wire;
        total += wire ? wire->read_bytes() : 0;
    }
    return total;
}

} // namespace jujubestand::link
