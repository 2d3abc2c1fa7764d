#ifndef JUJUBESTAND_LINK_SESSION_HPP
#define JUJUBESTAND_LINK_SESSION_HPP

#include <cstddef>
#include <cstdint>
#include <jujubestand/core/address.hpp>
#include <jujubestand/core/reason.hpp>
#include <jujubestand/core/time.hpp>
#include <memory>
#include <optional>
#include <sigc++/sigc++.h>
#include <span>
#include <string>
#include <vector>

struct bufferevent;
struct event_base;
struct nghttp2_session;

namespace jujubestand::link
{

/// \brief What happened on a session's stream.
struct session_event
{
    enum class kind_type : std::uint8_t
    {
        opened,     ///< the peer opened the stream
        data,       ///< bytes came
        peer_ended, ///< the peer sends no more
        ended,      ///< the stream is over; `error_code` 0 if both ended it
    };

    kind_type kind = kind_type::opened;
    std::int32_t stream = 0;
    std::uint32_t error_code = 0;
    std::string bytes;
};

/// \brief What a stream has to send next.
struct session_output
{
    std::size_t bytes = 0;
    bool is_last = false;
};

/// \brief Limits that a session announces to its peer.
struct session_limits
{
    std::size_t stream_window_bytes = 0;
    std::size_t connection_window_bytes = 0;
    std::uint32_t streams_limit = 0;
};

/// \brief One nghttp2 session over one libevent buffer.
///
/// Events are emitted after nghttp2 has returned, so that a listener may
/// call any function here; it must not destroy the session.
class session
{
public:
    /// \brief Begins to connect to `where`.
    static std::unique_ptr<session> connect(event_base* base,
                                            address const& where,
                                            session_limits const& limits,
                                            reason& why);

    /// \brief Takes over an accepted socket.
    static std::unique_ptr<session> adopt(event_base* base, int socket,
                                          session_limits const& limits);

    ~session();
    session(session const&) = delete;
    session& operator=(session const&) = delete;
    session(session&&) = delete;
    session& operator=(session&&) = delete;

    /// \brief Opens a stream. \returns its number, or nothing if the session
    /// has none left
    [[nodiscard]] std::optional<std::int32_t> open();

    /// \brief Accepts a stream that the peer opened.
    void accept(std::int32_t stream);

    /// \brief The stream has something to send again.
    void resume(std::int32_t stream);

    /// \brief Ends the stream at once, with one of nghttp2's error codes.
    void reset(std::int32_t stream, std::uint32_t error_code);

    /// \brief Gives window back to the peer.
    void consume(std::int32_t stream, std::size_t bytes);

    /// \brief Asks the peer for a sign of life.
    void ping();

    /// \brief Moves what is due into the socket's buffer.
    void flush();

    /// \brief Bytes handed to the socket's buffer so far.
    [[nodiscard]] std::uint64_t buffered_bytes() const noexcept;

    /// \brief Bytes that left the buffer for the kernel.
    [[nodiscard]] std::uint64_t written_bytes() const noexcept;

    /// \brief Bytes read so far.
    [[nodiscard]] std::uint64_t read_bytes() const noexcept;

    /// \brief When the peer was last heard.
    [[nodiscard]] mono_time heard() const noexcept;

    /// \brief The connection stands; nothing is proved yet.
    sigc::signal<void()> up;
    /// \brief The connection is gone or of no use.
    sigc::signal<void(reason const&)> down;
    /// \brief Events of streams, in order.
    sigc::signal<void(std::vector<session_event> const&)> arrived;
    /// \brief Asked for a stream's next bytes, from within `flush`.
    sigc::slot<session_output(std::int32_t, std::span<char>)> source;

private:
    struct callbacks;

    session() = default;
    void start(bool is_client, session_limits const& limits);
    void deliver();
    void fail(reason_code code, std::string text);

    bufferevent* buffer = nullptr;
    nghttp2_session* protocol = nullptr;
    std::vector<session_event> inbox;
    std::uint64_t buffered = 0;
    std::uint64_t read = 0;
    mono_time last_read{};
    bool is_failed = false;
};

} // namespace jujubestand::link

#endif
