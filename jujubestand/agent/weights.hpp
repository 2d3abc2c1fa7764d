#ifndef JUJUBESTAND_AGENT_WEIGHTS_HPP
#define JUJUBESTAND_AGENT_WEIGHTS_HPP

#include <jujubestand/agent/state.hpp>
#include <string>
#include <vector>

/// \brief Which weights the engine is to load, and the orders to do so.
namespace jujubestand::agent
{

/// \brief Gets the number that this agent's orders bear, from the store.
void take_fence(agent_state& self);

/// \brief Somebody told which weights are wanted.
void take_wanted(agent_state& self, std::string const& model,
                 std::uint64_t version, mono_time now);

/// \brief Records of the operator changed.
void apply_records(agent_state& self, std::vector<follow::record> const& rows);

/// \brief Orders the engine to load weights.
void give_order(agent_state& self, order const& given);

} // namespace jujubestand::agent

#endif
