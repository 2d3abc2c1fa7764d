#include <jujubestand/dispatch/engine_sample.hpp>

#include <algorithm>
#include <cmath>
#include <jujubestand/placement/rendezvous.hpp>

namespace jujubestand::dispatch
{

namespace
{

/// Reports are about as old as this when calls are sent by them.
constexpr std::chrono::duration<double> report_interval{0.1};

/// Engines with so many tokens of the prompt cached are always compared: few
/// have the same prompt, so that calls with it do not all go to one.
constexpr double cached_tokens_min = 1'000;

// Another one at each time, so that a call that waits has a new sample in each
// review.
double score_of(candidate const& row, call_key call, mono_time now)
{
    auto const moment =
        static_cast<std::uint64_t>(now.time_since_epoch().count());
    constexpr unsigned half = 32;
    return placement::rendezvous_score(call ^ (moment << half) ^ moment,
                                       row.name_hash, 1.0);
}

bool is_sooner(candidate const& row, candidate const* best)
{
    return best == nullptr || row.chosen.expected_ms < best->chosen.expected_ms;
}

} // namespace

// The best engine then gets about two calls of all gateways between two
// reports, or twice the mean of all engines.
double sample_share(std::size_t engines, double other_sends)
{
    constexpr double sends_to_best = 2;
    return std::min(
        1.0,
        sends_to_best /
            std::max(1.0, std::min(static_cast<double>(engines), other_sends)));
}

double other_sends(state const& dispatcher, std::string const& pool,
                   mono_time now)
{
    double own = 0;
    for (auto const& [key, target] : dispatcher.upstreams)
    {
        if (target.record.pool == pool)
            own += limits::value_of(target.sends, now);
    }
    return own * (dispatcher.gateways - 1) *
           (report_interval /
            std::chrono::duration<double>(limits::recent_time));
}

std::optional<choice> choose_sampled(std::vector<candidate> const& candidates,
                                     double share, call_key call, mono_time now)
{
    candidate const* best = nullptr;
    candidate const* any = nullptr;
    double any_score = -1;
    // A score is over the limit with this probability.
    double const limit = -1 / std::log(1 - share);
    for (auto const& row : candidates)
    {
        double const score = score_of(row, call, now);
        bool const is_compared = share >= 1 || score > limit || row.is_home ||
                                 row.chosen.cached_tokens >= cached_tokens_min;
        if (is_compared && is_sooner(row, best))
            best = &row;
        if (score > any_score)
        {
            any_score = score;
            any = &row;
        }
    }
    // Without a sampled one the call goes to a random engine: the best of all
    // would again be that of all gateways.
    auto const* const chosen = best == nullptr ? any : best;
    if (chosen == nullptr)
        return std::nullopt;
    return chosen->chosen;
}

} // namespace jujubestand::dispatch
