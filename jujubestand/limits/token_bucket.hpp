#ifndef JUJUBESTAND_LIMITS_TOKEN_BUCKET_HPP
#define JUJUBESTAND_LIMITS_TOKEN_BUCKET_HPP

#include <jujubestand/core/time.hpp>

namespace jujubestand::limits
{

/// \brief A token bucket whose rate may change; a token is the right to send
/// one call.
struct token_bucket
{
    /// Negative while calls that were sent already are made up for.
    double tokens = 0;
    mono_time filled_at{};
};

/// \brief Adds the tokens since the last time.
void fill(token_bucket& bucket, double tokens_per_second, mono_time now);

/// \brief Adds the tokens since the last time, up to a capacity; what is there
/// already stays.
void fill(token_bucket& bucket, double tokens_per_second, double capacity,
          mono_time now);

/// \brief Tokens that are owed for calls which were sent before the limit was
/// known, within `recent_time`.
[[nodiscard]] double debt_of(double sent_before, double tokens_per_second);

/// \brief Time until the bucket holds a whole token.
[[nodiscard]] microseconds time_to_token(token_bucket const& bucket,
                                         double tokens_per_second);

} // namespace jujubestand::limits

#endif
