#ifndef JUJUBESTAND_HTTP1_SERVER_HPP
#define JUJUBESTAND_HTTP1_SERVER_HPP

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <jujubestand/core/address.hpp>
#include <jujubestand/core/reason.hpp>
#include <jujubestand/core/slot_map.hpp>
#include <jujubestand/http1/reader.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

struct event_base;

namespace jujubestand::http1
{

using peer_id = slot_id<struct peer_tag>;

/// \brief Address of one request on one connection.
struct exchange_id
{
    peer_id peer;
    std::uint64_t number = 0;

    auto operator<=>(exchange_id const&) const = default;
};

/// \brief A whole request as it was received.
struct server_request
{
    message_head head;
    std::string body;
};

/// \brief Counts of clients that a server limited since its last report.
struct limited_clients
{
    /// Idle ones, and those that had sent nothing.
    std::uint64_t closed_idle = 0;
    /// Those that sent or read too slowly.
    std::uint64_t closed_slow = 0;
    /// Requests for which there was no room.
    std::uint64_t refused = 0;
    /// New connections that no other one made room for, or for which the
    /// process had no descriptor.
    std::uint64_t turned_away = 0;
    /// Connections whose requests that were read ahead were dropped.
    std::uint64_t cut_ahead = 0;
    /// Now.
    std::size_t connections = 0;
    std::size_t held_bytes = 0;
};

/// \brief Response to a request that can't be read.
struct server_refusal
{
    int status = 400;
    std::vector<http::field> fields;
    std::string body;
};

/// \brief What the server tells its owner, from the loop.
struct server_events
{
    std::function<void(exchange_id, server_request)> on_request;
    /// The caller closed before its answer was complete; no answer can be
    /// sent any more.
    std::function<void(exchange_id)> on_gone;
    /// There is no room for the request's body. The owner refuses the request,
    /// whose body it is not given; the connection closes after the answer.
    std::function<void(exchange_id, message_head const&)> on_no_room;
    /// All bytes of an answer that goes on have been written to the socket.
    std::function<void(exchange_id)> on_written;
    /// Makes the response to a request that can't be read; without it the
    /// response is 413 or 400 with the reason's text.
    std::function<server_refusal(reason const&)> refusal_of;
    /// Clients were limited; at most once a second.
    std::function<void(limited_clients const&)> on_limited;
};

/// \brief What callers may send, and how slowly.
struct server_limits
{
    reader_limits message;
    std::chrono::milliseconds head_timeout{5'000};
    std::chrono::milliseconds idle_timeout{60'000};
    /// Of a whole body, from its head on. Within it no span without a byte may
    /// be longer than `head_timeout`.
    std::chrono::milliseconds body_timeout{30'000};
};

/// \brief HTTP/1.1 server on libevent's loop; one request at a time on each
/// connection, answered whole or as a chunked stream.
class server
{
public:
    /// \param base the process's loop; must outlive the server
    server(event_base* base, server_events events);
    ~server();
    server(server const&) = delete;
    server& operator=(server const&) = delete;
    server(server&&) = delete;
    server& operator=(server&&) = delete;

    /// \brief Listens on one more address.
    /// \returns false with `why` set if it can't
    [[nodiscard]] bool listen(address const& where, reason& why);

    /// \brief Address that was listened on last, with its port resolved.
    [[nodiscard]] address bound() const;

    /// \brief Closes the listeners; connections that are open stay so.
    void stop_accepting();

    /// \brief Limits of requests that begin from now on.
    void set_limits(server_limits limits);

    /// \brief Limits the connections that are open. For a new one past it an
    /// idle or slow one is closed; requests past seven eighths of it that wait
    /// for their answer are refused.
    /// \param count 0: no limit
    void set_connection_limit(std::size_t count);

    /// \brief Limits the bytes of all requests together that are being read,
    /// wait for the end of their answer or were read ahead. Past it slow ones
    /// that are being read are refused, then the largest; past one and a half
    /// of it those whose bytes arrive, however small.
    /// \param bytes 0: no limit
    void set_request_limit(std::size_t bytes);

    /// \brief Limits the bytes of all answers together that callers have not
    /// taken. Past it the connections with most of them are closed, so that a
    /// few callers that do not read take no memory of the others.
    /// \param bytes 0: no limit
    void set_unread_limit(std::size_t bytes);

    /// \brief Answers a request whole.
    void respond(exchange_id exchange, int status,
                 std::vector<http::field> const& fields, std::string_view body);

    /// \brief Begins an answer of unknown length.
    void begin(exchange_id exchange, int status,
               std::vector<http::field> const& fields);

    /// \brief Sends the next bytes of an answer that was begun.
    void send(exchange_id exchange, std::string_view bytes);

    /// \brief Ends an answer that was begun, as complete.
    void finish(exchange_id exchange);

    /// \brief Closes the connection so that the answer can't look complete.
    void abort(exchange_id exchange);

    /// \brief Whether the caller of an open request has closed its side, by
    /// what the kernel holds: a process that runs late has not been told yet.
    [[nodiscard]] bool has_left(exchange_id exchange) const;

    /// \brief IP address of the caller of an open request; empty if it is gone.
    [[nodiscard]] std::string peer_host(exchange_id exchange) const;

    /// \brief Bytes of the answer to an open request that the socket has not
    /// taken.
    [[nodiscard]] std::size_t unwritten_bytes(exchange_id exchange) const;

    /// \brief Requests that wait for the end of their answer, also for its last
    /// bytes to be written.
    [[nodiscard]] std::size_t unfinished() const;

    /// \brief From now on connections close after the answer under way, those
    /// that idle after an answer at once, and new ones after their first.
    void drain();

    /// \brief Requests that wait for the end of their answer, that are being
    /// read, or that the kernel holds for us.
    [[nodiscard]] std::size_t busy() const;

    /// \brief Connections that are open.
    [[nodiscard]] std::size_t connections() const;

private:
    struct state;
    std::unique_ptr<state> self;
};

} // namespace jujubestand::http1

#endif
