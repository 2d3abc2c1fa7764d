#ifndef JUJUBESTAND_BENCH_CAPACITY_SLOPES_HPP
#define JUJUBESTAND_BENCH_CAPACITY_SLOPES_HPP

#include <bench/support/percentile.hpp>
#include <string>
#include <vector>

namespace jujubestand::bench
{

/// \brief Measured points of one quantity against one other.
struct series
{
    /// Name for figures: what, of which process, by what.
    std::string name;
    std::string x_unit;
    std::string y_unit;
    std::vector<double> x;
    std::vector<double> y;

    void add(double at, double value);
};

/// \brief Prints slope, intercept, residual and points, and appends a row to
/// `markdown`.
void report(series const& measured, std::string& markdown);

/// \brief The head of the table whose rows `report` appends.
[[nodiscard]] std::string slopes_head();

/// \brief Points of an idle fleet with more and more sidecars.
[[nodiscard]] std::vector<series> measure_sidecars(bool is_quick);
/// \brief Points of one idle entry with more and more open links.
[[nodiscard]] std::vector<series> measure_links(bool is_quick);
/// \brief Points of an idle fleet with more and more entries.
[[nodiscard]] std::vector<series> measure_entries(bool is_quick);
/// \brief Points where requests, tokens and bodies grow.
[[nodiscard]] std::vector<series> measure_requests(bool is_quick);
/// \brief Points where cache events come faster.
[[nodiscard]] std::vector<series> measure_events(bool is_quick);
/// \brief Points where the tables grow.
[[nodiscard]] std::vector<series> measure_tables(bool is_quick);
/// \brief Points where bookings come faster.
[[nodiscard]] std::vector<series> measure_log(bool is_quick);
/// \brief Points where more streams are open.
[[nodiscard]] std::vector<series> measure_streams(bool is_quick);

} // namespace jujubestand::bench

#endif
