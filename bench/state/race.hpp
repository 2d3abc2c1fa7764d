#ifndef BENCH_STATE_RACE_HPP
#define BENCH_STATE_RACE_HPP

#include <bench/support/deployment.hpp>
#include <chrono>
#include <jujubestand/ctl/log_session.hpp>
#include <string>
#include <vector>

/// \brief Operators that edit the same table at the same time.
namespace jujubestand::bench
{

/// \brief Pause between two looks at something that is awaited.
inline constexpr std::chrono::milliseconds poll_interval{2};

inline constexpr double microseconds_per_millisecond = 1e3;

/// \brief An edit that the tool reported as accepted.
struct accepted_edit
{
    std::string author;
    std::uint64_t version = 0;
};

/// \brief What the operators were told.
struct operator_counts
{
    std::vector<accepted_edit> accepted;
    std::uint32_t conflicts = 0;
    std::uint32_t unknown = 0;
    std::uint32_t other = 0;
};

/// \brief Where a process of a deployment writes, without its suffix.
[[nodiscard]] std::string output_of(deployment const& all,
                                    std::string const& name);

/// \brief Entries and sidecars of a deployment.
[[nodiscard]] std::vector<deployed_process*> nodes_of(deployment& all);

/// \brief The log's edits, decided by the naive order of the whole stream.
[[nodiscard]] std::vector<ctl::decided_edit>
read_history(deployment const& all);

/// \brief Has all operators edit at once, for some rounds.
[[nodiscard]] operator_counts race(deployment const& all, std::size_t first,
                                   std::size_t rounds,
                                   std::chrono::milliseconds pause);

/// \brief Prints what became of the edits, and how soon they were in force.
void report_race(deployment& all, std::string const& prefix,
                 operator_counts const& told);

} // namespace jujubestand::bench

#endif
