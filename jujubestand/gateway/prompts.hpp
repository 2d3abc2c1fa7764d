#ifndef JUJUBESTAND_GATEWAY_PROMPTS_HPP
#define JUJUBESTAND_GATEWAY_PROMPTS_HPP

#include <jujubestand/gateway/state.hpp>
#include <optional>
#include <string_view>

/// \brief Prompts of calls, also of those whose fields can't be read.
namespace jujubestand::gateway
{

/// \brief The pool of a name; null if the configuration has none that can be
/// read.
[[nodiscard]] traffic::pool const* pool_of(gateway_state const& state,
                                           std::string_view name);

/// \brief Whether calls of the route to a pool may run at engines.
/// \param pool may be null: it can't be read
[[nodiscard]] bool is_for_engines(active_call const& call,
                                  traffic::pool const* pool);

/// \brief The prompt that dispatch counts with. One that can't be read as a
/// whole has no parts.
/// \returns nothing if the call is not for engines, or its model is not known
[[nodiscard]] std::optional<traffic::prompt>
dispatch_prompt(active_call const& call, traffic::pool const* pool);

/// \brief Counts a call for engines whose prompt can't be read.
void count_unreadable_prompt(gateway_state& state, active_call const& call);

/// \brief Logs the counted calls, at most once a second.
void report_unreadable_prompts(gateway_state& state, mono_time now);

} // namespace jujubestand::gateway

#endif
