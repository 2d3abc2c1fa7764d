#include <bench/capacity/meter.hpp>
#include <bench/capacity/slopes.hpp>
#include <bench/support/load_client.hpp>
#include <iostream>

namespace jujubestand::bench
{

namespace
{

constexpr double micro = 1e6;
constexpr double bytes_per_kibibyte = 1024;
constexpr double load_seconds = 5;
constexpr double quick_seconds = 1;
constexpr std::size_t engines = 4;

deployment_plan one_entry()
{
    deployment_plan plan;
    plan.entries = 1;
    plan.engines = engines;
    plan.services = 0;
    plan.engine_arguments = {
        "--step-us",        "2000",    "--decode-us", "10", "--prefill-us", "0",
        "--prefill-tokens", "1000000", "--slots",     "256"};
    plan.sidecar_settings["queue"] = "slots = 256";
    return plan;
}

workload small_calls(bool is_quick)
{
    workload shape;
    shape.seconds = is_quick ? quick_seconds : load_seconds;
    shape.requests_per_s = 20;
    shape.preamble_bytes = 1'024;
    shape.instructions_bytes = 512;
    shape.document_bytes = 512;
    shape.question_bytes = 64;
    shape.max_tokens = 4;
    return shape;
}

/// \brief What one load cost.
struct load_point
{
    usage_rate entry;
    usage_rate sidecar;
    double requests_per_s = 0;
    double tokens_per_s = 0;
    double body_bytes_per_s = 0;
};

load_point measure(deployment const& running, workload const& shape)
{
    load_options options;
    options.shape = shape;
    options.entries = running.entry_addresses();
    meter entry(running.entries);
    meter sidecar(running.sidecars);
    entry.begin();
    sidecar.begin();
    auto const result = run_load(options);
    load_point point;
    point.entry = entry.end();
    point.sidecar = sidecar.end();
    double const seconds = point.entry.seconds;
    point.requests_per_s = static_cast<double>(result.calls.size()) / seconds;
    point.tokens_per_s = static_cast<double>(result.tokens()) / seconds;
    prompt_book const book(shape);
    point.body_bytes_per_s =
        static_cast<double>(book.body(result.calls.at(0).call).size()) *
        point.requests_per_s;
    if (result.count(call_outcome::whole) != result.calls.size())
        std::cout << "note not whole: "
                  << result.calls.size() - result.count(call_outcome::whole)
                  << " of " << result.calls.size() << std::endl;
    return point;
}

/// All sidecars together, against what one entry sent them.
double all_sidecars(double mean)
{
    return mean * static_cast<double>(engines);
}

void measure_rates(deployment const& running, bool is_quick,
                   std::vector<series>& out)
{
    series entry{"entry_cpu_by_requests", "req", "us", {}, {}};
    series sidecar{"sidecar_cpu_by_requests", "req", "us", {}, {}};
    series entry_bytes{"entry_bytes_by_requests", "req", "B", {}, {}};
    series body{"body_bytes_by_requests", "req", "B", {}, {}};
    for (double const rate : {20.0, 60.0, 120.0, 200.0})
    {
        workload shape = small_calls(is_quick);
        shape.requests_per_s = rate;
        load_point const point = measure(running, shape);
        double const at = point.requests_per_s;
        entry.add(at, point.entry.cores * micro);
        sidecar.add(at, all_sidecars(point.sidecar.cores * micro));
        entry_bytes.add(at, point.entry.read_bytes_per_s +
                                point.entry.written_bytes_per_s);
        body.add(at, point.body_bytes_per_s);
    }
    out.insert(out.end(), {entry, sidecar, entry_bytes, body});
}

void measure_tokens(deployment const& running, bool is_quick,
                    std::vector<series>& out)
{
    series entry{"entry_cpu_by_tokens", "token", "us", {}, {}};
    series sidecar{"sidecar_cpu_by_tokens", "token", "us", {}, {}};
    for (std::size_t const tokens : {8U, 64U, 128U, 256U})
    {
        workload shape = small_calls(is_quick);
        shape.max_tokens = tokens;
        load_point const point = measure(running, shape);
        entry.add(point.tokens_per_s, point.entry.cores * micro);
        sidecar.add(point.tokens_per_s,
                    all_sidecars(point.sidecar.cores * micro));
    }
    out.insert(out.end(), {entry, sidecar});
}

void measure_bodies(deployment const& running, bool is_quick,
                    std::vector<series>& out)
{
    series entry{"entry_cpu_by_body", "KiB", "us", {}, {}};
    series sidecar{"sidecar_cpu_by_body", "KiB", "us", {}, {}};
    for (std::size_t const kibibytes : {2U, 32U, 64U, 128U})
    {
        workload shape = small_calls(is_quick);
        shape.document_bytes = kibibytes << 10U;
        load_point const point = measure(running, shape);
        double const at = point.body_bytes_per_s / bytes_per_kibibyte;
        entry.add(at, point.entry.cores * micro);
        sidecar.add(at, all_sidecars(point.sidecar.cores * micro));
    }
    out.insert(out.end(), {entry, sidecar});
}

} // namespace

std::vector<series> measure_requests(bool is_quick)
{
    deployment const running(one_entry());
    std::vector<series> out;
    workload warm = small_calls(true);
    static_cast<void>(measure(running, warm));
    measure_rates(running, is_quick, out);
    measure_tokens(running, is_quick, out);
    measure_bodies(running, is_quick, out);
    return out;
}

std::vector<series> measure_streams(bool is_quick)
{
    deployment_plan plan = one_entry();
    plan.engines = 1;
    plan.engine_arguments = {
        "--step-us",    "100000", "--decode-us",      "1",
        "--prefill-us", "0",      "--prefill-tokens", "10000000",
        "--slots",      "2000"};
    plan.sidecar_settings["queue"] = "slots = 2000";
    deployment const running(plan);
    series entry{"entry_memory_by_streams", "stream", "MB", {}, {}};
    series sidecar{"sidecar_memory_by_streams", "stream", "MB", {}, {}};
    for (double const streams : {50.0, 150.0, 300.0, 600.0})
    {
        workload shape = small_calls(is_quick);
        shape.seconds = 1;
        shape.requests_per_s = streams;
        shape.max_tokens = is_quick ? 25 : 45;
        load_options options;
        options.shape = shape;
        options.entries = running.entry_addresses();
        options.actions.emplace_back(
            std::chrono::milliseconds(2'000),
            [&]
            {
                meter entry_now(running.entries);
                meter sidecar_now(running.sidecars);
                entry_now.begin();
                sidecar_now.begin();
                entry.add(streams, entry_now.end().resident_mb);
                sidecar.add(streams, sidecar_now.end().resident_mb);
            });
        auto const result = run_load(options);
        if (result.count(call_outcome::whole) != result.calls.size())
            std::cout << "note streams not whole" << std::endl;
    }
    return {entry, sidecar};
}

} // namespace jujubestand::bench
