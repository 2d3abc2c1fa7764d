#ifndef JUJUBESTAND_LIMITS_PERMIT_ISSUER_HPP
#define JUJUBESTAND_LIMITS_PERMIT_ISSUER_HPP

#include <cstdint>
#include <jujubestand/core/ids.hpp>
#include <jujubestand/core/time.hpp>
#include <jujubestand/limits/permit_messages.hpp>
#include <jujubestand/limits/token_bucket.hpp>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \brief The gateway that grants all permits of an upstream. It is chosen by
/// rendezvous hashing among the gateways, so that all choose the same one.
namespace jujubestand::limits
{

/// \brief A gateway that requests permits.
struct permit_requester
{
    mono_time requested_at{};
    /// The calls that it sent before it knew of the limit are counted.
    bool is_counted = false;
};

/// \brief What the issuer keeps for one start of an upstream.
struct issued_permits
{
    incarnation_id incarnation;
    mono_time since{};
    token_bucket bucket;
    /// Calls that gateways sent shortly before they knew of the limit.
    double sent_before = 0;
    /// By IP address.
    std::map<std::string, permit_requester> requesters;
    /// The next permit is for this requester's order, until the time is over;
    /// empty: for anybody.
    std::string reserved_for;
    mono_time reserved_until{};
};

/// \brief State of a gateway as an issuer of permits, by upstream.
struct permit_issuer
{
    std::map<upstream_id, issued_permits> upstreams;
};

/// \brief Decides on a request for permits.
/// \param host IP address of the requester
/// \param rate calls a second that all gateways together may send
/// \param draw uniform in [0, 1); spreads the next requests
[[nodiscard]] permit_answer issue(permit_issuer& issuer,
                                  std::string const& host,
                                  permit_request const& request, double rate,
                                  mono_time now, double draw);

/// \brief The answer while permits may not be granted, such as from a gateway
/// that is not the issuer.
[[nodiscard]] permit_answer deny(permit_request const& request);

/// \brief Removes upstreams without a recent request.
void remove_unused(permit_issuer& issuer, mono_time now);

/// \brief The gateway that issues the permits of an upstream; empty if there
/// is no gateway.
/// \param hosts IP addresses of all gateways, in any order
[[nodiscard]] std::optional<std::string>
issuer_of(std::vector<std::string> const& hosts, upstream_id const& upstream);

/// \brief The same for what has a name.
[[nodiscard]] std::optional<std::string>
issuer_of(std::vector<std::string> const& hosts, std::string_view name);

} // namespace jujubestand::limits

#endif
