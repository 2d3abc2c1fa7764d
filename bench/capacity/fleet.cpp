#include <bench/capacity/meter.hpp>
#include <bench/capacity/slopes.hpp>
#include <bench/support/ask.hpp>
#include <bench/support/load_client.hpp>
#include <thread>

namespace jujubestand::bench
{

namespace
{

constexpr std::chrono::seconds settling{2};
constexpr std::chrono::seconds window{5};
constexpr std::chrono::seconds quick_window{1};
constexpr double micro = 1e6;

/// \brief The idle cost of one size of fleet.
struct idle_point
{
    usage_rate entry;
    usage_rate sidecar;
    double log_reads_per_s = 0;
};

double log_reads(deployment const& running)
{
    return get_json(running.log.http, "/_stats")["reads"].get<double>();
}

idle_point measure_idle(std::size_t entries, std::size_t engines, bool is_quick)
{
    deployment_plan plan;
    plan.entries = entries;
    plan.engines = engines;
    plan.services = 0;
    deployment const running(plan);
    std::this_thread::sleep_for(settling);
    meter entry(running.entries);
    meter sidecar(running.sidecars);
    entry.begin();
    sidecar.begin();
    double const reads = log_reads(running);
    std::this_thread::sleep_for(is_quick ? quick_window : window);
    idle_point point;
    point.entry = entry.end();
    point.sidecar = sidecar.end();
    point.log_reads_per_s = (log_reads(running) - reads) / point.entry.seconds;
    return point;
}

double bytes_of(usage_rate const& rate)
{
    return rate.read_bytes_per_s + rate.written_bytes_per_s;
}

/// Idle links that a short load has opened; the list is read once only.
idle_point measure_open_links(std::size_t engines, bool is_quick)
{
    deployment_plan plan;
    plan.entries = 1;
    plan.engines = engines;
    plan.services = 0;
    plan.list_lag_ms = 0;
    plan.entry_settings["intervals"] = "list_poll_ms = 600000";
    plan.sidecar_settings["intervals"] = "list_poll_ms = 600000";
    deployment const running(plan);
    load_options options;
    options.entries = running.entry_addresses();
    options.shape.requests_per_s = 60;
    options.shape.seconds = 2;
    options.shape.max_tokens = 1;
    options.shape.document_bytes = 64;
    static_cast<void>(run_load(options));
    meter entry(running.entries);
    meter sidecar(running.sidecars);
    entry.begin();
    sidecar.begin();
    std::this_thread::sleep_for(is_quick ? quick_window : window);
    idle_point point;
    point.entry = entry.end();
    point.sidecar = sidecar.end();
    return point;
}

series make(std::string name, std::string x_unit, std::string y_unit)
{
    return series{
        std::move(name), std::move(x_unit), std::move(y_unit), {}, {}};
}

} // namespace

std::vector<series> measure_sidecars(bool is_quick)
{
    auto cores = make("entry_idle_cpu_by_sidecars", "sidecar", "us/s");
    auto bytes = make("entry_idle_bytes_by_sidecars", "sidecar", "B/s");
    auto memory = make("entry_memory_by_sidecars", "sidecar", "MB");
    auto sidecar_bytes =
        make("sidecar_idle_bytes_by_sidecars", "sidecar", "B/s");
    auto sidecar_cores =
        make("sidecar_idle_cpu_by_sidecars", "sidecar", "us/s");
    auto reads = make("log_reads_by_sidecars", "sidecar", "reads/s");
    for (std::size_t const count : {2U, 6U, 12U, 18U})
    {
        auto const at = static_cast<double>(count);
        idle_point const point = measure_idle(2, count, is_quick);
        cores.add(at, point.entry.cores * micro);
        bytes.add(at, bytes_of(point.entry));
        memory.add(at, point.entry.resident_mb);
        sidecar_cores.add(at, point.sidecar.cores * micro);
        sidecar_bytes.add(at, bytes_of(point.sidecar));
        reads.add(at, point.log_reads_per_s);
    }
    return {cores, bytes, memory, sidecar_cores, sidecar_bytes, reads};
}

std::vector<series> measure_links(bool is_quick)
{
    auto cores = make("entry_idle_cpu_by_links", "link", "us/s");
    auto bytes = make("entry_idle_bytes_by_links", "link", "B/s");
    auto memory = make("entry_memory_by_links", "link", "MB");
    for (std::size_t const count : {2U, 6U, 12U, 18U})
    {
        auto const at = static_cast<double>(count);
        idle_point const point = measure_open_links(count, is_quick);
        cores.add(at, point.entry.cores * micro);
        bytes.add(at, bytes_of(point.entry));
        memory.add(at, point.entry.resident_mb);
    }
    return {cores, bytes, memory};
}

std::vector<series> measure_entries(bool is_quick)
{
    auto cores = make("sidecar_idle_cpu_by_entries", "entry", "us/s");
    auto bytes = make("sidecar_idle_bytes_by_entries", "entry", "B/s");
    auto memory = make("sidecar_memory_by_entries", "entry", "MB");
    for (std::size_t const count : {1U, 4U, 8U, 16U})
    {
        auto const at = static_cast<double>(count);
        idle_point const point = measure_idle(count, 2, is_quick);
        cores.add(at, point.sidecar.cores * micro);
        bytes.add(at, bytes_of(point.sidecar));
        memory.add(at, point.sidecar.resident_mb);
    }
    return {cores, bytes, memory};
}

} // namespace jujubestand::bench
