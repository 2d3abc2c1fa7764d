#ifndef JUJUBESTAND_STREAMS_SSE_HPP
#define JUJUBESTAND_STREAMS_SSE_HPP

#include <cstddef>
#include <cstdint>
#include <jujubestand/core/reason.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujubestand::streams
{

/// \brief One event of a text/event-stream body.
struct sse_event
{
    /// Its bytes as they came, with the blank line that ends it.
    std::string raw;
    std::optional<std::uint64_t> id;
    /// There was an `id` line, but no decimal number on it.
    bool has_malformed_id = false;
    std::string name;
    bool has_data = false;
    std::string data;
};

/// \brief Cuts a text/event-stream body into events, whatever the pieces it
/// arrives in.
struct sse_splitter
{
    std::size_t event_limit_bytes = 1U << 20U;
    sse_event next;
    std::string line;
    bool is_after_cr = false;
    bool has_line = false;
};

/// \brief Takes the next bytes of the body.
/// \param[out] events events that are whole now are appended here; a group
/// of comment lines alone is an event without data
/// \returns false, with `why` set, if an event passes the limit
[[nodiscard]] bool feed(sse_splitter& splitter, std::string_view bytes,
                        std::vector<sse_event>& events, reason& why);

/// \brief Whether nothing of a further event has come yet.
[[nodiscard]] bool is_between_events(sse_splitter const& splitter) noexcept;

} // namespace jujubestand::streams

#endif
