#ifndef JUJUBESTAND_DISPATCH_SPEED_RULE_HPP
#define JUJUBESTAND_DISPATCH_SPEED_RULE_HPP

#include <jujubestand/dispatch/speed_samples.hpp>
#include <vector>

/// \brief When a pool is served by learned speeds instead of the constants.
namespace jujubestand::dispatch
{

/// \brief Values of a pool's upstreams, and how far they differ.
struct distribution
{
    double median = 0;
    /// Ratio of the fastest to the slowest quarter, without noise.
    double spread = 1;
    /// Standard error of the logarithm of the median.
    double log_error = 0;
};

/// \brief Their median and spread.
/// \param log_error standard error of the logarithm of a value
[[nodiscard]] distribution distribution_of(std::vector<double> values,
                                           double log_error);

/// \brief What the samples of a pool demand; neither near the limits.
struct speed_demand
{
    bool is_learned = false;
    bool is_constant = false;
};

/// \brief For upstreams that are only compared with each other.
[[nodiscard]] speed_demand demand_of_spread(double spread);

/// \brief For engines, which are also compared with a constant.
[[nodiscard]] speed_demand demand_of_engines(distribution const& speeds,
                                             double constant);

/// \brief Switches once the samples have demanded it for a while.
/// \returns whether it has switched
[[nodiscard]] bool update(speed_switch& current, speed_demand const& demanded,
                          mono_time now);

} // namespace jujubestand::dispatch

#endif
