#ifndef JUJUBESTAND_BENCH_PLACEMENT_FIGURES_HPP
#define JUJUBESTAND_BENCH_PLACEMENT_FIGURES_HPP

#include <bench/placement/load_run.hpp>
#include <bench/support/percentile.hpp>
#include <string>
#include <vector>

namespace jujubestand::bench
{

/// \brief What one run of one policy came to.
struct run_figures
{
    std::size_t requests = 0;
    std::size_t failed = 0;
    double hit_rate = 0;
    /// Share of all prompt tokens that were computed although a live engine
    /// held them.
    double wasted = 0;
    double ttft_p50_ms = 0;
    double ttft_p95_ms = 0;
    double ttft_p99_ms = 0;
    double gap_p95_ms = 0;
};

/// \brief Middle of the values.
[[nodiscard]] double median(std::vector<double> values);

/// \brief Sums a run up.
[[nodiscard]] run_figures figures_of(run_result const& result);

/// \brief Sums up what was sent from one time to another.
[[nodiscard]] run_figures figures_between(run_result const& result,
                                          double from_s, double to_s);

} // namespace jujubestand::bench

#endif
