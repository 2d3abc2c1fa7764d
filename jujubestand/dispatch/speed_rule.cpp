#include <jujubestand/dispatch/speed_rule.hpp>

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace jujubestand::dispatch
{

// Upstreams that are equally fast also differ by their errors, by 1.35 times
// the standard error between quartiles of many. Twice as much is deducted,
// since the extremes of a few upstreams differ more.
distribution distribution_of(std::vector<double> values, double log_error)
{
    distribution result;
    if (values.empty())
        return result;
    constexpr double quarter = 0.25;
    constexpr double error_factor = 2.7;
    std::sort(values.begin(), values.end());
    auto const last = static_cast<double>(values.size() - 1);
    auto const slow = static_cast<std::size_t>(std::floor(last * quarter));
    auto const fast = static_cast<std::size_t>(std::ceil(last * (1 - quarter)));
    result.median =
        (values[(values.size() - 1) / 2] + values[values.size() / 2]) / 2;
    // 1.25 times that of a mean.
    constexpr double median_factor = 1.25;
    result.log_error = median_factor * log_error / std::sqrt(last + 1);
    double const seen = std::log(values[fast] / values[slow]);
    double const expected = error_factor * log_error;
    result.spread =
        std::exp(std::sqrt(std::max(0.0, seen * seen - expected * expected)));
    return result;
}

speed_demand demand_of_spread(double spread)
{
    constexpr double spread_limit = 1.5;
    constexpr double spread_low = 1.35;
    return {spread > spread_limit, spread < spread_low};
}

speed_demand demand_of_engines(distribution const& speeds, double constant)
{
    auto result = demand_of_spread(speeds.spread);
    // Nothing is measured, as after a restart of most upstreams: the switch
    // stays as it is.
    if (speeds.median <= 0)
        return {};
    constexpr double fast_limit = 4.0 / 3;
    constexpr double slow_limit = 2.0 / 3;
    constexpr double fast_low = 1.25;
    constexpr double slow_low = 0.75;
    double const ratio = speeds.median / constant;
    double const error = std::exp(2 * speeds.log_error);
    result.is_learned = result.is_learned || ratio / error > fast_limit ||
                        ratio * error < slow_limit;
    result.is_constant =
        result.is_constant && ratio < fast_low && ratio > slow_low;
    return result;
}

bool update(speed_switch& current, speed_demand const& demanded, mono_time now)
{
    // Longer than a burst of calls keeps engines busy.
    constexpr std::chrono::seconds switch_delay{3};
    bool const is_contrary =
        current.is_learned ? demanded.is_constant : demanded.is_learned;
    if (!is_contrary)
    {
        current.contrary_since.reset();
        return false;
    }
    if (!current.contrary_since)
        current.contrary_since = now;
    if (now - *current.contrary_since < switch_delay)
        return false;
    current.is_learned = !current.is_learned;
    current.contrary_since.reset();
    return true;
}

} // namespace jujubestand::dispatch
