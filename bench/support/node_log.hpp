#ifndef JUJUBESTAND_BENCH_SUPPORT_NODE_LOG_HPP
#define JUJUBESTAND_BENCH_SUPPORT_NODE_LOG_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jujubestand::bench
{

/// \brief One time that a process put tables in force.
struct applied_tables
{
    /// Wall clock of the event's line.
    std::int64_t at_us = 0;
    std::uint64_t version = 0;
    /// Lives of the process before this one.
    std::uint32_t life = 0;
};

/// \brief Reads one event's line; the result's `version` is 0 if it is not
/// `tables_applied`.
[[nodiscard]] applied_tables parse_applied(std::string_view line);

/// \brief All of a process's standard error, over its restarts.
[[nodiscard]] std::vector<applied_tables> read_applied(std::string const& file);

/// \brief Times that a process went back to a lower version within a life.
[[nodiscard]] std::uint32_t
count_reverts(std::vector<applied_tables> const& seen);

/// \brief When a process first had `version` or a later one in force; 0 if it
/// never had.
[[nodiscard]] std::int64_t in_force_at(std::vector<applied_tables> const& seen,
                                       std::uint64_t version);

} // namespace jujubestand::bench

#endif
