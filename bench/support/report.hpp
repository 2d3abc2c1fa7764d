#ifndef JUJUBESTAND_BENCH_SUPPORT_REPORT_HPP
#define JUJUBESTAND_BENCH_SUPPORT_REPORT_HPP

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jujubestand::bench
{

/// \brief Prints `figure NAME VALUE UNIT` on standard output.
void figure(std::string_view name, double value, std::string_view unit);

/// \brief Prints `note TEXT`: how a figure came about.
void note(std::string_view text);

/// \brief A file of comma-separated values, written whole.
struct csv_table
{
    std::vector<std::string> columns;
    std::vector<std::vector<std::string>> rows;
};

/// \brief Writes a table. \returns false if the file can't be written
[[nodiscard]] bool write_csv(std::string const& path, csv_table const& table);

/// \brief One named line of a plot.
struct plot_line
{
    std::string name;
    std::vector<std::pair<double, double>> points;
};

/// \brief A plot of lines over linear axes.
struct plot
{
    std::string title;
    std::string x_label;
    std::string y_label;
    std::vector<plot_line> lines;
};

/// \brief The plot as SVG text.
[[nodiscard]] std::string to_svg(plot const& drawn);

/// \brief Writes a plot. \returns false if the file can't be written
[[nodiscard]] bool write_svg(std::string const& path, plot const& drawn);

} // namespace jujubestand::bench

#endif
