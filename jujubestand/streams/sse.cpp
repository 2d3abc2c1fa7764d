#include <jujubestand/streams/sse.hpp>

#include <charconv>
#include <utility>

namespace jujubestand::streams
{

namespace
{

void take_id(sse_event& event, std::string_view value)
{
    std::uint64_t number = 0;
    char const* const end = value.data() + value.size();
    auto const read = std::from_chars(value.data(), end, number);
    event.has_malformed_id = read.ec != std::errc{} || read.ptr != end;
    event.id.reset();
    if (!event.has_malformed_id)
        event.id = number;
}

void take_data(sse_event& event, std::string_view value)
{
    if (std::exchange(event.has_data, true))
        event.data += '\n';
    event.data += value;
}

void take_field(sse_event& event, std::string_view line)
{
    std::size_t const colon = line.find(':');
    std::string_view const name = line.substr(0, colon);
    std::string_view value;
    if (colon != std::string_view::npos)
        value = line.substr(colon + 1);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    if (name == "data")
        take_data(event, value);
    else if (name == "id")
        take_id(event, value);
    else if (name == "event")
        event.name = value;
}

void end_line(sse_splitter& splitter, std::vector<sse_event>& events)
{
    if (!splitter.line.empty())
    {
        take_field(splitter.next, splitter.line);
        splitter.line.clear();
        splitter.has_line = true;
        return;
    }
    if (std::exchange(splitter.has_line, false))
        events.push_back(std::exchange(splitter.next, {}));
}

void take(sse_splitter& splitter, char letter, std::vector<sse_event>& events)
{
    splitter.next.raw += letter;
    bool const is_pair = splitter.is_after_cr && letter == '\n';
    splitter.is_after_cr = letter == '\r';
    if (is_pair)
        return;
    if (letter == '\r' || letter == '\n')
        end_line(splitter, events);
    else
        splitter.line += letter;
}

} // namespace

bool feed(sse_splitter& splitter, std::string_view bytes,
          std::vector<sse_event>& events, reason& why)
{
    for (char const letter : bytes)
    {
        take(splitter, letter, events);
        if (splitter.next.raw.size() <= splitter.event_limit_bytes)
            continue;
        why = reason{reason_code::answer_too_large,
                     "an event passes " +
                         std::to_string(splitter.event_limit_bytes) + " bytes",
                     ""};
        return false;
    }
    return true;
}

bool is_between_events(sse_splitter const& splitter) noexcept
{
    return !splitter.has_line && splitter.line.empty();
}

} // namespace jujubestand::streams
