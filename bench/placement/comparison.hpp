#ifndef JUJUBESTAND_BENCH_PLACEMENT_COMPARISON_HPP
#define JUJUBESTAND_BENCH_PLACEMENT_COMPARISON_HPP

#include <bench/placement/figures.hpp>
#include <bench/placement/fleet.hpp>
#include <bench/placement/policy.hpp>
#include <string>
#include <vector>

struct event_base;

namespace jujubestand::bench
{

/// \brief Which runs a comparison consists of.
struct comparison_plan
{
    std::string binaries;
    std::vector<policy> policies;
    /// Share of the deployment's capacity.
    double load = 0.8;
    double warm_up_s = 10;
    double measured_s = 15;
    std::size_t runs = 5;
    std::uint32_t events_gap_per_1000 = 0;
    std::uint64_t seed = 1;
};

/// \brief Figures of all runs of one policy.
struct policy_figures
{
    policy kind = policy::ours;
    std::vector<run_figures> runs;
    /// Processor time per request, ours only.
    std::vector<double> entry_us_per_request;
    /// Bytes of probes and their replies per request, ours only.
    std::vector<double> control_bytes_per_request;
};

/// \brief Runs all policies in turn, as often as planned, each on processes
/// of its own.
[[nodiscard]] std::vector<policy_figures>
compare(event_base* base, fleet const& size, comparison_plan const& plan);

/// \brief Prints what a comparison came to.
/// \param suffix follows each figure's name, such as `_at_80`
void print_comparison(fleet const& size, std::vector<policy_figures> const& all,
                      std::string const& suffix);

} // namespace jujubestand::bench

#endif
