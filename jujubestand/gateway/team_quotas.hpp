#ifndef JUJUBESTAND_GATEWAY_TEAM_QUOTAS_HPP
#define JUJUBESTAND_GATEWAY_TEAM_QUOTAS_HPP

#include <jujubestand/gateway/state.hpp>
#include <string_view>

/// \brief Quotas of teams: the charge of calls on arrival, and the exchange of
/// tokens between gateways.
namespace jujubestand::gateway
{

/// \brief Charges a call of a team with a quota.
/// \returns whether it may go on now; otherwise it waits for tokens, or has
/// been refused
[[nodiscard]] bool charge_call(gateway_state& state, dispatch::call_key key);

/// \brief Returns what a call was charged that has not run, and will not.
void refund_call(gateway_state& state, active_call const& call);

/// \brief Removes a call that ends while it waits for tokens.
void remove_uncharged(gateway_state& state, active_call const& call);

/// \brief Applies the quotas of the tables in force.
void apply_quotas(gateway_state& state);

/// \brief Requests tokens that are due, refuses calls without an answer, and
/// writes counters to the log; runs at each tick.
void review_team_quotas(gateway_state& state);

/// \brief Handles a request, an answer or a notice of another gateway.
void on_quota_datagram(gateway_state& state, address const& sender,
                       std::string_view bytes);

} // namespace jujubestand::gateway

#endif
