#include <bench/state/race.hpp>

#include <algorithm>
#include <bench/support/node_log.hpp>
#include <bench/support/percentile.hpp>
#include <bench/support/report.hpp>
#include <fstream>
#include <jujubestand/core/time.hpp>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>

namespace jujubestand::bench
{

namespace
{

using std::chrono::milliseconds;

constexpr std::size_t operators = 5;
constexpr milliseconds answer_limit{10'000};
constexpr milliseconds settle_time{9'000};

child_process start_edit(deployment const& all, std::size_t who,
                         std::size_t round, std::string const& output)
{
    auto const name = std::to_string(who);
    return child_process(
        {std::string(JUJUBESTAND_BINARY_DIR) + "/jujubestandctl", "--log",
         to_text(all.log.http), "--json", "--author", "op-" + name, "pool",
         "set", "spare-" + name,
         "tail_weight=0." + std::to_string(round % 97 + 1)},
        output);
}

std::uint64_t version_in(std::string const& file)
{
    std::ifstream in(file);
    auto const shown = nlohmann::json::parse(in, nullptr, false);
    return shown.is_object() ? shown.value("version", std::uint64_t{0}) : 0;
}

// All operators start from the same version, so that they race.
void race_once(deployment const& all, std::size_t round, operator_counts& told)
{
    std::vector<child_process> tools;
    std::vector<std::string> outputs;
    for (std::size_t who = 0; who < operators; ++who)
    {
        outputs.push_back(output_of(all, "edit-" + std::to_string(round) + '-' +
                                             std::to_string(who)));
        tools.push_back(start_edit(all, who, round, outputs.back()));
    }
    for (std::size_t who = 0; who < operators; ++who)
    {
        while (tools[who].is_running())
            std::this_thread::sleep_for(poll_interval);
        auto const code =
            static_cast<ctl::exit_code>(tools[who].stop(milliseconds(0)));
        if (code == ctl::exit_code::done)
            told.accepted.push_back({"op-" + std::to_string(who),
                                     version_in(outputs[who] + ".out")});
        else if (code == ctl::exit_code::conflict)
            ++told.conflicts;
        else if (code == ctl::exit_code::unknown)
            ++told.unknown;
        else
            ++told.other;
    }
}

std::uint32_t count_lost(std::vector<ctl::decided_edit> const& history,
                         operator_counts const& told)
{
    std::uint32_t lost = 0;
    for (auto const& mine : told.accepted)
    {
        bool is_found = false;
        for (auto const& one : history)
            is_found = is_found ||
                       (one.result.offset.value == mine.version &&
                        one.result.author == mine.author &&
                        one.result.outcome == config::edit_outcome::accepted);
        lost += is_found ? 0 : 1;
    }
    return lost;
}

} // namespace

std::string output_of(deployment const& all, std::string const& name)
{
    return (all.folder() / name).string();
}

std::vector<ctl::decided_edit> read_history(deployment const& all)
{
    ctl::log_session session(all.log.http, answer_limit);
    reason why;
    if (session.read_to_end(why) != ctl::exit_code::done)
        throw std::runtime_error(to_text(why));
    return session.history();
}

operator_counts race(deployment const& all, std::size_t first,
                     std::size_t rounds, milliseconds pause)
{
    operator_counts told;
    for (std::size_t round = first; round < first + rounds; ++round)
    {
        race_once(all, round, told);
        std::this_thread::sleep_for(pause);
    }
    return told;
}

std::vector<deployed_process*> nodes_of(deployment& all)
{
    std::vector<deployed_process*> nodes;
    for (auto* group : {&all.entries, &all.sidecars})
    {
        for (auto& node : *group)
            nodes.push_back(&node);
    }
    return nodes;
}

void report_race(deployment& all, std::string const& prefix,
                 operator_counts const& told)
{
    std::this_thread::sleep_for(settle_time);
    auto const history = read_history(all);
    auto const last = history.back().after.version.value;
    samples in_force;
    std::uint32_t reverts = 0;
    std::uint32_t behind = 0;
    for (auto const* node : nodes_of(all))
    {
        auto const seen = read_applied(output_of(all, node->name) + ".err");
        reverts += count_reverts(seen);
        behind += seen.empty() || seen.back().version != last ? 1 : 0;
    }
    for (auto const& mine : told.accepted)
    {
        std::int64_t worst = 0;
        std::int64_t appended = 0;
        for (auto const& one : history)
        {
            if (one.result.offset.value == mine.version)
                appended = one.appended.time_since_epoch().count() * 1'000;
        }
        for (auto const* node : nodes_of(all))
        {
            auto const seen = read_applied(output_of(all, node->name) + ".err");
            worst = std::max(worst, in_force_at(seen, mine.version));
        }
        in_force.push_back(static_cast<std::uint32_t>(
            std::max(worst - appended, std::int64_t{0})));
    }
    figure(prefix + "edits_accepted", static_cast<double>(told.accepted.size()),
           "edits");
    figure(prefix + "edits_conflict", told.conflicts, "edits");
    figure(prefix + "edits_unknown", told.unknown, "edits");
    figure(prefix + "edits_failed", told.other, "edits");
    figure(prefix + "config_in_force_p50_ms",
           percentile(in_force, 50) / microseconds_per_millisecond, "ms");
    figure(prefix + "config_in_force_p99_ms",
           percentile(in_force, 99) / microseconds_per_millisecond, "ms");
    figure(prefix + "config_reverts", reverts, "times");
    figure(prefix + "nodes_behind_at_end", behind, "nodes");
    figure(prefix + "lost_accepted_edits", count_lost(history, told), "edits");
}

} // namespace jujubestand::bench
