// The path against a direct connection to the same stand-in engine, one
// entry's capacity, and memory with many open streams.

#include <bench/support/ask.hpp>
#include <bench/support/deployment.hpp>
#include <bench/support/load_client.hpp>
#include <bench/support/report.hpp>
#include <future>
#include <iostream>
#include <standins/support/program.hpp>
#include <tclap/CmdLine.h>

namespace
{

using namespace jujubestand;

constexpr double microseconds_per_millisecond = 1e3;
constexpr double bytes_per_megabyte = 1e6;
constexpr std::size_t token_bytes = 4;
constexpr std::size_t shared_bytes = 8'192 + 4'096 + 256;
constexpr std::size_t kibibyte = 1'024;

/// \brief What all phases lost together.
struct losses
{
    std::size_t incomplete = 0;
    std::size_t bytes = 0;
};

bench::workload shape_of(double rate, double seconds, std::size_t prompt_bytes,
                         std::size_t tokens)
{
    bench::workload shape;
    shape.requests_per_s = rate;
    shape.seconds = seconds;
    shape.document_bytes = prompt_bytes - shared_bytes;
    shape.max_tokens = tokens;
    return shape;
}

bench::deployment_plan plan_of(std::size_t engines,
                               std::vector<std::string> const& costs)
{
    bench::deployment_plan plan;
    plan.entries = 1;
    plan.engines = engines;
    plan.services = 0;
    plan.engine_arguments = {"--slots",          "4096",
                             "--blocks",         "4000000",
                             "--prefill-tokens", "100000000"};
    plan.engine_arguments.insert(plan.engine_arguments.end(), costs.begin(),
                                 costs.end());
    plan.sidecar_settings["queue"] = "slots = 4096\nqueue_requests = 8192\n"
                                     "queue_tokens = 400000000";
    return plan;
}

void take_losses(bench::load_result const& result, std::size_t tokens,
                 losses& lost)
{
    for (auto const& one : result.calls)
    {
        if (one.outcome == bench::call_outcome::whole)
            continue;
        ++lost.incomplete;
        lost.bytes +=
            (tokens - std::min<std::size_t>(tokens, one.tokens)) * token_bytes;
    }
}

double p99_ms(bench::samples const& of)
{
    return bench::percentile(of, 99) / microseconds_per_millisecond;
}

bench::load_result load_one(bench::workload const& shape,
                            std::vector<address> const& targets)
{
    bench::load_options options;
    options.shape = shape;
    options.attempts = 1;
    options.entries = targets;
    return bench::run_load(std::move(options));
}

/// The same plan directly and through the path, in turn.
void measure_added(double seconds, losses& lost)
{
    bench::deployment deployed(plan_of(
        1, {"--step-us", "2000", "--decode-us", "5", "--prefill-us", "0.05"}));
    auto const shape = shape_of(200, seconds, 64 * kibibyte, 16);
    bench::samples direct_first;
    bench::samples direct_gaps;
    bench::samples path_first;
    bench::samples path_gaps;
    for (int round = 0; round < 3; ++round)
    {
        auto const direct = load_one(shape, {deployed.engines.at(0).http});
        auto const path = load_one(shape, deployed.entry_addresses());
        take_losses(path, shape.max_tokens, lost);
        // The first round fills both caches.
        if (round == 0)
            continue;
        auto const add = [](bench::samples& to, bench::samples const& more)
        {
            to.insert(to.end(), more.begin(), more.end());
        };
        add(direct_first, direct.first_token_us);
        add(direct_gaps, direct.gaps_us);
        add(path_first, path.first_token_us);
        add(path_gaps, path.gaps_us);
    }
    bench::figure("direct_ttft_p99_ms", p99_ms(direct_first), "ms");
    bench::figure("path_ttft_p99_ms", p99_ms(path_first), "ms");
    bench::figure("added_ttft_p99_ms",
                  p99_ms(path_first) - p99_ms(direct_first), "ms");
    bench::figure("added_gap_p99_ms", p99_ms(path_gaps) - p99_ms(direct_gaps),
                  "ms");
}

/// One entry before four engines, driven by three callers' loops.
void measure_capacity(double seconds, losses& lost)
{
    constexpr std::size_t clients = 3;
    constexpr double rate = 1'500;
    bench::deployment deployed(plan_of(
        4, {"--step-us", "5000", "--decode-us", "1", "--prefill-us", "0.01"}));
    std::vector<std::future<bench::load_result>> running;
    auto const before = deployed.entries.at(0).child->usage();
    for (std::size_t client = 0; client < clients; ++client)
    {
        auto shape = shape_of(rate / clients, seconds, 32 * kibibyte, 64);
        shape.seed = client + 1;
        running.push_back(std::async(std::launch::async, load_one, shape,
                                     deployed.entry_addresses()));
    }
    double whole = 0;
    double tokens = 0;
    double longest = 0;
    for (auto& one : running)
    {
        auto const result = one.get();
        take_losses(result, 64, lost);
        whole += static_cast<double>(result.count(bench::call_outcome::whole));
        tokens += static_cast<double>(result.tokens());
        longest = std::max(longest, result.seconds);
    }
    auto const after = deployed.entries.at(0).child->usage();
    double const used_s = std::chrono::duration<double>(after.processor_time -
                                                        before.processor_time)
                              .count();
    bench::figure("entry_requests_per_s", whole / longest, "requests/s");
    bench::figure("entry_tokens_per_s", tokens / longest, "tokens/s");
    bench::figure("entry_cores", used_s / longest, "cores");
    bench::figure("entry_requests_per_core_s", whole / used_s, "requests/s");
}

/// Two thousand streams open at once.
void measure_memory(losses& lost)
{
    auto plan = plan_of(
        1, {"--step-us", "500000", "--decode-us", "0", "--prefill-us", "0"});
    // Steps of half a second keep the streams open; the queue, which is not
    // measured here, would take them for a slow engine.
    plan.sidecar_settings["queue"] += "\nahead_tokens = 1000000000";
    bench::deployment deployed(std::move(plan));
    bench::load_options options;
    options.shape = shape_of(1'000, 2, 32 * kibibyte, 20);
    options.attempts = 1;
    options.entries = deployed.entry_addresses();
    double entry_mb = 0;
    double sidecar_mb = 0;
    options.actions.emplace_back(
        std::chrono::milliseconds(8'000),
        [&]
        {
            auto const mb = [](bench::deployed_process const& of)
            {
                return static_cast<double>(of.child->usage().resident_bytes) /
                       bytes_per_megabyte;
            };
            entry_mb = mb(deployed.entries.at(0));
            sidecar_mb = mb(deployed.sidecars.at(0));
        });
    auto const result = bench::run_load(std::move(options));
    take_losses(result, 20, lost);
    bench::figure("open_ttft_p99_ms", p99_ms(result.first_token_us), "ms");
    bench::figure("open_streams", static_cast<double>(result.calls.size()),
                  "streams");
    bench::figure("entry_rss_mb", entry_mb, "MB");
    bench::figure("sidecar_rss_mb", sidecar_mb, "MB");
}

int run(int argc, char** argv)
{
    TCLAP::CmdLine line("The path against a direct connection.", ' ', "1");
    TCLAP::SwitchArg const quick("", "quick", "shorter loads", line);
    std::vector<std::string> names{"added", "capacity", "memory"};
    TCLAP::ValuesConstraint<std::string> allowed(names);
    TCLAP::ValueArg<std::string> const only("", "only", "one part alone", false,
                                            "", &allowed, line);
    line.parse(argc, argv);
    bool const is_quick = quick.getValue();
    auto const runs = [&](std::string const& name)
    {
        return only.getValue().empty() || only.getValue() == name;
    };
    losses lost;
    if (runs("added"))
        measure_added(is_quick ? 2 : 5, lost);
    if (runs("capacity"))
        measure_capacity(is_quick ? 2 : 6, lost);
    if (runs("memory"))
        measure_memory(lost);
    bench::figure("streams_incomplete", static_cast<double>(lost.incomplete),
                  "streams");
    bench::figure("bytes_lost", static_cast<double>(lost.bytes), "bytes");
    return lost.incomplete == 0 ? 0 : 2;
}

} // namespace

int main(int argc, char** argv)
{
    return jujubestand::standins::guarded_main(argc, argv, run);
}
