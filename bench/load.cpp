// Drives an entry, or an engine without one, and checks every answer.

#include <bench/support/load_client.hpp>
#include <bench/support/report.hpp>
#include <iostream>
#include <standins/support/program.hpp>
#include <tclap/CmdLine.h>

namespace
{

using namespace jujubestand;

constexpr double microseconds_per_millisecond = 1e3;

/// \brief The arguments that shape the load.
class shape_arguments
{
public:
    explicit shape_arguments(TCLAP::CmdLine& line)
        : rate("", "rate", "requests a second", false, 50, "N", line)
        , seconds("", "seconds", "length of the load", false, 10, "S", line)
        , seed("", "seed", "names the plan", false, 1, "N", line)
        , teams("", "teams", "number of teams", false, 8, "N", line)
        , documents("", "documents", "documents of a team", false, 8, "N", line)
        , document_bytes("", "document-bytes", "size of a document", false,
                         16'384, "BYTES", line)
        , tokens("", "max-tokens", "length of an answer", false, 32, "N", line)
        , model("", "model", "model asked for", false, "model-a", "NAME", line)
        , plain_share("", "plain-share", "share of plain service calls", false,
                      0, "0..1", line)
        , plain_path("", "plain-path", "their path", false, "/bookings/new",
                     "PATH", line)
        , cancel_share("", "cancel-share", "share of callers that leave early",
                       false, 0, "0..1", line)
        , slow_share("", "slow-share", "share of slow readers", false, 0,
                     "0..1", line)
    {
    }

    [[nodiscard]] bench::workload read()
    {
        bench::workload shape;
        shape.requests_per_s = this->rate.getValue();
        shape.seconds = this->seconds.getValue();
        shape.seed = this->seed.getValue();
        shape.teams = this->teams.getValue();
        shape.documents_per_team = this->documents.getValue();
        shape.document_bytes = this->document_bytes.getValue();
        shape.max_tokens = this->tokens.getValue();
        shape.model = this->model.getValue();
        shape.plain_share = this->plain_share.getValue();
        shape.plain_path = this->plain_path.getValue();
        shape.cancel_share = this->cancel_share.getValue();
        shape.slow_share = this->slow_share.getValue();
        return shape;
    }

private:
    TCLAP::ValueArg<double> rate;
    TCLAP::ValueArg<double> seconds;
    TCLAP::ValueArg<std::uint64_t> seed;
    TCLAP::ValueArg<std::size_t> teams;
    TCLAP::ValueArg<std::size_t> documents;
    TCLAP::ValueArg<std::size_t> document_bytes;
    TCLAP::ValueArg<std::size_t> tokens;
    TCLAP::ValueArg<std::string> model;
    TCLAP::ValueArg<double> plain_share;
    TCLAP::ValueArg<std::string> plain_path;
    TCLAP::ValueArg<double> cancel_share;
    TCLAP::ValueArg<double> slow_share;
};

bench::csv_table to_csv(bench::load_result const& result)
{
    bench::csv_table table;
    table.columns = {"at_us",    "team",   "outcome",       "status",
                     "verdict",  "reason", "attempts",      "first_token_us",
                     "total_us", "tokens", "prompt_tokens", "cached_tokens"};
    for (auto const& one : result.calls)
        table.rows.push_back(
            {std::to_string(one.call.at_us), bench::team_name(one.call.team),
             std::string(to_name(bench::call_outcome_names, one.outcome)),
             std::to_string(one.status), one.verdict, one.reason,
             std::to_string(one.attempts), std::to_string(one.first_token_us),
             std::to_string(one.total_us), std::to_string(one.tokens),
             std::to_string(one.prompt_tokens),
             std::to_string(one.cached_tokens)});
    return table;
}

bench::plot to_plot(bench::load_result const& result)
{
    bench::plot drawn{"time to first token", "second of the load", "ms", {}};
    for (int const percent : {50, 99})
    {
        std::map<std::uint64_t, bench::samples> by_second;
        for (auto const& one : result.calls)
        {
            if (one.outcome == bench::call_outcome::whole && one.call.is_stream)
                by_second[one.call.at_us / 1'000'000].push_back(
                    one.first_token_us);
        }
        bench::plot_line line{'p' + std::to_string(percent), {}};
        for (auto const& [second, of] : by_second)
            line.points.emplace_back(static_cast<double>(second),
                                     bench::percentile(of, percent) /
                                         microseconds_per_millisecond);
        drawn.lines.push_back(std::move(line));
    }
    return drawn;
}

int run(int argc, char** argv)
{
    TCLAP::CmdLine line("Open-loop load with nested prompts; each answer is "
                        "checked against the stand-in engine's text. Exit "
                        "code 2: an answer was wrong or silently short.",
                        ' ', "1");
    TCLAP::UnlabeledMultiArg<std::string> entries(
        "entries", "addresses to load, taken in turn", true, "IP:PORT", line);
    TCLAP::ValueArg<std::uint32_t> attempts("", "attempts", "per call", false,
                                            3, "N", line);
    TCLAP::ValueArg<std::string> csv("", "csv", "one row per call", false, "",
                                     "FILE", line);
    TCLAP::ValueArg<std::string> svg("", "svg", "plot of the first token",
                                     false, "", "FILE", line);
    shape_arguments shape(line);
    line.parse(argc, argv);

    bench::load_options options;
    options.shape = shape.read();
    options.attempts = attempts.getValue();
    for (auto const& text : entries.getValue())
        options.entries.push_back(standins::address_argument(text));
    auto const result = bench::run_load(std::move(options));
    bench::print_figures(result, "");
    if (!csv.getValue().empty() &&
        !bench::write_csv(csv.getValue(), to_csv(result)))
        throw std::runtime_error("cannot write " + csv.getValue());
    if (!svg.getValue().empty() &&
        !bench::write_svg(svg.getValue(), to_plot(result)))
        throw std::runtime_error("cannot write " + svg.getValue());
    return result.untrue() > 0 ? 2 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    return jujubestand::standins::guarded_main(argc, argv, run);
}
