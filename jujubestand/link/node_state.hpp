#ifndef JUJUBESTAND_LINK_NODE_STATE_HPP
#define JUJUBESTAND_LINK_NODE_STATE_HPP

#include <cstddef>
#include <cstdint>
#include <event2/event.h>
#include <event2/listener.h>
#include <jujubestand/core/slot_map.hpp>
#include <jujubestand/core/time.hpp>
#include <jujubestand/link/framing.hpp>
#include <jujubestand/link/handshake.hpp>
#include <jujubestand/link/node.hpp>
#include <jujubestand/link/session.hpp>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace jujubestand::link
{

/// \brief Address of one connection of a node.
using connection_id = slot_id<struct connection_tag>;

/// \brief One stream: what waits to be sent and what has come.
struct stream
{
    connection_id connection;
    /// Number within the connection; 0 until the link is proved.
    std::int32_t number = 0;
    bool is_opener = false;
    std::string outgoing;
    std::size_t outgoing_begin = 0;
    bool is_finishing = false;
    bool is_finished = false;
    bool is_drained = true;
    bool peer_ended = false;
    frame_reader incoming;
    /// Window that was given back for a frame that is not whole yet.
    std::size_t early_window_bytes = 0;
    /// Place of the first frame's first byte in the connection's output.
    std::optional<std::uint64_t> first_byte;
};

/// \brief One connection and the streams on it.
struct connection
{
    std::unique_ptr<session> wire;
    bool is_opener = false;
    address remote;
    handshake proof;
    stream_id proof_stream;
    mono_time began{};
    mono_time used{};
    std::optional<mono_time> pinged;
    /// Streams that wait for the link to be proved.
    std::vector<stream_id> waiting;
    std::unordered_map<std::int32_t, stream_id> streams;
    bool is_dirty = false;
    /// Why the connection is to be dropped in this turn of the loop.
    std::optional<reason> doomed;
};

/// \brief Frees libevent's objects.
struct event_deleter
{
    void operator()(event* owned) const
    {
        event_free(owned);
    }

    void operator()(evconnlistener* owned) const
    {
        evconnlistener_free(owned);
    }
};

using event_handle = std::unique_ptr<event, event_deleter>;
using listener_handle = std::unique_ptr<evconnlistener, event_deleter>;

/// \brief A node's tables. Functions that only mark work leave it to
/// `flush`, which runs once in a turn of the loop.
struct node::state
{
    state(node& facade, event_base* loop, node_options settings,
          hybrid_time& process_clock);

    // Connections.
    connection_id connect(address const& where);
    void adopt(int socket, address const& remote);
    connection_id add(connection made);
    void begin_proof(connection_id id);
    void prove(connection_id id, frame const& message);
    void proved(connection_id id);
    void doom(connection_id id, reason why);
    void drop(connection_id id);
    void note(event_number number, connection const& link, reason const& why);

    // Streams.
    stream_id add_stream(connection_id id, std::int32_t number);
    void submit(connection_id id, stream_id which);
    void queue(stream_id which, frame message);
    void resume(stream const& one);
    void forget(stream_id which);
    void end(stream_id which, stream_end const& how);
    session_output read(connection_id id, std::int32_t number,
                        std::span<char> into);

    // What arrives.
    void take(connection_id id, std::vector<session_event> const& batch);
    void take_opened(connection_id id, std::int32_t number);
    void take_bytes(connection_id id, session_event const& event);
    void take_frames(connection_id id, stream_id which,
                     std::vector<received_frame> const& frames);
    void take_peer_end(connection_id id, std::int32_t number);
    void take_end(connection_id id, session_event const& event);

    // Turns of the loop.
    static void on_accept(evconnlistener* from, evutil_socket_t socket,
                          sockaddr* where, int length, void* context);
    static void on_flush(evutil_socket_t socket, short what, void* context);
    static void on_sweep(evutil_socket_t socket, short what, void* context);
    void touch(connection_id id);
    void schedule();
    void flush();
    void emit_drained();
    void sweep();
    void check_times(connection_id id, mono_time now);

    node& owner;
    event_base* base;
    node_options options;
    hybrid_time& clock;
    slot_map<stream, stream_tag> streams;
    slot_map<connection, connection_tag> connections;
    std::unordered_map<address, connection_id> by_address;
    std::vector<connection_id> dirty;
    std::vector<stream_id> drained;
    std::uint64_t written_before = 0;
    std::uint64_t read_before = 0;
    /// Accepted connections that have not proved who they are yet.
    std::size_t unproved = 0;
    bool is_accepting = true;
    bool is_scheduled = false;
    event_handle flush_event;
    event_handle sweep_event;
    listener_handle listener;
};

} // namespace jujubestand::link

#endif
