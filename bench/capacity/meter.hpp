#ifndef JUJUBESTAND_BENCH_CAPACITY_METER_HPP
#define JUJUBESTAND_BENCH_CAPACITY_METER_HPP

#include <bench/support/deployment.hpp>
#include <chrono>
#include <vector>

namespace jujubestand::bench
{

/// \brief What one process used over a window, on average over its kind.
struct usage_rate
{
    /// Processor time per time: 1 is a whole core.
    double cores = 0;
    double read_bytes_per_s = 0;
    /// Without what went to its output files.
    double written_bytes_per_s = 0;
    double resident_mb = 0;
    double seconds = 0;
};

/// \brief Measures processes of one kind between `begin` and `end`.
class meter
{
public:
    /// \param of must stay in place while measuring
    explicit meter(std::vector<deployed_process> const& of);

    void begin();

    /// \returns the mean over the processes
    [[nodiscard]] usage_rate end() const;

private:
    std::vector<deployed_process> const* processes;
    std::vector<process_usage> first;
    std::chrono::steady_clock::time_point began;
};

} // namespace jujubestand::bench

#endif
