#ifndef JUJUBESTAND_TIMELINE_EVENT_HPP
#define JUJUBESTAND_TIMELINE_EVENT_HPP

#include <cstdint>
#include <jujubestand/core/event.hpp>
#include <jujubestand/core/hybrid_time.hpp>
#include <jujubestand/core/ids.hpp>
#include <optional>
#include <string>
#include <vector>

namespace jujubestand::timeline
{

/// \brief An event with the stamp and the place that it happened at.
struct stamped_event
{
    hybrid_time stamp;
    /// Counts up within one process; orders events of one stamp.
    std::uint64_t sequence = 0;
    instance_id instance;
    event_note what;
};

/// \brief Which events are wanted; empty parts take any.
struct event_filter
{
    std::optional<request_id> request;
    instance_id instance;
    team_id team;
    std::optional<event_number> number;
};

/// \brief Whether an event is wanted.
[[nodiscard]] bool matches(event_filter const& filter,
                           stamped_event const& event) noexcept;

} // namespace jujubestand::timeline

#endif
