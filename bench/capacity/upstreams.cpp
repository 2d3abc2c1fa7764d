#include <bench/capacity/meter.hpp>
#include <bench/capacity/slopes.hpp>
#include <bench/support/ask.hpp>
#include <bench/support/load_client.hpp>

namespace jujubestand::bench
{

namespace
{

constexpr double micro = 1e6;

double stat_of(deployed_process const& engine, char const* name)
{
    return get_json(engine.http, "/_stats")[name].get<double>();
}

/// Totals of the log's appends and their bytes, without the tables' stream.
struct append_totals
{
    double appends = 0;
    double bytes = 0;
};

append_totals totals_of(deployed_process const& log)
{
    append_totals totals;
    auto const streams = get_json(log.http, "/_stats")["streams"];
    for (auto const& [name, stream] : streams.items())
    {
        if (name == "config")
            continue;
        totals.appends += stream["appends"].get<double>();
        totals.bytes += stream["bytes"].get<double>();
    }
    return totals;
}

} // namespace

// The load goes to the engine itself, so the sidecar's work is the events'
// alone. Each prompt is new, so each fills blocks and evicts others.
std::vector<series> measure_events(bool is_quick)
{
    deployment_plan plan;
    plan.entries = 1;
    plan.engines = 1;
    plan.services = 0;
    plan.engine_arguments = {"--step-us",    "2000", "--decode-us",      "10",
                             "--prefill-us", "0",    "--prefill-tokens", "64",
                             "--blocks",     "4096"};
    deployment const running(plan);
    series cores{"sidecar_cpu_by_events", "event", "us", {}, {}};
    series bytes{"sidecar_bytes_by_events", "event", "B", {}, {}};
    for (double const rate : {5.0, 15.0, 30.0, 50.0})
    {
        load_options options;
        options.entries = {running.engines[0].http};
        options.shape.requests_per_s = rate;
        options.shape.seconds = is_quick ? 1 : 5;
        options.shape.preamble_bytes = 64;
        options.shape.instructions_bytes = 64;
        options.shape.document_bytes = 64;
        options.shape.question_bytes = 2'048;
        options.shape.max_tokens = 4;
        double const events = stat_of(running.engines[0], "cache_events");
        meter sidecar(running.sidecars);
        sidecar.begin();
        static_cast<void>(run_load(options));
        usage_rate const used = sidecar.end();
        double const at =
            (stat_of(running.engines[0], "cache_events") - events) /
            used.seconds;
        cores.add(at, used.cores * micro);
        bytes.add(at, used.read_bytes_per_s);
    }
    return {cores, bytes};
}

std::vector<series> measure_log(bool is_quick)
{
    deployment_plan plan;
    plan.entries = 1;
    plan.engines = 1;
    plan.services = 1;
    deployment const running(plan);
    series appends{"log_appends_by_bookings", "booking", "appends", {}, {}};
    series bytes{"log_bytes_by_bookings", "booking", "B", {}, {}};
    series cores{"service_sidecar_cpu_by_bookings", "booking", "us", {}, {}};
    series traffic{"service_sidecar_bytes_by_bookings", "booking", "B", {}, {}};
    std::vector<deployed_process> const& sidecars = running.sidecars;
    for (double const rate : {5.0, 20.0, 50.0, 100.0})
    {
        load_options options;
        options.entries = running.entry_addresses();
        options.shape.plain_share = 1;
        options.shape.requests_per_s = rate;
        options.shape.seconds = is_quick ? 1 : 4;
        auto const before = totals_of(running.log);
        auto const first = sidecars.back().child->usage();
        auto const result = run_load(options);
        auto const last = sidecars.back().child->usage();
        auto const after = totals_of(running.log);
        double const at =
            static_cast<double>(result.calls.size()) / result.seconds;
        auto const busy = last.processor_time - first.processor_time;
        appends.add(at, (after.appends - before.appends) / result.seconds);
        bytes.add(at, (after.bytes - before.bytes) / result.seconds);
        cores.add(at, static_cast<double>(busy.count()) / result.seconds);
        traffic.add(
            at, static_cast<double>(last.read_bytes - first.read_bytes +
                                    last.written_bytes - first.written_bytes -
                                    last.output_bytes + first.output_bytes) /
                    result.seconds);
    }
    return {appends, bytes, cores, traffic};
}

} // namespace jujubestand::bench
