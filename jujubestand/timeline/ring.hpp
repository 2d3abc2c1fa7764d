#ifndef JUJUBESTAND_TIMELINE_RING_HPP
#define JUJUBESTAND_TIMELINE_RING_HPP

#include <cstddef>
#include <jujubestand/timeline/event.hpp>
#include <vector>

namespace jujubestand::timeline
{

/// \brief The last events of one process; the oldest make room.
struct ring
{
    std::size_t capacity = 16'384;
    instance_id instance;
    /// Sequence of the next event; the ring holds those before it.
    std::uint64_t next_sequence = 0;
    std::vector<stamped_event> events;
};

/// \brief Longest text of one field; longer ones are cut.
inline constexpr std::size_t field_limit_bytes = 256;

/// \brief Takes an event in.
void add(ring& into, hybrid_time stamp, event_note const& what);

/// \brief Part of a ring.
struct page
{
    std::vector<stamped_event> events;
    /// Where to go on reading.
    std::uint64_t next_sequence = 0;
    /// Events between the one asked for and the oldest one kept.
    std::uint64_t lost = 0;
};

/// \brief Events from `sequence` on that the filter wants.
/// \param limit most events of the page
[[nodiscard]] page read(ring const& from, std::uint64_t sequence,
                        event_filter const& filter, std::size_t limit);

} // namespace jujubestand::timeline

#endif
