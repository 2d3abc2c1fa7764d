#include <bench/support/load_client.hpp>
#include <bench/support/report.hpp>

namespace jujubestand::bench
{

namespace
{

constexpr double microseconds_per_millisecond = 1'000;

void print_times(samples const& of, std::string const& name)
{
    for (int const percent : {50, 95, 99})
        figure(name + "_p" + std::to_string(percent) + "_ms",
               percentile(of, percent) / microseconds_per_millisecond, "ms");
}

} // namespace

void print_figures(load_result const& result, std::string const& prefix)
{
    figure(prefix + "requests", static_cast<double>(result.calls.size()),
           "requests");
    for (auto const& [outcome, name] : call_outcome_names)
        figure(prefix + "calls_" + std::string(name),
               static_cast<double>(result.count(outcome)), "requests");
    figure(prefix + "untrue_answers", static_cast<double>(result.untrue()),
           "requests");
    print_times(result.first_token_us, prefix + "ttft");
    print_times(result.gaps_us, prefix + "gap");
    figure(prefix + "hit_rate", result.hit_rate(), "ratio");
    figure(prefix + "tokens_per_s",
           static_cast<double>(result.tokens()) / result.seconds, "tokens/s");
}

} // namespace jujubestand::bench
