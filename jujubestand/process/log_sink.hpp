#ifndef JUJUBESTAND_PROCESS_LOG_SINK_HPP
#define JUJUBESTAND_PROCESS_LOG_SINK_HPP

#include <jujubestand/core/event.hpp>

namespace jujubestand::process
{

/// \brief Writes every event as one glog line; failures as warnings.
void log_event(event_note const& what);

} // namespace jujubestand::process

#endif
