#ifndef JUJUBESTAND_LIMITS_GATEWAY_LIST_HPP
#define JUJUBESTAND_LIMITS_GATEWAY_LIST_HPP

#include <jujubestand/core/time.hpp>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// \brief The gateways among which the issuers of quotas are chosen.
namespace jujubestand::limits
{

/// \brief What a gateway knows of all gateways, by IP address.
struct gateway_list
{
    /// The latest list; empty until there is one.
    std::vector<std::string> listed;
    /// Those that an earlier list had: when that was last so.
    std::map<std::string, mono_time> unlisted;
    /// Those that are gone without a notice, since when.
    std::map<std::string, mono_time> missing;
    /// Those that have said that they are about to end.
    std::map<std::string, mono_time> ending;
    /// The gateways among which issuers are chosen.
    std::vector<std::string> members;
    /// When these last changed.
    mono_time changed_at{};
};

/// \brief Applies the list in force; also reviews what is due.
/// \param own IP address of this gateway
void set_listed(gateway_list& gateways, std::vector<std::string> const& listed,
                std::string const& own, mono_time now);

/// \brief Notes that a gateway is about to end.
void on_ending(gateway_list& gateways, std::string const& host, mono_time now);

/// \brief Part of a team's rate that the issuer may issue while gateways are
/// missing: they may be cut off together, with an issuer of their own.
[[nodiscard]] double rate_share(gateway_list const& gateways);

} // namespace jujubestand::limits

#endif
