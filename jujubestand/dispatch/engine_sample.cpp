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

// The score depends on the time, so that a waiting call gets a new sample at
// each review.
double score_of(candidate const& engine, call_key call, mono_time now)
{
    auto const moment =
        static_cast<std::uint64_t>(now.time_since_epoch().count());
    constexpr unsigned half = 32;
    return placement::rendezvous_score(call ^ (moment << half) ^ moment,
                                       engine.name_hash, 1.0);
}

/// An engine and its score.
struct scored_engine
{
    candidate const* engine = nullptr;
    double score = 0;
};

bool is_always_compared(candidate const& engine)
{
    return engine.is_home || engine.chosen.cached_tokens >= cached_tokens_min;
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
    constexpr std::size_t sample_min = 2;
    std::vector<scored_engine> engines;
    engines.reserve(candidates.size());
    for (auto const& engine : candidates)
        engines.push_back({&engine, score_of(engine, call, now)});
    auto const sampled = std::min(engines.size(), sample_min);
    std::partial_sort(engines.begin(),
                      engines.begin() + static_cast<std::ptrdiff_t>(sampled),
                      engines.end(),
                      [](scored_engine const& left, scored_engine const& right)
                      {
                          return left.score > right.score;
                      });
    // A random score exceeds this with probability `share`.
    double const score_min = share < 1 ? -1 / std::log(1 - share) : 0;
    candidate const* best = nullptr;
    for (std::size_t index = 0; index < engines.size(); ++index)
    {
        auto const& [engine, score] = engines[index];
        bool const is_compared =
            index < sampled || score > score_min || is_always_compared(*engine);
        if (is_compared && (best == nullptr || engine->chosen.expected_ms <
                                                   best->chosen.expected_ms))
            best = engine;
    }
    if (best == nullptr)
        return std::nullopt;
    return best->chosen;
}

} // namespace jujubestand::dispatch
