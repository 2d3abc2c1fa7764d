#include <jujubestand/gateway/event_stream.hpp>

#include <charconv>

namespace jujubestand::gateway
{

namespace
{

/// Limit on the buffered bytes of an incomplete event.
constexpr std::size_t event_limit_bytes = 64U << 10U;

// Size of the first event including the blank line that ends it; 0 if the text
// holds no complete event.
std::size_t first_event_bytes(std::string_view text)
{
    constexpr std::string_view plain_end = "\n\n";
    constexpr std::string_view crlf_end = "\r\n\r\n";
    auto const plain = text.find(plain_end);
    auto const crlf = text.find(crlf_end);
    if (plain == std::string_view::npos && crlf == std::string_view::npos)
        return 0;
    if (plain < crlf)
        return plain + plain_end.size();
    return crlf + crlf_end.size();
}

std::optional<std::uint64_t> id_of(std::string_view event)
{
    constexpr std::string_view key = "id:";
    while (!event.empty())
    {
        auto const end = event.find('\n');
        auto line = event.substr(0, end);
        event.remove_prefix(end == std::string_view::npos ? event.size()
                                                          : end + 1);
        if (!line.starts_with(key))
            continue;
        line.remove_prefix(key.size());
        while (line.starts_with(' '))
            line.remove_prefix(1);
        std::uint64_t value = 0;
        if (std::from_chars(line.data(), line.data() + line.size(), value).ec ==
            std::errc{})
            return value;
    }
    return std::nullopt;
}

bool was_forwarded(event_stream const& state, std::optional<std::uint64_t> id)
{
    return id && state.last_id && *id <= *state.last_id;
}

} // namespace

std::string on_bytes(event_stream& state, std::string_view bytes)
{
    std::string forwarded;
    state.partial += bytes;
    std::string_view remaining = state.partial;
    while (std::size_t const size = first_event_bytes(remaining))
    {
        auto const event = remaining.substr(0, size);
        auto const id = id_of(event);
        remaining.remove_prefix(size);
        ++state.response_events;
        if (was_forwarded(state, id))
            continue;
        forwarded += event;
        if (id)
            state.last_id = id;
    }
    state.partial.erase(0, state.partial.size() - remaining.size());
    state.is_broken = state.partial.size() > event_limit_bytes;
    return forwarded;
}

// A connection that closes before the first event may have been meant to carry
// some; chunks or a length say that there are none.
bool is_whole(event_stream const& state, http1::body_framing framing) noexcept
{
    constexpr char const* line_ends = "\r\n";
    bool const is_between_events =
        state.partial.find_first_not_of(line_ends) == std::string::npos;
    return is_between_events &&
           (framing != http1::body_framing::close || state.response_events > 0);
}

void begin_response(event_stream& state)
{
    state.partial.clear();
    state.response_events = 0;
}

} // namespace jujubestand::gateway
