// Tables and restarts: racing operators over a deployment of real processes,
// first calm, then with a lossy log and one slow data centre; restarts with
// the log down; a restart of all at once.

#include <bench/state/race.hpp>
#include <bench/support/ask.hpp>
#include <bench/support/deployment.hpp>
#include <bench/support/percentile.hpp>
#include <bench/support/report.hpp>
#include <bench/support/workload.hpp>
#include <event2/event.h>
#include <fstream>
#include <jujubestand/core/time.hpp>
#include <jujubestand/platform/http_client.hpp>
#include <standins/support/program.hpp>
#include <tclap/CmdLine.h>
#include <thread>

namespace
{

using namespace jujubestand;
using bench::microseconds_per_millisecond;
using bench::poll_interval;
using std::chrono::milliseconds;

constexpr milliseconds answer_limit{10'000};
constexpr milliseconds herd_limit{5'000};
constexpr milliseconds list_settle_time{2'000};
constexpr int slow_link_us = 100'000;

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
    // Until the lagging list shows the fast links again.
    std::this_thread::sleep_for(list_settle_time);
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
