#include <bench/capacity/meter.hpp>
#include <bench/capacity/slopes.hpp>
#include <bench/support/ask.hpp>
#include <bench/support/workload.hpp>
#include <msgpack.hpp>
#include <thread>

namespace jujubestand::bench
{

namespace
{

constexpr std::chrono::seconds settling{1};
constexpr double bytes_per_kibibyte = 1024;

/// One completion route for each team, beside the default ones.
config::tables with_team_routes(deployment_plan const& plan)
{
    config::tables made = default_tables(plan);
    for (std::size_t index = 0; index < plan.teams; ++index)
    {
        config::route row;
        row.id = route_id("completions-" + team_name(index));
        row.pool = pool_id("engines");
        row.teams.emplace_back(team_name(index));
        made.routes[row.id] = row;
    }
    return made;
}

double packed_kibibytes(config::tables const& made)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, made);
    return static_cast<double>(buffer.size()) / bytes_per_kibibyte;
}

} // namespace

std::vector<series> measure_tables(bool is_quick)
{
    series packed{"table_size_by_teams", "team", "KiB", {}, {}};
    series entry{"entry_memory_by_teams", "team", "MB", {}, {}};
    series sidecar{"sidecar_memory_by_teams", "team", "MB", {}, {}};
    for (std::size_t const teams : {8U, 500U, 1'000U, 1'900U})
    {
        deployment_plan plan;
        plan.entries = 1;
        plan.engines = 1;
        plan.services = 0;
        plan.teams = teams;
        plan.tables = with_team_routes(plan);
        deployment const running(plan);
        if (!is_quick)
            std::this_thread::sleep_for(settling);
        meter entry_now(running.entries);
        meter sidecar_now(running.sidecars);
        entry_now.begin();
        sidecar_now.begin();
        auto const at = static_cast<double>(teams);
        packed.add(at, packed_kibibytes(*plan.tables));
        entry.add(at, entry_now.end().resident_mb);
        sidecar.add(at, sidecar_now.end().resident_mb);
    }
    return {packed, entry, sidecar};
}

} // namespace jujubestand::bench
