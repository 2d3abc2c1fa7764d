#ifndef JUJUBESTAND_BENCH_SUPPORT_PERCENTILE_HPP
#define JUJUBESTAND_BENCH_SUPPORT_PERCENTILE_HPP

#include <cstdint>
#include <vector>

namespace jujubestand::bench
{

/// \brief Durations of one kind, in microseconds.
using samples = std::vector<std::uint32_t>;

/// \brief The smallest sample that `percent` of all do not exceed; 0 of none.
[[nodiscard]] double percentile(samples const& of, double percent);

/// \brief Mean; 0 of none.
[[nodiscard]] double mean(samples const& of);

/// \brief Corrects a closed loop's samples for coordinated omission: a sample
/// longer than the interval at which the next should have begun stands for
/// the ones that it held up.
///
/// Open-loop runs need none of it: they count from the planned beginning.
[[nodiscard]] samples corrected(samples const& of, std::uint32_t interval_us);

/// \brief A straight line through points, by least squares.
struct line_fit
{
    double slope = 0;
    double intercept = 0;
    /// Root mean square of what the line misses.
    double residual = 0;
};

/// \brief Fits `y` against `x`; both of the same length, at least two.
[[nodiscard]] line_fit fit_line(std::vector<double> const& x,
                                std::vector<double> const& y);

} // namespace jujubestand::bench

#endif
