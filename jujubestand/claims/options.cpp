#include <jujubestand/claims/options.hpp>

namespace jujubestand::claims
{

std::optional<reason> check(claim_options const& options)
{
    // A key's first claim can be dated one skew before the key's time, and
    // the key is accepted up to one skew late.
    auto const needed = options.accepted_age + 2 * options.clock_skew;
    if (needed >= options.retention)
        return reason{reason_code::settings_invalid,
                      "accepted key age and clock skew reach the retention",
                      "claims.accepted_age"};
    return std::nullopt;
}

std::chrono::milliseconds window_age(claim_options const& options) noexcept
{
    return options.accepted_age + 2 * options.clock_skew + options.outcome_wait;
}

} // namespace jujubestand::claims
