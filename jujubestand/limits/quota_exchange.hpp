#ifndef JUJUBESTAND_LIMITS_QUOTA_EXCHANGE_HPP
#define JUJUBESTAND_LIMITS_QUOTA_EXCHANGE_HPP

#include <jujubestand/limits/gateway_list.hpp>
#include <jujubestand/limits/quota_holder.hpp>
#include <jujubestand/limits/quota_issuer.hpp>
#include <map>
#include <string>
#include <vector>

/// \brief What a gateway does about the quotas of teams: as a holder of tokens
/// for its own calls, and as the issuer of some teams' tokens.
namespace jujubestand::limits
{

/// \brief Terms of a team and since when they have been in force here.
struct team_terms
{
    quota_terms quota;
    mono_time since{};
};

/// \brief State of a gateway.
struct quota_exchange
{
    /// IP address of this gateway.
    std::string own;
    gateway_list gateways;
    /// Teams with a quota.
    std::map<std::string, team_terms> teams;
    std::map<std::string, quota_holder> holders;
    quota_issuer issuer;
    /// The issuer keeps a bucket for each of its teams, by the present teams
    /// and members.
    bool is_assigned = false;
    mono_time assigned_members{};
    /// The configuration in force is confirmed to be current.
    bool is_current = false;
    /// Last message of another process; without any, another issuer may have
    /// taken over.
    mono_time received_at{};
    /// Since when this process has run and received messages without a gap.
    mono_time steady_since{};
    mono_time reviewed_at{};
};

/// \brief A request and the gateway that it goes to.
struct addressed_request
{
    std::string host;
    quota_request request;
};

/// \brief What is to be done after a decision.
struct quota_effects
{
    std::vector<quota_decision> decisions;
    std::vector<addressed_request> requests;
};

/// \brief Starts an exchange; its process has just started.
[[nodiscard]] quota_exchange begin_exchange(std::string own, mono_time now);

/// \brief Applies another configuration.
/// \param teams quotas by team
/// \returns decisions on calls whose teams have no quota any more
[[nodiscard]] quota_effects
set_quotas(quota_exchange& exchange,
           std::map<std::string, quota_terms> const& teams, mono_time now);

/// \brief Decides on a call that has arrived.
/// \param draw uniform in [0, 1)
[[nodiscard]] quota_effects on_quota_call(quota_exchange& exchange,
                                          std::string const& team,
                                          std::uint64_t call, double cost,
                                          mono_time now, double draw);

/// \brief Answers a request of another gateway, or of this one.
[[nodiscard]] quota_answer on_quota_request(quota_exchange& exchange,
                                            std::string const& host,
                                            quota_request const& request,
                                            mono_time now, double draw);

/// \brief Applies the answer of another gateway.
[[nodiscard]] quota_effects on_quota_answer(quota_exchange& exchange,
                                            quota_answer const& answer,
                                            mono_time now, double draw);

/// \brief Does what is due; runs every 50 to 100 ms.
[[nodiscard]] quota_effects review_quotas(quota_exchange& exchange,
                                          mono_time now, double draw);

/// \brief Whether no message has been received for so long that the other
/// gateways may have chosen another issuer.
[[nodiscard]] bool is_cut_off(quota_exchange const& exchange, mono_time now);

} // namespace jujubestand::limits

#endif
