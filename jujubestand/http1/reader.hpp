#ifndef JUJUBESTAND_HTTP1_READER_HPP
#define JUJUBESTAND_HTTP1_READER_HPP

#include <cstddef>
#include <cstdint>
#include <jujubestand/http1/head.hpp>
#include <memory>
#include <optional>
#include <string>

struct evbuffer;

namespace jujubestand::http1
{

/// \brief What a connection's peer sends.
enum class message_kind : std::uint8_t
{
    request,
    response,
};

/// \brief Largest parts of a message that are taken in.
struct reader_limits
{
    std::size_t head_bytes = 16'384;
    std::size_t body_bytes = 8U << 20U;
};

/// \brief What one call of `reader::read` found, in this order.
struct read_result
{
    /// The head became complete.
    std::optional<message_head> head;
    /// Next bytes of the body.
    std::string body;
    bool is_complete = false;
    /// Set if the bytes are no message within the limits; nothing more can
    /// be read then.
    std::optional<reason> failure;
};

/// \brief Reads HTTP/1.1 messages from a connection's input, one at a time.
class reader
{
public:
    reader(message_kind kind, reader_limits limits);
    ~reader();
    reader(reader&&) noexcept;
    reader& operator=(reader&&) noexcept;
    reader(reader const&) = delete;
    reader& operator=(reader const&) = delete;

    /// \brief Takes bytes of the current message out of `input`; bytes after
    /// its end stay there.
    [[nodiscard]] read_result read(evbuffer* input);

    /// \brief The peer closed its side in order. \returns whether the message
    /// is complete by that, as a response without a length is
    [[nodiscard]] bool is_completed_by_close();

    /// \brief Gets ready for the next message.
    void reset();

    /// \brief Whether bytes of a message were read and it is not complete.
    [[nodiscard]] bool is_within_message() const noexcept;

private:
    struct state;
    std::unique_ptr<state> self;
};

} // namespace jujubestand::http1

#endif
