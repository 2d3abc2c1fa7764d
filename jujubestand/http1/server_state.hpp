#ifndef JUJUBESTAND_HTTP1_SERVER_STATE_HPP
#define JUJUBESTAND_HTTP1_SERVER_STATE_HPP

#include <chrono>
#include <event2/buffer.h>
#include <jujubestand/core/byte_ledger.hpp>
#include <jujubestand/core/time.hpp>
#include <jujubestand/http1/client_account.hpp>
#include <jujubestand/http1/handles.hpp>
#include <jujubestand/http1/server.hpp>
#include <memory>
#include <vector>

/// \brief What a server holds; for its own sources only.
namespace jujubestand::http1
{

/// \brief A caller that does not read its answer for this long is dropped.
inline constexpr std::chrono::milliseconds write_timeout{10'000};

/// Bytes of a request that are taken from the kernel before they are parsed.
inline constexpr std::size_t input_limit_bytes = 65'536;

/// Bytes of later requests that wait while one is answered, for each client.
inline constexpr std::size_t read_ahead_bytes = 16'384;

/// How long a connection that we end is still read, so that the caller
/// receives the answer instead of a reset.
inline constexpr std::chrono::milliseconds linger_timeout{1'000};

/// Part of the limit on connections that may be open above it, only to refuse
/// them.
inline constexpr std::size_t turned_away_part = 8;

/// A client with more of its answers unread gets no further one.
inline constexpr std::size_t unread_pause_bytes = 65'536;

/// \brief What a connection waits for.
enum class phase
{
    reading,   ///< waits for a request or reads one
    answering, ///< the request is read, its answer is not complete
    closing,   ///< everything is written; the caller's side is still open
};

/// \brief Memory that a request's head takes, without the copy of its owner.
[[nodiscard]] std::size_t memory_of(message_head const& head);

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
        /// Of an answer of unknown length; `none` for HEAD, whose answer has no
        /// body.
        body_framing framing = body_framing::chunked;
        bool is_started = false;
        bool is_processing = false;
        /// Bytes of a request have come that is not complete.
        bool is_receiving = false;
        /// Bytes of a request came before the answer to the one before it was
        /// complete.
        bool is_pipelining = false;
        /// What comes after the current request is dropped.
        bool drops_input = false;
        /// Counted for the current request: its head and its body, also after
        /// the owner has taken them.
        std::size_t message_bytes = 0;
        /// Bytes of the request that is being received.
        std::size_t received = 0;
        /// When the connection began to wait for what it waits for.
        mono_time since{};
        /// When bytes last moved.
        mono_time moved_at{};
        /// When the request must be complete up to its current part.
        mono_time due{};
    };

    event_base* base = nullptr;
    server_events events;
    server_limits limits;
    bool is_draining = false;
    std::vector<listener_ptr> listeners;
    slot_map<connection, peer_tag> connections;
    /// Bytes of requests: heads, bodies, and what was read ahead.
    byte_ledger<peer_id> requests;
    std::size_t request_limit = 0;
    std::size_t connection_limit = 0;
    /// Connections in `phase::answering`.
    std::size_t answering = 0;
    limited_clients limited;
    mono_time limited_reported_at{};
    event_ptr limited_timer;
    event_ptr accept_timer;
    /// Bytes of answers that callers have not taken.
    byte_ledger<peer_id> unread;

    void accept(evutil_socket_t socket);
    void process(peer_id id);
    bool read_some(peer_id id);
    bool make_room(peer_id id);
    void refuse_slow();
    void refuse_large();
    void end_pipelining();
    void cut_ahead(connection& open);
    void drop_read_ahead();
    void take_ahead(connection& open);
    bool has_room_for_call();
    bool close_one();
    void refuse_no_room(peer_id id);
    void refuse_unread(peer_id id);
    void count(std::uint64_t limited_clients::*counter);
    void set_request_bytes(connection& open);
    [[nodiscard]] std::vector<client_row> rows();
    [[nodiscard]] static client_row row_of(connection const& open,
                                           std::size_t held);
    [[nodiscard]] client_pace pace() const;
    void begin_answer(connection& open);
    void end_answer(connection& open, phase next);
    void refuse(peer_id id, reason const& why);
    void complete(connection& open);
    void close_after_write(connection& open);
    void on_written(peer_id id);
    static void read_again(connection& open);
    void on_closed(peer_id id);
    void drop(peer_id id);
    void write(connection& open, std::string_view bytes);
    void drop_excess();
    void watch_reading(connection& open) const;
    static void watch_closing(connection& open);
    [[nodiscard]] static std::size_t unwritten(connection const& open);
    [[nodiscard]] static bool has_input(connection const& open);
    [[nodiscard]] static std::size_t kernel_bytes(connection const& open);
    [[nodiscard]] static bool is_own_delay(connection const& open);
    connection* find(exchange_id exchange);
    [[nodiscard]] std::vector<http::field>
    with_connection(std::vector<http::field> fields,
                    connection const& open) const;

    static void on_read(bufferevent* stream, void* argument);
    static void on_write(bufferevent* stream, void* argument);
    static void on_event(bufferevent* stream, short what, void* argument);
    static void on_output(evbuffer* output, evbuffer_cb_info const* info,
                          void* argument);
    static void on_input(evbuffer* input, evbuffer_cb_info const* info,
                         void* argument);
    static void on_accept_error(evconnlistener* listener, void* argument);
    static void on_limited_timer(evutil_socket_t socket, short what,
                                 void* argument);
    static void on_accept_timer(evutil_socket_t socket, short what,
                                void* argument);
    static void on_accept(evconnlistener* listener, evutil_socket_t socket,
                          sockaddr* from, int size, void* argument);
};

} // namespace jujubestand::http1

#endif
