#ifndef JUJUBESTAND_HTTP1_CLIENT_HPP
#define JUJUBESTAND_HTTP1_CLIENT_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <jujubestand/core/address.hpp>
#include <jujubestand/core/slot_map.hpp>
#include <jujubestand/core/time.hpp>
#include <jujubestand/http1/reader.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

struct event_base;

namespace jujubestand::http1
{

/// \brief Address of a call under way.
using call_id = slot_id<struct client_call_tag>;

/// \brief A request and how it is to be sent.
struct client_request
{
    address server;
    std::string method = "GET";
    /// Path and query.
    std::string target;
    std::vector<http::field> fields;
    std::string body;
    std::chrono::milliseconds connect_timeout{1'000};
    /// From the start to the first byte of the answer's body; 0: none.
    std::chrono::milliseconds output_timeout{0};
    /// From the start to the end of the answer; 0: none.
    std::chrono::milliseconds timeout{0};
    /// A kept connection that was idle for longer is not used.
    std::chrono::milliseconds idle_limit{2'000};
    std::size_t answer_limit_bytes = 8U << 20U;
    /// Numbers of kept connections that are not used.
    std::vector<std::uint64_t> avoided_connections{};
};

/// \brief How a call ended.
struct call_end
{
    /// The answer came whole.
    bool is_complete = false;
    /// Some of the request's bytes may have reached the server.
    bool may_have_sent = false;
    /// The connection was closed or reset by the server.
    bool is_cut = false;
    /// Answers of other calls that were dropped before.
    unsigned foreign_answers = 0;
    reason why;
};

/// \brief What the client tells of one call, from the loop; never from
/// within `start`.
struct call_events
{
    /// Whether an answer belongs to another request; such an answer is read
    /// and dropped. May be empty.
    std::function<bool(message_head const&)> is_foreign;
    std::function<void(message_head const&)> on_head;
    std::function<void(std::string_view)> on_body;
    std::function<void(call_end const&)> on_end;
};

/// \brief HTTP/1.1 calls on libevent's loop over kept connections, one call
/// at a time on each; nothing is ever sent twice.
class client
{
public:
    /// \param base the process's loop; must outlive the client
    explicit client(event_base* base);
    ~client();
    client(client const&) = delete;
    client& operator=(client const&) = delete;
    client(client&&) = delete;
    client& operator=(client&&) = delete;

    /// \brief Starts a call.
    call_id start(client_request request, call_events events);

    /// \brief Drops a call and resets its connection; no event follows.
    void cancel(call_id call);

    /// \brief Limits the bytes of all answers under way together, as far as
    /// their owners or the client keep them. Past it the largest answers are
    /// ended, so that bytes without end take no memory of other calls.
    /// \param bytes 0: no limit
    void set_kept_limit(std::size_t bytes);

    /// \brief States how many bytes of its answer's body the owner of a call
    /// keeps; all that it was given if it states nothing.
    void set_kept(call_id call, std::size_t bytes);

    /// \brief Number of the connection of a call, in the order in which
    /// connections were opened; 0 if the call has ended.
    [[nodiscard]] std::uint64_t connection_of(call_id call) const;

    /// \brief Closes the kept connections to a server.
    void forget(address const& server);

    /// \brief Connections opened so far.
    [[nodiscard]] std::uint64_t opened() const noexcept;

private:
    struct state;
    std::unique_ptr<state> self;
};

} // namespace jujubestand::http1

#endif
