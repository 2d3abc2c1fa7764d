#include <jujubestand/link/node_state.hpp>

#include <algorithm>
#include <array>
#include <openssl/rand.h>
#include <utility>

namespace jujubestand::link
{

namespace
{

// Checks per shortest time limit, so that a limit is late by a quarter.
constexpr int sweeps_per_limit = 4;

// The acceptor waits longer, so that the opener closes an idle link.
constexpr int acceptor_idle_factor = 2;

// What strangers may hold open at a time.
constexpr std::size_t unproved_limit = 1024;

std::string make_nonce()
{
    std::array<unsigned char, nonce_bytes> bytes{};
    RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
    return {reinterpret_cast<char const*>(bytes.data()), bytes.size()};
}

session_limits limits_of(node_options const& options)
{
    // One more stream carries the handshake.
    return {options.stream_window_bytes, options.connection_window_bytes,
            options.streams_limit + 1};
}

timeval to_timeval(std::chrono::microseconds span)
{
    auto const seconds = std::chrono::duration_cast<std::chrono::seconds>(span);
    return {seconds.count(), (span - seconds).count()};
}

std::chrono::microseconds sweep_interval(node_options const& options)
{
    auto const shortest = std::min(
        {options.connect_timeout, options.idle_timeout, options.ping_timeout});
    return std::chrono::microseconds(shortest) / sweeps_per_limit;
}

} // namespace

void node::state::on_flush(evutil_socket_t, short, void* context)
{
    static_cast<state*>(context)->flush();
}

void node::state::on_sweep(evutil_socket_t, short, void* context)
{
    static_cast<state*>(context)->sweep();
}

node::state::state(node& facade, event_base* loop, node_options settings,
                   hybrid_time& process_clock)
    : owner(facade)
    , base(loop)
    , options(std::move(settings))
    , clock(process_clock)
    , flush_event(event_new(loop, -1, 0, on_flush, this))
    , sweep_event(event_new(loop, -1, EV_PERSIST, on_sweep, this))
{
    timeval const interval = to_timeval(sweep_interval(this->options));
    event_add(this->sweep_event.get(), &interval);
}

connection_id node::state::connect(address const& where)
{
    reason why;
    connection made;
    made.is_opener = true;
    made.remote = where;
    made.wire =
        session::connect(this->base, where, limits_of(this->options), why);
    connection_id const id = this->add(std::move(made));
    this->by_address[where] = id;
    if (this->connections.find(id)->wire == nullptr)
        this->doom(id, why);
    return id;
}

void node::state::adopt(int socket, address const& remote)
{
    if (this->unproved >= unproved_limit)
    {
        evutil_closesocket(socket);
        return;
    }
    ++this->unproved;
    connection made;
    made.remote = remote;
    made.wire = session::adopt(this->base, socket, limits_of(this->options));
    this->touch(this->add(std::move(made)));
}

connection_id node::state::add(connection made)
{
    made.began = mono_now();
    made.used = made.began;
    made.proof.key = this->options.key;
    made.proof.nonce = make_nonce();
    made.proof.self = peer{this->options.instance, this->options.incarnation,
                           this->options.role};
    made.proof.is_opener = made.is_opener;
    connection_id const id = this->connections.insert(std::move(made));
    session* const wire = this->connections.find(id)->wire.get();
    if (wire == nullptr)
        return id;
    wire->up.connect(
        [this, id]
        {
            this->begin_proof(id);
        });
    wire->down.connect(
        [this, id](reason const& why)
        {
            this->doom(id, why);
        });
    wire->arrived.connect(
        [this, id](std::vector<session_event> const& batch)
        {
            this->take(id, batch);
        });
    wire->source = [this, id](std::int32_t number, std::span<char> into)
    {
        return this->read(id, number, into);
    };
    return id;
}

void node::state::begin_proof(connection_id id)
{
    stream_id const which = this->add_stream(id, 0);
    this->streams.find(which)->incoming.payload_limit_bytes =
        handshake_limit_bytes;
    this->connections.find(id)->proof_stream = which;
    this->submit(id, which);
    this->queue(which, begin(this->connections.find(id)->proof));
}

void node::state::prove(connection_id id, frame const& message)
{
    connection& link = *this->connections.find(id);
    reason why;
    auto answer = step(link.proof, message, why);
    if (answer.is_refused)
    {
        this->doom(id, why);
        return;
    }
    if (answer.reply)
        this->queue(link.proof_stream, std::move(*answer.reply));
    if (link.proof.proved)
        this->proved(id);
}

void node::state::proved(connection_id id)
{
    connection& link = *this->connections.find(id);
    this->unproved -= link.is_opener ? 0 : 1;
    link.used = mono_now();
    auto const waiting = std::exchange(link.waiting, {});
    for (auto const which : waiting)
        this->submit(id, which);
    this->note(event_number::link_up, link, reason{});
}

void node::state::doom(connection_id id, reason why)
{
    connection& link = *this->connections.find(id);
    if (link.doomed)
        return;
    link.doomed = std::move(why);
    auto const known = this->by_address.find(link.remote);
    if (link.is_opener && known != this->by_address.end() &&
        known->second == id)
        this->by_address.erase(known);
    this->touch(id);
}

void node::state::drop(connection_id id)
{
    connection link = std::move(*this->connections.find(id));
    this->connections.erase(id);
    std::uint64_t written = 0;
    if (link.wire)
    {
        written = link.wire->written_bytes();
        this->written_before += written;
        this->read_before += link.wire->read_bytes();
        link.wire.reset();
    }
    std::vector<stream_id> gone = link.waiting;
    for (auto const& [number, which] : link.streams)
        gone.push_back(which);
    bool const was_proved = link.proof.proved.has_value();
    this->unproved -= link.is_opener || was_proved ? 0 : 1;
    bool const is_refusal = link.doomed->code == reason_code::link_refused;
    if (was_proved || is_refusal)
        this->note(is_refusal ? event_number::link_refused
                              : event_number::link_down,
                   link, *link.doomed);
    for (auto const which : gone)
    {
        auto const* const one = this->streams.find(which);
        if (one == nullptr)
            continue;
        stream_end how;
        how.may_have_sent = one->first_byte && *one->first_byte < written;
        how.why = *link.doomed;
        if (was_proved)
            how.why.code = how.may_have_sent
                               ? reason_code::link_cut_after_send
                               : reason_code::link_cut_before_send;
        if (which == link.proof_stream)
            this->streams.erase(which);
        else
            this->end(which, how);
    }
}

void node::state::note(event_number number, connection const& link,
                       reason const& why)
{
    event_note made;
    made.number = number;
    made.fields.push_back({"remote", to_text(link.remote)});
    made.fields.push_back({"side", link.is_opener ? "opener" : "acceptor"});
    if (link.proof.proved)
    {
        peer const& other = *link.proof.proved;
        made.fields.push_back({"instance", other.instance.text});
        made.fields.push_back({"role", other.role});
        made.fields.push_back(
            {"incarnation", std::to_string(other.incarnation.value)});
    }
    if (why.code != reason_code::none)
        made.fields.push_back({"reason", to_text(why)});
    this->owner.noted.emit(made);
}

void node::state::touch(connection_id id)
{
    connection& link = *this->connections.find(id);
    if (std::exchange(link.is_dirty, true))
        return;
    this->dirty.push_back(id);
    this->schedule();
}

void node::state::schedule()
{
    if (!std::exchange(this->is_scheduled, true))
        event_active(this->flush_event.get(), 0, 0);
}

void node::state::flush()
{
    auto const due = std::exchange(this->dirty, {});
    for (auto const id : due)
    {
        auto* const link = this->connections.find(id);
        if (link == nullptr)
            continue;
        link->is_dirty = false;
        if (link->doomed)
            this->drop(id);
        else
            link->wire->flush();
    }
    this->is_scheduled = false;
    this->emit_drained();
    if (!this->dirty.empty())
        this->schedule();
}

void node::state::emit_drained()
{
    auto const due = std::exchange(this->drained, {});
    for (auto const which : due)
    {
        auto const* const one = this->streams.find(which);
        if (one != nullptr && one->is_drained)
            this->owner.drained.emit(which);
    }
}

void node::state::sweep()
{
    mono_time const now = mono_now();
    for (auto const id : this->connections.ids())
        this->check_times(id, now);
}

void node::state::check_times(connection_id id, mono_time now)
{
    connection& link = *this->connections.find(id);
    if (link.doomed)
        return;
    if (!link.proof.proved)
    {
        if (now - link.began > this->options.connect_timeout)
            this->doom(id, reason{reason_code::link_unreachable,
                                  "no proof in time", to_text(link.remote)});
        return;
    }
    mono_time const heard = link.wire->heard();
    if (link.pinged && heard >= *link.pinged)
        link.pinged.reset();
    if (link.pinged && now - *link.pinged > this->options.ping_timeout)
    {
        this->doom(id, reason{reason_code::link_unreachable,
                              "peer answers no ping", to_text(link.remote)});
        return;
    }
    bool const is_idle = link.streams.size() <= 1;
    auto const idle_limit = this->options.idle_timeout *
                            (link.is_opener ? 1 : acceptor_idle_factor);
    if (is_idle && now - link.used > idle_limit)
    {
        this->doom(id, reason{reason_code::link_cut_before_send, "idle", ""});
        return;
    }
    bool const is_quiet = now - heard > this->options.ping_timeout / 2;
    if (is_idle || link.pinged || !is_quiet)
        return;
    link.pinged = now;
    link.wire->ping();
    this->touch(id);
}

} // namespace jujubestand::link
