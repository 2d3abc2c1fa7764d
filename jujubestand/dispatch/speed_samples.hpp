#ifndef JUJUBESTAND_DISPATCH_SPEED_SAMPLES_HPP
#define JUJUBESTAND_DISPATCH_SPEED_SAMPLES_HPP

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <jujubestand/core/time.hpp>
#include <optional>

/// \brief What a gateway has measured of the speed of its upstreams.
namespace jujubestand::dispatch
{

/// \brief One quantile of the latest samples of a positive quantity.
template <std::size_t Limit, std::size_t Percent>
struct sample_window
{
    std::array<float, Limit> samples{};
    std::size_t count = 0;
    std::size_t next = 0;
    double value = 0;
    /// Standard error of the logarithm of `value`.
    double log_error = 0;
    /// Time of the latest sample.
    mono_time sampled_at{};
};

/// \brief Adds a sample in place of the oldest one.
template <std::size_t Limit, std::size_t Percent>
void add_sample(sample_window<Limit, Percent>& window, double sample,
                mono_time now)
{
    window.samples.at(window.next) = static_cast<float>(sample);
    window.next = (window.next + 1) % Limit;
    window.count = std::min(window.count + 1, Limit);
    window.sampled_at = now;
    auto sorted = window.samples;
    std::sort(sorted.begin(),
              sorted.begin() + static_cast<std::ptrdiff_t>(window.count));
    constexpr double share = Percent / 100.0;
    auto const count = static_cast<double>(window.count);
    std::size_t const last = window.count - 1;
    auto const rank = static_cast<std::size_t>(
        std::lround(static_cast<double>(last) * share));
    // Standard error of the rank of a quantile.
    auto const error = static_cast<std::size_t>(
        std::max(1L, std::lround(std::sqrt(count * share * (1 - share)))));
    window.value = sorted.at(rank);
    double const high = sorted.at(std::min(last, rank + error));
    double const low = sorted.at(rank - std::min(rank, error));
    window.log_error = std::log(high / low) / 2;
}

/// \brief Prefill speeds of an engine. Calls of other gateways, which are not
/// known, only make it seem slower: the fourth fastest sample is used, so that
/// three wrong ones have little effect.
using prefill_samples = sample_window<25, 88>;

using output_samples = sample_window<11, 50>;

/// \brief Durations of calls, which vary more.
using call_samples = sample_window<31, 50>;

/// \brief Whether a send measures the speed of its engine.
struct send_forecast
{
    /// Prompt tokens of other calls that the engine prefills first.
    double tokens_ahead = 0;
    /// Calls waited at this gateway. Then all gateways send to the same engines
    /// between two reports, and `tokens_ahead` is too low.
    bool is_pool_full = false;
    /// What the engine has to prefill is well known.
    bool is_certain = false;
};

/// \brief Output of a send so far.
struct output_progress
{
    std::optional<mono_time> first_at;
    mono_time last_at{};
    std::uint64_t first_events = 0;
    std::uint64_t last_events = 0;
};

/// \brief Measured speeds of one upstream, and those in use.
struct upstream_speeds
{
    /// Prefill speed in tokens/ms.
    prefill_samples prefill;
    /// Output time per token in ms.
    output_samples output;
    /// Duration of a call to a plain service in ms.
    call_samples call;
    /// Time of the latest first output or end of a call.
    mono_time used_at{};
    /// Learned values that decisions use; 0: the constant is in use.
    double prefill_in_use = 0;
    double output_in_use = 0;
    /// Duration of a call in relation to the pool's median.
    double call_ratio_in_use = 0;
};

/// \brief Whether learned values are in use for a pool.
struct speed_switch
{
    bool is_learned = false;
    /// Since when the samples demand the other state.
    std::optional<mono_time> contrary_since;
};

/// \brief Use of learned speeds for one pool.
struct pool_speeds
{
    /// Median of the known prefill speeds of its engines; 0: none is known.
    double prefill = 0;
    /// Recent share of sends with little ahead of them.
    double light_share = 1;
    /// For prefill and output of engines.
    speed_switch engines;
    /// For calls to plain services.
    speed_switch calls;
};

} // namespace jujubestand::dispatch

#endif
