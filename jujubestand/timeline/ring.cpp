#include <jujubestand/timeline/ring.hpp>

#include <algorithm>

namespace jujubestand::timeline
{

namespace
{

event_note bounded(event_note note)
{
    for (auto& field : note.fields)
    {
        if (field.value.size() > field_limit_bytes)
            field.value.resize(field_limit_bytes);
    }
    return note;
}

} // namespace

bool matches(event_filter const& filter, stamped_event const& event) noexcept
{
    bool const is_request =
        !filter.request || *filter.request == event.what.request;
    bool const is_instance =
        filter.instance.empty() || filter.instance == event.instance;
    bool const is_team = filter.team.empty() || filter.team == event.what.team;
    bool const is_number =
        !filter.number || *filter.number == event.what.number;
    return is_request && is_instance && is_team && is_number;
}

void add(ring& into, hybrid_time stamp, event_note const& what)
{
    stamped_event next{stamp, into.next_sequence, into.instance, bounded(what)};
    if (into.events.size() < into.capacity)
        into.events.push_back(std::move(next));
    else
        into.events[into.next_sequence % into.capacity] = std::move(next);
    ++into.next_sequence;
}

page read(ring const& from, std::uint64_t sequence, event_filter const& filter,
          std::size_t limit)
{
    std::uint64_t const oldest = from.next_sequence - from.events.size();
    page result;
    result.lost = sequence < oldest ? oldest - sequence : 0;
    std::uint64_t at = std::max(sequence, oldest);
    for (; at < from.next_sequence && result.events.size() < limit; ++at)
    {
        auto const& event = from.events[at % from.capacity];
        if (matches(filter, event))
            result.events.push_back(event);
    }
    result.next_sequence = std::max(at, sequence);
    return result;
}

} // namespace jujubestand::timeline
