#include <jujubestand/limits/quota_terms.hpp>

#include <algorithm>
#include <cmath>

namespace jujubestand::limits
{

namespace
{

/// Parts of the tolerance. What is left of it is for two issuers that overlap
/// for a moment.
constexpr double capacity_part = 0.125;
constexpr double credit_part = 0.25;
constexpr double refund_part = 0.25;

/// Part for calls that cost more than a burst.
constexpr double large_call_part = 0.25;

/// Window if the deployment doesn't state one.
constexpr std::chrono::milliseconds default_window{8'000};

double seconds(microseconds span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

double tolerance_of(quota_terms const& terms) noexcept
{
    return (terms.rate * seconds(terms.window) + terms.burst) * terms.overage +
           terms.slack;
}

double capacity_of(quota_terms const& terms) noexcept
{
    return terms.burst + tolerance_of(terms) * capacity_part;
}

std::uint64_t credit_of(quota_terms const& terms, std::size_t gateways) noexcept
{
    if (gateways == 0)
        return 0;
    return static_cast<std::uint64_t>(tolerance_of(terms) * credit_part /
                                      static_cast<double>(gateways));
}

// Within this age, calls cost no more than this part of the tolerance beside
// what the bucket held: so much may be used again in a window that the first
// use of it is not in.
microseconds refund_age_limit(quota_terms const& terms) noexcept
{
    if (terms.rate <= 0)
        return microseconds{0};
    double const age = tolerance_of(terms) * refund_part / terms.rate;
    return std::chrono::duration_cast<microseconds>(
        std::chrono::duration<double>(
            std::min(age, seconds(window_of(terms)))));
}

// With `extra` charged, calls of this cost alone come to at most
// rate * window + cost - extra in any window, as long as one charge takes no
// longer than a window to earn.
std::optional<std::uint64_t> charge_for(quota_terms const& terms,
                                        double cost) noexcept
{
    double const at_once = terms.burst + tolerance_of(terms) * large_call_part;
    double const extra = std::max(0.0, cost - at_once);
    bool const fits =
        extra == 0 || cost + extra <= terms.rate * seconds(window_of(terms));
    if (!fits)
        return std::nullopt;
    return static_cast<std::uint64_t>(std::ceil(cost + extra));
}

microseconds window_of(quota_terms const& terms) noexcept
{
    return terms.window.count() > 0 ? terms.window : default_window;
}

} // namespace jujubestand::limits
