#ifndef JUJUBESTAND_HTTP_CLIENT_HPP
#define JUJUBESTAND_HTTP_CLIENT_HPP

#include <chrono>
#include <cstddef>
#include <jujubestand/core/address.hpp>
#include <jujubestand/core/slot_map.hpp>
#include <jujubestand/http/message.hpp>
#include <memory>
#include <optional>
#include <sigc++/sigc++.h>
#include <string>

struct event_base;

namespace jujubestand::http
{

/// \brief Address of one request under way.
using exchange_id = slot_id<struct exchange_tag>;

/// \brief Limits of a client.
struct client_options
{
    std::size_t header_limit_bytes = 64U << 10U;
    std::size_t body_limit_bytes = 64U << 20U;
    /// An answer's body may have any length.
    bool is_endless = false;
    /// Largest part of an answer that can be passed on only as a whole, as a
    /// chunk or the line with its size can.
    std::size_t part_limit_bytes = 4U << 20U;
    /// Bytes of all answers under way together, as far as their owners or the
    /// client keep them; past it the largest answers are ended. 0: no limit.
    std::size_t kept_limit_bytes = 0;
    std::chrono::milliseconds connect_timeout{1'000};
    /// Longest silence of the server.
    std::chrono::milliseconds read_timeout{120'000};
};

/// \brief evhttp's client: one connection per request, no retries, answers
/// as they come.
class client
{
public:
    client(event_base* base, client_options options);
    ~client();
    client(client const&) = delete;
    client& operator=(client const&) = delete;
    client(client&&) = delete;
    client& operator=(client&&) = delete;

    /// \brief Sends a request. What becomes of it is told by the signals,
    /// never from within this call.
    [[nodiscard]] exchange_id start(address const& where, request sent);

    /// \brief Closes the connection; no signal follows for it.
    void cancel(exchange_id exchange);

    /// \brief Stops and goes on reading the answer.
    void pause(exchange_id exchange);
    void unpause(exchange_id exchange);

    /// \brief States how many bytes of its answer's body the owner of an
    /// exchange keeps; all that it was given if it states nothing.
    void set_kept(exchange_id exchange, std::size_t bytes);

    /// \brief Whether some of the request's bytes went to the socket.
    [[nodiscard]] bool may_have_sent(exchange_id exchange);

    /// \brief Requests under way.
    [[nodiscard]] std::size_t open_exchanges() const noexcept;

    /// \brief Status and headers came.
    sigc::signal<void(exchange_id, response_head)> head;
    /// \brief Bytes of the answer's body came.
    sigc::signal<void(exchange_id, std::string)> data;
    /// \brief The exchange is over; its id is stale from now on.
    sigc::signal<void(exchange_id, exchange_end)> ended;

private:
    struct state;
    std::unique_ptr<state> self;
};

} // namespace jujubestand::http

#endif
