#include <jujubestand/process/log_sink.hpp>

#include <algorithm>
#include <array>
#include <glog/logging.h>

namespace jujubestand::process
{

namespace
{

constexpr auto warnings = std::to_array<event_number>({
    event_number::request_failed,
    event_number::attempt_failed,
    event_number::call_failed,
    event_number::answer_rejected,
    event_number::link_refused,
    event_number::drain_cut,
    event_number::log_unreachable,
    event_number::log_gap,
    event_number::strike_recorded,
    event_number::request_quarantined,
});

// The course of a request that goes well: several events each, on the time
// line always, in the log only at GLOG_v=1.
constexpr auto details = std::to_array<event_number>({
    event_number::request_accepted,
    event_number::upstream_chosen,
    event_number::call_received,
    event_number::call_started,
    event_number::call_finished,
});

template <std::size_t Size>
bool stands_in(std::array<event_number, Size> const& list, event_number number)
{
    return std::find(list.begin(), list.end(), number) != list.end();
}

} // namespace

void log_event(event_note const& what)
{
    if (stands_in(warnings, what.number))
        LOG(WARNING) << to_line(what);
    else if (stands_in(details, what.number))
        VLOG(1) << to_line(what);
    else
        LOG(INFO) << to_line(what);
}

} // namespace jujubestand::process
