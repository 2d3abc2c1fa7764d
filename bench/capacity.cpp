// Measures the slopes that docs/CAPACITY.md stands on.

#include <array>
#include <bench/capacity/slopes.hpp>
#include <bench/support/report.hpp>
#include <fstream>
#include <iostream>
#include <standins/support/program.hpp>
#include <tclap/CmdLine.h>

namespace
{

using namespace jujubestand;

/// \brief One group of series that is measured together.
struct part
{
    std::string_view name;
    std::vector<bench::series> (*measure)(bool is_quick);
};

constexpr std::array<part, 8> parts{{
    {"sidecars", bench::measure_sidecars},
    {"links", bench::measure_links},
    {"entries", bench::measure_entries},
    {"requests", bench::measure_requests},
    {"streams", bench::measure_streams},
    {"events", bench::measure_events},
    {"tables", bench::measure_tables},
    {"log", bench::measure_log},
}};

int run(int argc, char** argv)
{
    TCLAP::CmdLine line(
        "Slopes of what each process spends, each from several "
        "points with its fit and residual. Parts: sidecars, "
        "links, entries, requests, streams, events, tables, log.",
        ' ', "1");
    TCLAP::MultiArg<std::string> chosen("", "part", "only this part", false,
                                        "PART", line);
    TCLAP::ValueArg<std::string> markdown("", "markdown", "rows for the page",
                                          false, "", "FILE", line);
    TCLAP::SwitchArg quick("", "quick", "short windows: a trial", line);
    line.parse(argc, argv);

    std::string rows = bench::slopes_head();
    for (part const& one : parts)
    {
        auto const& names = chosen.getValue();
        if (!names.empty() &&
            std::find(names.begin(), names.end(), one.name) == names.end())
            continue;
        for (auto const& measured : one.measure(quick.getValue()))
            bench::report(measured, rows);
    }
    if (!markdown.getValue().empty())
        std::ofstream(markdown.getValue()) << rows;
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    return jujubestand::standins::guarded_main(argc, argv, run);
}
