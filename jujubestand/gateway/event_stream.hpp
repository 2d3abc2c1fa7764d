#ifndef JUJUBESTAND_GATEWAY_EVENT_STREAM_HPP
#define JUJUBESTAND_GATEWAY_EVENT_STREAM_HPP

#include <cstdint>
#include <jujubestand/http1/head.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace jujubestand::gateway
{

/// \brief Forwarding state of a stream of server-sent events.
struct event_stream
{
    /// Bytes of an incomplete event.
    std::string partial;
    /// Complete events of the current response.
    std::uint64_t response_events = 0;
    /// Highest id that was forwarded.
    std::optional<std::uint64_t> last_id;
    /// An event arrived out of order; no further event may be forwarded.
    bool is_broken = false;
};

/// \brief Consumes bytes of a stream.
/// \returns the events completed by these bytes, without those that were
/// already forwarded
[[nodiscard]] std::string on_bytes(event_stream& state, std::string_view bytes);

/// \brief Whether the stream is whole at the end of a response. Its framing
/// alone does not prove that: an upstream may break off and still end it in
/// order.
[[nodiscard]] bool is_whole(event_stream const& state,
                            http1::body_framing framing) noexcept;

/// \brief Discards the incomplete event before the stream resumes in another
/// response.
void begin_response(event_stream& state);

} // namespace jujubestand::gateway

#endif
