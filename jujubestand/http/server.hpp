#ifndef JUJUBESTAND_HTTP_SERVER_HPP
#define JUJUBESTAND_HTTP_SERVER_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <jujubestand/core/address.hpp>
#include <jujubestand/core/slot_map.hpp>
#include <jujubestand/http/message.hpp>
#include <memory>
#include <optional>
#include <sigc++/sigc++.h>
#include <string>
#include <string_view>
#include <vector>

struct event_base;

namespace jujubestand::http
{

/// \brief Address of one caller's request that is still unanswered.
using caller_id = slot_id<struct caller_tag>;

/// \brief Limits of a server.
struct server_options
{
    std::size_t header_limit_bytes = 32U << 10U;
    std::size_t body_limit_bytes = 8U << 20U;
    std::chrono::seconds read_timeout{30};
};

/// \brief evhttp's server, with the gaps in its handling of callers closed.
///
/// A caller's going away is noticed at once, what a caller may leave unread
/// is for the user to bound by `buffered_bytes`, and an answer that ends in
/// the middle is cut, never closed by an empty chunk.
class server
{
public:
    server(event_base* base, server_options options);
    ~server();
    server(server const&) = delete;
    server& operator=(server const&) = delete;
    server(server&&) = delete;
    server& operator=(server&&) = delete;

    /// \brief Listens. \returns the bound address (port 0 resolved)
    [[nodiscard]] std::optional<address> listen(address const& where,
                                                reason& why);

    /// \brief Stops listening; requests that came are still answered.
    void stop_accepting();

    /// \brief Sends a whole answer. Does nothing for a caller that is gone.
    void reply(caller_id caller, int status, std::vector<field> const& headers,
               std::string_view body);

    /// \brief Sends status and headers of a streamed answer.
    void start(caller_id caller, int status, std::vector<field> const& headers);

    /// \brief Sends the next bytes of a started answer.
    void write(caller_id caller, std::string_view bytes);

    /// \brief Ends a started answer that is whole.
    void finish(caller_id caller);

    /// \brief Cuts the connection of a started answer that is not whole, once
    /// the written bytes are out.
    void abort(caller_id caller);

    /// \brief Bytes accepted by `write` that the socket has not taken yet.
    [[nodiscard]] std::size_t buffered_bytes(caller_id caller);

    /// \brief Callers that are waiting for an answer or its last bytes; a
    /// process that ends while there are any cuts them off.
    [[nodiscard]] std::size_t open_callers() const noexcept;

    /// \brief A whole request came; the receiver owes an answer.
    sigc::signal<void(caller_id, request)> requested;
    /// \brief All written bytes have gone to the socket.
    sigc::signal<void(caller_id)> drained;
    /// \brief The caller went away before its answer ended.
    sigc::signal<void(caller_id)> closed;

private:
    struct state;
    std::unique_ptr<state> self;
};

} // namespace jujubestand::http

#endif
