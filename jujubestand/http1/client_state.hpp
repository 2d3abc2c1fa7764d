#ifndef JUJUBESTAND_HTTP1_CLIENT_STATE_HPP
#define JUJUBESTAND_HTTP1_CLIENT_STATE_HPP

#include <jujubestand/core/byte_ledger.hpp>
#include <jujubestand/http1/client.hpp>
#include <jujubestand/http1/handles.hpp>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

/// \brief What a client holds; for its own sources only.
namespace jujubestand::http1
{

/// \brief Connections of a client and the calls on them.
struct client::state
{
    using connection_id = slot_id<struct connection_tag>;

    // What libevent's callbacks hold: lives as long as its connection.
    struct context
    {
        state* owner = nullptr;
        connection_id id;
    };

    struct connection
    {
        std::unique_ptr<context> held;
        stream_ptr stream;
        address server;
        reader input;
        /// Default if no call is under way.
        call_id call;
        bool is_connected = false;
        mono_time idle_since{};
        /// The server may close from here on, if it told.
        std::optional<std::chrono::milliseconds> keep_alive;
        /// Never reused.
        std::uint64_t number = 0;
    };

    /// What is kept of an answer.
    struct kept_bytes
    {
        std::size_t head = 0;
        std::size_t body = 0;
        /// Read from the socket and no complete part of the answer yet.
        std::size_t unparsed = 0;

        [[nodiscard]] std::size_t total() const noexcept
        {
            return this->head + this->body + this->unparsed;
        }
    };

    struct call
    {
        std::unique_ptr<std::pair<state*, call_id>> held;
        client_request request;
        /// Shared, since a callback may cancel the call that it is of.
        std::shared_ptr<call_events> events;
        connection_id connection;
        event_ptr timer;
        mono_time started_at{};
        /// When the timer is due.
        mono_time due_at{};
        bool has_output = false;
        bool has_sent = false;
        bool is_keep_alive = false;
        unsigned foreign = 0;
        std::size_t foreign_bytes = 0;
        bool is_skipping = false;
        kept_bytes kept{};
    };

    event_base* base = nullptr;
    slot_map<connection, connection_tag> connections;
    slot_map<call, client_call_tag> calls;
    std::map<address, std::vector<connection_id>> idle;
    std::uint64_t opened = 0;
    byte_ledger<call_id> kept;

    std::optional<connection_id> take_idle(client_request const& request);
    connection_id connect(client_request const& request);
    void write(connection& open, call& started);
    void start_timer(call& started);
    void on_input(connection_id id);
    bool take_answer(connection_id id);
    void on_close(connection_id id, short what);
    [[nodiscard]] static bool is_completed_by_close(connection& closed,
                                                    short what);
    void set_kept(call_id id, kept_bytes const& kept);
    void end_excess();
    void end_call(call_id id, call_end const& end);
    void keep(connection_id id);
    void drop(connection_id id);
    void reset(connection_id id);

    static void on_read(bufferevent* stream, void* argument);
    static void on_event(bufferevent* stream, short what, void* argument);
    static void on_timer(evutil_socket_t socket, short what, void* argument);
};

} // namespace jujubestand::http1

#endif
