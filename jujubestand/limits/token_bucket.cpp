#include <jujubestand/limits/token_bucket.hpp>

#include <algorithm>
#include <jujubestand/limits/recent_count.hpp>

namespace jujubestand::limits
{

namespace
{

/// Tokens are kept for this long, and at least one is, so that few are lost
/// while they wait for the next request.
constexpr std::chrono::duration<double> kept_for{0.5};

/// Calls sent before the limit was known delay the first one by no more than
/// this.
constexpr std::chrono::duration<double> debt_limit{2};

} // namespace

void fill(token_bucket& bucket, double tokens_per_second, mono_time now)
{
    double const capacity = std::max(1.0, tokens_per_second * kept_for.count());
    bucket.tokens = std::min(bucket.tokens, capacity);
    fill(bucket, tokens_per_second, capacity, now);
}

void fill(token_bucket& bucket, double tokens_per_second, double capacity,
          mono_time now)
{
    std::chrono::duration<double> const passed =
        std::max(microseconds{0}, now - bucket.filled_at);
    bucket.tokens = std::min(bucket.tokens + tokens_per_second * passed.count(),
                             std::max(bucket.tokens, capacity));
    bucket.filled_at = now;
}

double debt_of(double sent_before, double tokens_per_second)
{
    std::chrono::duration<double> const counted = recent_time;
    return std::clamp(sent_before - tokens_per_second * counted.count(), 0.0,
                      tokens_per_second * debt_limit.count());
}

microseconds time_to_token(token_bucket const& bucket, double tokens_per_second)
{
    if (bucket.tokens >= 1)
        return microseconds{0};
    constexpr double us_per_second = 1e6;
    return scaled((1 - bucket.tokens) / tokens_per_second * us_per_second);
}

} // namespace jujubestand::limits
