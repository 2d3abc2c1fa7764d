#ifndef JUJUBESTAND_AGENT_WEIGHTS_HPP
#define JUJUBESTAND_AGENT_WEIGHTS_HPP

#include <jujubestand/agent/state.hpp>
#include <string>
#include <vector>

/// \brief Requested versions of weights, and load orders to the engine.
namespace jujubestand::agent
{

/// \brief Acquires the fencing token for this agent's orders from the store.
void acquire_fence(agent_state& state);

/// \brief Handles a requested version, from a gateway or from the store.
void on_requested_version(agent_state& state, std::string const& model,
                          std::uint64_t version, mono_time now);

/// \brief Applies changed records of the operator's topic.
void apply_records(agent_state& state, std::vector<follow::record> const& rows);

/// \brief Orders the engine to load weights.
void send_order(agent_state& state, order const& load_order);

} // namespace jujubestand::agent

#endif
