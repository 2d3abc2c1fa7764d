// Tables and restarts: racing operators over a deployment of real processes,
// first calm, then with a lossy log and one slow data centre; restarts with
// the log down; a restart of all at once.

#include <bench/support/ask.hpp>
#include <bench/support/deployment.hpp>
#include <bench/support/node_log.hpp>
#include <bench/support/percentile.hpp>
#include <bench/support/report.hpp>
#include <bench/support/workload.hpp>
#include <event2/event.h>
#include <fstream>
#include <jujubestand/core/time.hpp>
#include <jujubestand/ctl/log_session.hpp>
#include <jujubestand/platform/http_client.hpp>
#include <standins/support/program.hpp>
#include <tclap/CmdLine.h>
#include <thread>

namespace
{

using namespace jujubestand;
using std::chrono::milliseconds;

constexpr std::size_t operators = 5;
constexpr milliseconds poll_interval{2};
constexpr milliseconds answer_limit{10'000};
constexpr milliseconds herd_limit{5'000};
constexpr milliseconds settle_time{9'000};
constexpr double microseconds_per_millisecond = 1e3;
constexpr int slow_link_us = 100'000;

/// \brief An edit that the tool reported as accepted.
struct accepted_edit
{
    std::string author;
    std::uint64_t version = 0;
};

/// \brief What the operators were told.
struct operator_counts
{
    std::vector<accepted_edit> accepted;
    std::uint32_t conflicts = 0;
    std::uint32_t unknown = 0;
    std::uint32_t other = 0;
};

std::string output_of(bench::deployment const& all, std::string const& name)
{
    return (all.folder() / name).string();
}

bench::child_process start_edit(bench::deployment const& all, std::size_t who,
                                std::size_t round, std::string const& output)
{
    auto const name = std::to_string(who);
    return bench::child_process(
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
void race_once(bench::deployment const& all, std::size_t round,
               operator_counts& told)
{
    std::vector<bench::child_process> tools;
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

operator_counts race(bench::deployment const& all, std::size_t first,
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

std::vector<bench::deployed_process*> nodes_of(bench::deployment& all)
{
    std::vector<bench::deployed_process*> nodes;
    for (auto* group : {&all.entries, &all.sidecars})
    {
        for (auto& node : *group)
            nodes.push_back(&node);
    }
    return nodes;
}

/// \brief The log's edits, decided by the naive order of the whole stream.
std::vector<ctl::decided_edit> read_history(bench::deployment const& all)
{
    ctl::log_session session(all.log.http, answer_limit);
    reason why;
    if (session.read_to_end(why) != ctl::exit_code::done)
        throw std::runtime_error(to_text(why));
    return session.history();
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

void report_race(bench::deployment& all, std::string const& prefix,
                 operator_counts const& told)
{
    std::this_thread::sleep_for(settle_time);
    auto const history = read_history(all);
    auto const last = history.back().after.version.value;
    bench::samples in_force;
    std::uint32_t reverts = 0;
    std::uint32_t behind = 0;
    for (auto const* node : nodes_of(all))
    {
        auto const seen =
            bench::read_applied(output_of(all, node->name) + ".err");
        reverts += bench::count_reverts(seen);
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
            auto const seen =
                bench::read_applied(output_of(all, node->name) + ".err");
            worst = std::max(worst, bench::in_force_at(seen, mine.version));
        }
        in_force.push_back(static_cast<std::uint32_t>(
            std::max(worst - appended, std::int64_t{0})));
    }
    bench::figure(prefix + "edits_accepted",
                  static_cast<double>(told.accepted.size()), "edits");
    bench::figure(prefix + "edits_conflict", told.conflicts, "edits");
    bench::figure(prefix + "edits_unknown", told.unknown, "edits");
    bench::figure(prefix + "edits_failed", told.other, "edits");
    bench::figure(
        prefix + "config_in_force_p50_ms",
        bench::percentile(in_force, 50) / microseconds_per_millisecond, "ms");
    bench::figure(
        prefix + "config_in_force_p99_ms",
        bench::percentile(in_force, 99) / microseconds_per_millisecond, "ms");
    bench::figure(prefix + "config_reverts", reverts, "times");
    bench::figure(prefix + "nodes_behind_at_end", behind, "nodes");
    bench::figure(prefix + "lost_accepted_edits", count_lost(history, told),
                  "edits");
}

/// \brief Delaying relays, and the links that they stand before.
struct slow_links
{
    std::vector<bench::child_process> relays;
    std::vector<std::pair<bench::deployed_process*, address>> links;
};

/// \brief Puts a delaying relay before the links of one data centre.
slow_links slow_down(bench::deployment& all, std::string const& data_centre)
{
    slow_links slow;
    auto& relays = slow.relays;
    for (auto* node : nodes_of(all))
    {
        if (node->data_centre != data_centre)
            continue;
        relays.emplace_back(
            std::vector<std::string>{
                std::string(JUJUBESTAND_BINARY_DIR) + "/standins/standin_relay",
                "--target", to_text(node->link), "--listen", "127.0.0.1:0",
                "--there-us", std::to_string(slow_link_us), "--back-us",
                std::to_string(slow_link_us)},
            output_of(all, "relay-" + node->name));
        auto const where = relays.back().wait_line("listening ", answer_limit);
        if (!where)
            throw std::runtime_error("a relay did not start");
        slow.links.emplace_back(node, node->link);
        node->link = standins::address_argument(*where);
        all.list_as(*node, "live");
    }
    return slow;
}

void speed_up(bench::deployment& all, slow_links const& slow)
{
    for (auto const& [node, link] : slow.links)
    {
        node->link = link;
        all.list_as(*node, "live");
    }
}

bool answers_a_request(address const& entry)
{
    auto const base = standins::make_base();
    platform::http_client client(base.get());
    platform::http_request request;
    request.server = entry;
    request.method = platform::http_method::post;
    request.target = "/v1/completions";
    request.headers = {{"Authorization", "Bearer " + bench::team_key(0)},
                       {"Content-Type", "application/json"}};
    request.body = R"({"model":"model-a","prompt":"restart","max_tokens":1})";
    request.timeout = milliseconds(1'000);
    int status = 0;
    client.start(request,
                 [&](platform::http_result const& answer)
                 {
                     status = answer.status;
                     event_base_loopbreak(base.get());
                 });
    event_base_dispatch(base.get());
    return status == 200;
}

void restart_with_log_down(bench::deployment& all, std::size_t count)
{
    bench::set_fault(all.log.http, {{"outage", true}});
    bench::samples entries;
    bench::samples sidecars;
    std::uint32_t failed = 0;
    for (std::size_t at = 0; at < count; ++at)
    {
        auto& entry = all.entries[at % all.entries.size()];
        auto began = mono_now();
        all.restart(entry);
        while (!answers_a_request(entry.http) &&
               mono_now() - began < answer_limit)
            std::this_thread::sleep_for(poll_interval);
        auto const taken = mono_now() - began;
        failed += taken < answer_limit ? 0 : 1;
        entries.push_back(static_cast<std::uint32_t>(taken.count()));

        auto& sidecar = all.sidecars[at % all.sidecars.size()];
        began = mono_now();
        all.restart(sidecar);
        failed += bench::wait_ok(sidecar.http, "/readyz", answer_limit) ? 0 : 1;
        sidecars.push_back(
            static_cast<std::uint32_t>((mono_now() - began).count()));
    }
    bench::set_fault(all.log.http, {{"outage", false}});
    bench::figure("restart_to_first_answer_p99_ms",
                  bench::percentile(entries, 99) / microseconds_per_millisecond,
                  "ms");
    bench::figure(
        "sidecar_restart_to_ready_p99_ms",
        bench::percentile(sidecars, 99) / microseconds_per_millisecond, "ms");
    bench::figure("restarts_not_answered", failed, "restarts");
}

void restart_herd(bench::deployment& all)
{
    auto const nodes = nodes_of(all);
    for (auto* node : nodes)
        node->child->kill();
    auto const began = mono_now();
    for (auto* node : nodes)
        all.restart(*node);
    std::uint32_t unready = 0;
    mono_time last = began;
    for (auto const* node : nodes)
    {
        auto const left = std::chrono::duration_cast<milliseconds>(
            herd_limit - (mono_now() - began));
        bool const is_ready = bench::wait_ok(node->http, "/readyz",
                                             std::max(left, milliseconds(50)));
        unready += is_ready ? 0 : 1;
        last = mono_now();
    }
    bench::figure("herd_unready_after_5s", unready, "nodes");
    bench::figure("herd_all_ready_ms",
                  static_cast<double>((last - began).count()) /
                      microseconds_per_millisecond,
                  "ms");
}

std::uint64_t moved_bytes(bench::deployed_process const& node)
{
    std::ifstream in("/proc/" + std::to_string(node.child->pid()) + "/io");
    std::uint64_t total = 0;
    std::string key;
    std::uint64_t value = 0;
    while (in >> key >> value)
        total += key == "rchar:" || key == "wchar:" ? value : 0;
    return total;
}

// Without requests: what following log, list and links costs.
void measure_idle(std::size_t engines, milliseconds span)
{
    bench::deployment_plan plan;
    plan.engines = engines;
    plan.services = 0;
    bench::deployment all(plan);
    std::this_thread::sleep_for(milliseconds(1'000));
    double bytes = 0;
    double processor_us = 0;
    auto const sum = [&all](double& moved, double& used, double sign)
    {
        for (auto const* node : nodes_of(all))
        {
            moved += sign * static_cast<double>(moved_bytes(*node));
            used += sign * static_cast<double>(
                               node->child->usage().processor_time.count());
        }
    };
    sum(bytes, processor_us, -1);
    std::this_thread::sleep_for(span);
    sum(bytes, processor_us, 1);
    auto const nodes = static_cast<double>(nodes_of(all).size());
    auto const seconds = static_cast<double>(span.count()) / 1e3;
    auto const suffix = "_at_" + std::to_string(engines) + "_sidecars";
    bench::figure("control_bytes_per_s" + suffix, bytes / nodes / seconds,
                  "B/s");
    bench::figure("control_cpu_percent" + suffix,
                  processor_us / nodes / seconds / 1e4, "%");
}

void measure_tables(std::size_t rounds, std::size_t restarts)
{
    bench::deployment_plan plan;
    plan.engines = 20;
    plan.services = 0;
    bench::deployment all(plan);
    auto const began = mono_now();
    auto const calm = race(all, 0, rounds, milliseconds(100));
    auto const span = std::chrono::duration<double>(mono_now() - began);
    auto const appends = static_cast<double>(read_history(all).size() - 1);
    bench::figure("appends_per_s_configuration", appends / span.count(),
                  "appends/s");
    report_race(all, "", calm);

    auto const slow = slow_down(all, "shymkent-a");
    bench::set_fault(all.log.http, {{"lose_answers_per_1000", 200},
                                    {"late_per_1000", 100},
                                    {"late_ms", 500},
                                    {"double_per_1000", 100},
                                    {"slow_ms", 100}});
    auto const faulty = race(all, rounds, rounds / 2, milliseconds(100));
    report_race(all, "faults_", faulty);
    bench::set_fault(all.log.http, {{"lose_answers_per_1000", 0},
                                    {"late_per_1000", 0},
                                    {"double_per_1000", 0},
                                    {"slow_ms", 0}});
    speed_up(all, slow);
    restart_with_log_down(all, restarts);
    restart_herd(all);
}

int run(int argc, char** argv)
{
    TCLAP::CmdLine line("Racing operators, restarts and control traffic over "
                        "2 entries and 20 sidecars.",
                        ' ', "1");
    TCLAP::SwitchArg const quick("", "quick", "fewer edits and restarts", line);
    TCLAP::SwitchArg const slope("", "slope",
                                 "control traffic from 5 to 100 "
                                 "sidecars instead",
                                 line);
    line.parse(argc, argv);
    if (slope.getValue())
    {
        for (std::size_t const engines : {5U, 20U, 100U})
            measure_idle(engines, milliseconds(10'000));
        return 0;
    }
    bool const is_quick = quick.getValue();
    measure_tables(is_quick ? 10 : 60, is_quick ? 4 : 20);
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    return standins::guarded_main(argc, argv, run);
}
