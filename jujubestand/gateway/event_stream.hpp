#ifndef JUJUBESTAND_GATEWAY_EVENT_STREAM_HPP
#define JUJUBESTAND_GATEWAY_EVENT_STREAM_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jujubestand::gateway
{

/// \brief What was passed on of a stream of server-sent events.
struct event_stream
{
    /// Bytes after the last whole event.
    std::string partial;
    /// Highest id that was passed on.
    std::optional<std::uint64_t> last_id;
    /// An event came out of order; nothing more may be passed on.
    bool is_broken = false;
};

/// \brief Takes in bytes of a stream.
/// \returns the whole events among them that follow the last one; an event
/// that was passed on before is left out
[[nodiscard]] std::string on_bytes(event_stream& state, std::string_view bytes);

/// \brief The stream goes on in another answer: what was partial is dropped.
void on_continued(event_stream& state);

} // namespace jujubestand::gateway

#endif
