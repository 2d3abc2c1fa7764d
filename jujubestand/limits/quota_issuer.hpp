#ifndef JUJUBESTAND_LIMITS_QUOTA_ISSUER_HPP
#define JUJUBESTAND_LIMITS_QUOTA_ISSUER_HPP

#include <cstdint>
#include <jujubestand/core/time.hpp>
#include <jujubestand/limits/quota_messages.hpp>
#include <jujubestand/limits/quota_terms.hpp>
#include <jujubestand/limits/token_bucket.hpp>
#include <map>
#include <string>

/// \brief The gateway that grants all tokens of a team.
namespace jujubestand::limits
{

/// \brief A gateway that requests tokens.
struct quota_requester
{
    mono_time requested_at{};
    /// Cost per second of the calls that arrive there.
    double demand = 0;
    /// Tokens that it may hold unused, and until when.
    double held = 0;
    mono_time held_until{};
    quota_answer last_answer;
};

/// \brief What the issuer keeps for one team.
struct issued_quota
{
    token_bucket bucket;
    bool counts_tokens = false;
    /// By IP address.
    std::map<std::string, quota_requester> requesters;
    /// Since the last line of the log.
    std::uint64_t granted = 0;
    std::uint64_t refusals = 0;
};

/// \brief State of a gateway as an issuer of tokens, by team.
struct quota_issuer
{
    std::map<std::string, issued_quota> teams;
};

/// \brief Terms under which tokens of a team are issued.
struct issue_terms
{
    quota_terms quota;
    /// Since when the gateway has been the issuer without interruption.
    mono_time since{};
    /// Part of the rate that may be issued here: the rest may be issued by
    /// gateways that are cut off from this one.
    double rate_share = 1;
};

/// \brief Keeps a bucket of a team's tokens from now on, if there is none.
void begin_issuing(quota_issuer& issuer, std::string const& team,
                   issue_terms const& terms, mono_time now);

/// \brief Decides on a request for tokens.
/// \param host IP address of the requester
/// \param draw uniform in [0, 1); spreads the next requests
[[nodiscard]] quota_answer issue(quota_issuer& issuer, std::string const& host,
                                 quota_request const& request,
                                 issue_terms const& terms, mono_time now,
                                 double draw);

/// \brief The answer of a gateway that can't decide.
[[nodiscard]] quota_answer undecided(quota_request const& request);

/// \brief The answer of an issuer by whose configuration the team has no quota.
[[nodiscard]] quota_answer unlimited(quota_request const& request);

/// \brief Fills the bucket of a team; runs now and then, so that tokens which
/// gateways have let expire are filled up.
void refill(issued_quota& issued, issue_terms const& terms, mono_time now);

/// \brief Changes to other terms; never adds tokens.
void change_terms(issued_quota& issued, quota_terms const& terms);

} // namespace jujubestand::limits

#endif
