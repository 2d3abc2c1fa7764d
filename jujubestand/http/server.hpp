#ifndef JUJUBESTAND_HTTP_SERVER_HPP
#define JUJUBESTAND_HTTP_SERVER_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <jujubestand/core/address.hpp>
#include <jujubestand/core/slot_map.hpp>
#include <jujubestand/http/message.hpp>
#include <jujubestand/http1/server.hpp>
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
    http1::server_limits requests{{32U << 10U, 8U << 20U},
                                  std::chrono::seconds{30},
                                  std::chrono::seconds{30},
                                  std::chrono::seconds{30}};
    /// Connections that are open; 0: no limit.
    std::size_t connections = 0;
    /// Bytes of all requests together that are being read or wait for the end
    /// of their answer; 0: no limit.
    std::size_t held_requests_bytes = 0;
    /// Makes the response to a request that can't be read.
    std::function<http1::server_refusal(reason const&)> refusal_of;
};

/// \brief Server of requests that are received whole, with signals.
///
/// Another request of a connection is read once the one before is answered.
/// What a caller may leave unread is for the user to bound by `buffered_bytes`,
/// and an answer that ends in the middle is cut, never closed as if it were
/// complete.
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
    [[nodiscard]] std::size_t open_callers() const;

    /// \brief A whole request came; the receiver owes an answer.
    sigc::signal<void(caller_id, request)> requested;
    /// \brief There is no room for a request's body, which is not given; the
    /// receiver owes a refusal.
    sigc::signal<void(caller_id)> refused;
    /// \brief All written bytes have gone to the socket.
    sigc::signal<void(caller_id)> drained;
    /// \brief The caller went away before its answer ended.
    sigc::signal<void(caller_id)> closed;
    /// \brief Callers were limited; at most once a second.
    sigc::signal<void(http1::limited_clients)> limited;

private:
    struct state;
    std::unique_ptr<state> self;
};

} // namespace jujubestand::http

#endif
