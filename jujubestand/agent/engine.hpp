#ifndef JUJUBESTAND_AGENT_ENGINE_HPP
#define JUJUBESTAND_AGENT_ENGINE_HPP

#include <jujubestand/agent/state.hpp>

/// \brief Polls the engine for its report and its cache events.
namespace jujubestand::agent
{

/// \brief Requests the engine's report, unless a request is in flight.
void request_report(agent_state& state);

/// \brief Starts polling the engine for changes of its cache; each response
/// schedules the next request.
void request_cache_events(agent_state& state);

} // namespace jujubestand::agent

#endif
