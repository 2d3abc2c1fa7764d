#ifndef JUJUBESTAND_LIMITS_QUOTA_TERMS_HPP
#define JUJUBESTAND_LIMITS_QUOTA_TERMS_HPP

#include <chrono>
#include <cstdint>
#include <jujubestand/core/time.hpp>
#include <optional>

/// \brief A team's quota together with the bounds within which it must hold.
namespace jujubestand::limits
{

/// \brief Validity of granted tokens, counted from their request: an issuer
/// that takes over doesn't know of them.
inline constexpr std::chrono::milliseconds grant_validity{1'000};

/// \brief Quota of a team, and by how much its calls may exceed it.
///
/// In each window its calls may cost up to `rate * window + burst` and the
/// tolerance of that.
struct quota_terms
{
    /// Tokens per second; a token is a unit of cost, be it a token of a prompt
    /// or a call.
    double rate = 0;
    double burst = 0;
    /// Calls cost their tokens; otherwise 1.
    bool counts_tokens = false;
    std::chrono::milliseconds window{0};
    double overage = 0;
    double slack = 0;

    bool operator==(quota_terms const&) const = default;
};

/// \brief What calls may cost in a window beside the quota.
[[nodiscard]] double tolerance_of(quota_terms const& terms) noexcept;

/// \brief Most tokens that are granted and not used yet, or can be granted at
/// once.
[[nodiscard]] double capacity_of(quota_terms const& terms) noexcept;

/// \brief What each gateway may use per window without a grant.
/// \param gateways number of all gateways; 0: not known
[[nodiscard]] std::uint64_t credit_of(quota_terms const& terms,
                                      std::size_t gateways) noexcept;

/// \brief Age up to which the charge of a call that has not run is returned.
[[nodiscard]] microseconds refund_age_limit(quota_terms const& terms) noexcept;

/// \brief Tokens that a call is charged for its cost; more than its cost if it
/// costs more than fits in a burst. Empty: it never fits in the quota.
[[nodiscard]] std::optional<std::uint64_t> charge_for(quota_terms const& terms,
                                                      double cost) noexcept;

/// \brief Window in which the quota must hold; 8 s if the deployment states
/// none.
[[nodiscard]] microseconds window_of(quota_terms const& terms) noexcept;

} // namespace jujubestand::limits

#endif
