#ifndef JUJUBESTAND_HTTP1_SERVER_STATE_HPP
#define JUJUBESTAND_HTTP1_SERVER_STATE_HPP

#include <chrono>
#include <event2/buffer.h>
#include <jujubestand/core/byte_ledger.hpp>
#include <jujubestand/http1/handles.hpp>
#include <jujubestand/http1/server.hpp>
#include <memory>
#include <vector>

/// \brief What a server holds; for its own sources only.
namespace jujubestand::http1
{

/// \brief A caller that does not read its answer for this long is dropped.
inline constexpr std::chrono::milliseconds write_timeout{10'000};

/// \brief What a connection waits for.
enum class phase
{
    reading,   ///< waits for a request or reads one
    answering, ///< the request is read, its answer is not complete
    closing,   ///< everything is written; the caller's side is still open
};

/// \brief Connections of a server and what they are doing.
struct server::state
{
    // What libevent's callbacks hold: lives as long as its connection.
    struct context
    {
        state* owner = nullptr;
        peer_id id;
    };

    struct connection
    {
        std::unique_ptr<context> held;
        stream_ptr stream;
        reader input;
        phase now = phase::reading;
        std::uint64_t exchanges = 0;
        server_request request;
        bool is_keep_alive = true;
        bool is_started = false;
        bool is_processing = false;
    };

    event_base* base = nullptr;
    server_events events;
    server_limits limits;
    bool is_draining = false;
    std::vector<listener_ptr> listeners;
    slot_map<connection, peer_tag> connections;
    /// Bytes of requests' bodies.
    byte_ledger<peer_id> bodies;
    /// Bytes of answers that callers have not taken.
    byte_ledger<peer_id> unread;

    void accept(evutil_socket_t socket);
    void process(peer_id id);
    bool read_some(peer_id id);
    void refuse_excess();
    void begin_answer(connection& open) const;
    void refuse(peer_id id, reason const& why);
    void complete(connection& open);
    void close_after_write(connection& open);
    void on_written(peer_id id);
    void on_closed(peer_id id);
    void drop(peer_id id);
    void write(connection& open, std::string_view bytes);
    void drop_excess();
    void watch_reading(connection& open) const;
    [[nodiscard]] static bool has_input(connection const& open);
    connection* find(exchange_id exchange);
    [[nodiscard]] std::vector<http::field>
    with_connection(std::vector<http::field> fields,
                    connection const& open) const;

    static void on_read(bufferevent* stream, void* argument);
    static void on_write(bufferevent* stream, void* argument);
    static void on_event(bufferevent* stream, short what, void* argument);
    static void on_output(evbuffer* output, evbuffer_cb_info const* info,
                          void* argument);
    static void on_accept(evconnlistener* listener, evutil_socket_t socket,
                          sockaddr* from, int size, void* argument);
};

} // namespace jujubestand::http1

#endif
