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

} // namespace

void log_event(event_note const& what)
{
    bool const is_warning = std::find(warnings.begin(), warnings.end(),
                                      what.number) != warnings.end();
    if (is_warning)
        LOG(WARNING) << to_line(what);
    else
        LOG(INFO) << to_line(what);
}

} // namespace jujubestand::process
