#ifndef JUJUBESTAND_GATEWAY_MIGRATION_HPP
#define JUJUBESTAND_GATEWAY_MIGRATION_HPP

#include <jujubestand/gateway/state.hpp>

/// \brief Withdrawal of calls from engines, and their migration to others.
namespace jujubestand::gateway
{

/// \brief Migrates resumable streams away from an engine that is about to load
/// weights, since the load waits for every call running on the engine.
void migrate_streams(gateway_state& state, dispatch::upstream_key source);

/// \brief Withdraws calls that have not begun before the time limit of their
/// engine's weights, and retries them elsewhere where allowed.
void withdraw_overdue_calls(gateway_state& state);

/// \brief Sends calls at engines that stand still elsewhere where they may be
/// repeated or resumed; the others wait for their engine.
void move_stranded_calls(gateway_state& state);

} // namespace jujubestand::gateway

#endif
