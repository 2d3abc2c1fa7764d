#ifndef JUJUBESTAND_AGENT_ENGINE_HPP
#define JUJUBESTAND_AGENT_ENGINE_HPP

#include <jujubestand/agent/state.hpp>

/// \brief What the agent learns from its engine.
namespace jujubestand::agent
{

/// \brief Asks the engine for its report, unless a question is open.
void ask_report(agent_state& self);

/// \brief Asks the engine for changes of its cache, and goes on doing so.
void ask_cache_events(agent_state& self);

} // namespace jujubestand::agent

#endif
