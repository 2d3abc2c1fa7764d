// What callers are told, against what ran: non-idempotent calls over real
// processes while these, their upstreams and the log fail one by one, then
// together.

#include <bench/support/ask.hpp>
#include <bench/support/deployment.hpp>
#include <bench/support/load_client.hpp>
#include <bench/support/report.hpp>
#include <csignal>
#include <iostream>
#include <map>
#include <standins/support/program.hpp>
#include <tclap/CmdLine.h>
#include <thread>

namespace
{

using namespace jujubestand;
using std::chrono::milliseconds;

constexpr std::size_t services = 3;
// Late appends, detached calls and resent claims are over by then.
constexpr milliseconds settle_time{4'000};

using action_list = decltype(bench::load_options::actions);

/// One kind of fault and what it does to a deployment.
struct scenario
{
    std::string name;
    action_list actions;
    /// Set before the load and taken back after it.
    nlohmann::json log_faults = nlohmann::json::object();
    nlohmann::json service_faults = nlohmann::json::object();
};

/// What the callers were told, against what ran.
struct tally
{
    std::size_t calls = 0;
    std::size_t ran = 0;
    std::size_t not_run = 0;
    std::size_t unsure = 0;
    std::size_t doubled = 0;
    std::size_t false_not_run = 0;
    std::size_t false_ran = 0;
    bench::samples took_us;

    [[nodiscard]] double sure_share() const
    {
        auto const sure = static_cast<double>(this->ran + this->not_run);
        return this->calls == 0 ? 0 : sure / static_cast<double>(this->calls);
    }
};

action_list repeated(milliseconds first, milliseconds period, int times,
                     std::function<void(int)> const& act)
{
    action_list actions;
    for (int turn = 0; turn < times; ++turn)
        actions.emplace_back(first + turn * period,
                             [act, turn]
                             {
                                 act(turn);
                             });
    return actions;
}

void join(action_list& to, action_list more)
{
    to.insert(to.end(), more.begin(), more.end());
}

action_list kill_sidecars(bench::deployment& running)
{
    return repeated(milliseconds{500}, milliseconds{1'000}, 3,
                    [&running](int turn)
                    {
                        running.restart(running.sidecars.at(
                            running.engines.size() +
                            static_cast<std::size_t>(turn) % services));
                    });
}

action_list kill_entries(bench::deployment& running)
{
    return repeated(milliseconds{700}, milliseconds{1'000}, 3,
                    [&running](int turn)
                    {
                        auto const at = static_cast<std::size_t>(turn) %
                                        running.entries.size();
                        running.restart(running.entries.at(at));
                    });
}

action_list pause_sidecars(bench::deployment& running)
{
    auto const at = running.engines.size();
    action_list actions;
    for (std::size_t turn = 0; turn < services; ++turn)
    {
        auto const begin = milliseconds{300 + 1'000 * turn};
        actions.emplace_back(begin,
                             [&running, at, turn]
                             {
                                 running.sidecars.at(at + turn).child->signal(
                                     SIGSTOP);
                             });
        actions.emplace_back(begin + milliseconds{1'500},
                             [&running, at, turn]
                             {
                                 running.sidecars.at(at + turn).child->signal(
                                     SIGCONT);
                             });
    }
    return actions;
}

action_list log_outages(bench::deployment& running)
{
    action_list actions;
    for (int turn = 0; turn < 3; ++turn)
    {
        auto const begin = milliseconds{400 + 1'100 * turn};
        auto const where = running.log.http;
        actions.emplace_back(begin,
                             [where]
                             {
                                 bench::set_fault(where, {{"outage", true}});
                             });
        actions.emplace_back(begin + milliseconds{500},
                             [where]
                             {
                                 bench::set_fault(where, {{"outage", false}});
                             });
    }
    return actions;
}

action_list cut_answers(bench::deployment& running)
{
    return repeated(milliseconds{300}, milliseconds{300}, 8,
                    [&running](int turn)
                    {
                        auto const at = static_cast<std::size_t>(turn);
                        bench::set_fault(
                            running.services.at(at % services).http,
                            {{"lose_answers", 1}});
                    });
}

std::vector<scenario> scenarios_of(bench::deployment& running)
{
    std::vector<scenario> all;
    all.push_back({"no_fault", {}});
    all.push_back({"sidecars_killed", kill_sidecars(running)});
    all.push_back({"sidecars_paused", pause_sidecars(running)});
    all.push_back({"entries_killed", kill_entries(running)});
    all.push_back({"log_outage", log_outages(running)});
    all.push_back({"log_slow", {}, {{"slow_ms", 300}}});
    all.push_back({"log_answers_lost", {}, {{"lose_answers_per_1000", 200}}});
    all.push_back(
        {"log_appends_late", {}, {{"late_per_1000", 200}, {"late_ms", 1'500}}});
    all.push_back({"log_records_doubled", {}, {{"double_per_1000", 300}}});
    all.push_back({"services_slow", {}, {}, {{"run_after_ms", 200}}});
    all.push_back({"service_answers_cut", cut_answers(running)});
    scenario together{"all_together",
                      kill_sidecars(running),
                      {{"lose_answers_per_1000", 100},
                       {"late_per_1000", 100},
                       {"late_ms", 1'500},
                       {"double_per_1000", 100}}};
    join(together.actions, kill_entries(running));
    join(together.actions, pause_sidecars(running));
    join(together.actions, log_outages(running));
    all.push_back(std::move(together));
    return all;
}

std::map<std::string, std::uint64_t> executions(bench::deployment& running)
{
    std::map<std::string, std::uint64_t> counts;
    for (auto const& service : running.services)
    {
        auto const shown = bench::get_json(service.http, "/_counts");
        for (auto const& [key, count] : shown.at("counts").items())
            counts[key] += count.get<std::uint64_t>();
    }
    return counts;
}

void count_call(tally& into, bench::call_result const& call,
                std::uint64_t count)
{
    ++into.calls;
    into.doubled += count > 1 ? 1 : 0;
    bool const is_ran =
        call.verdict == "ran" || call.outcome == bench::call_outcome::whole;
    bool const is_not_run = call.verdict == "not_run" && call.is_all_not_run;
    into.ran += is_ran ? 1 : 0;
    into.not_run += is_not_run ? 1 : 0;
    into.unsure += !is_ran && !is_not_run ? 1 : 0;
    into.false_ran += is_ran && count == 0 ? 1 : 0;
    into.false_not_run += is_not_run && count > 0 ? 1 : 0;
    if (is_ran)
        into.took_us.push_back(call.total_us);
}

bench::load_options load_of(bench::deployment const& running,
                            scenario const& what, std::size_t calls,
                            std::uint64_t seed)
{
    constexpr double calls_per_s = 50;
    bench::load_options options;
    options.entries = running.entry_addresses();
    options.shape.seed = seed;
    options.shape.plain_share = 1;
    options.shape.requests_per_s = calls_per_s;
    options.shape.seconds = static_cast<double>(calls) / calls_per_s;
    options.attempts = 8;
    options.first_retry_delay = milliseconds{100};
    options.silence_limit = milliseconds{8'000};
    options.actions = what.actions;
    return options;
}

void set_faults(bench::deployment& running, scenario const& what)
{
    bench::set_fault(running.log.http, what.log_faults);
    for (auto const& service : running.services)
        bench::set_fault(service.http, what.service_faults);
}

/// The same switches at their defaults.
nlohmann::json cleared(nlohmann::json faults)
{
    for (auto& [key, value] : faults.items())
        value = 0;
    return faults;
}

tally run_scenario(bench::deployment& running, scenario what, std::size_t calls,
                   std::uint64_t seed)
{
    set_faults(running, what);
    auto const result = bench::run_load(load_of(running, what, calls, seed));
    what.log_faults = cleared(what.log_faults);
    what.service_faults = cleared(what.service_faults);
    set_faults(running, what);
    std::this_thread::sleep_for(settle_time);
    auto const counts = executions(running);
    tally told;
    for (auto const& call : result.calls)
    {
        auto const found = counts.find(call.idempotency_key);
        count_call(told, call, found == counts.end() ? 0 : found->second);
        if (call.verdict != "ran" && call.outcome != bench::call_outcome::whole)
            std::cerr << what.name << ": " << call.idempotency_key << " status "
                      << call.status << " verdict " << call.verdict
                      << " reason " << call.reason << " attempts "
                      << call.attempts << '\n';
    }
    return told;
}

void print(std::string const& name, tally& told)
{
    auto const put = [&name](std::string const& what, std::size_t value)
    {
        bench::figure(name + '_' + what, static_cast<double>(value), "calls");
    };
    put("calls", told.calls);
    put("ran", told.ran);
    put("not_run", told.not_run);
    put("unsure", told.unsure);
    bench::figure(name + "_sure_share", told.sure_share(), "share");
}

bench::deployment_plan plan_of()
{
    bench::deployment_plan plan;
    plan.entries = 3;
    plan.engines = 1;
    plan.services = services;
    plan.entry_settings["limits"] = "drain_notice_ms = 0";
    plan.sidecar_settings["limits"] = "drain_notice_ms = 0";
    auto tables = bench::default_tables(plan);
    tables.routes.at(route_id("bookings")).deadline_ms = 5'000;
    plan.tables = tables;
    return plan;
}

double claim_appends(bench::deployment const& running)
{
    auto const stats = bench::get_json(running.log.http, "/_stats");
    return stats.at("streams")
        .at("claims.services.0")
        .at("appends")
        .get<double>();
}

int run_all(std::size_t calls, std::uint64_t seed, std::string const& only)
{
    bench::deployment running(plan_of());
    tally sum;
    double worst_share = 1;
    for (auto& what : scenarios_of(running))
    {
        if (!only.empty() && only != what.name)
            continue;
        tally told = run_scenario(running, what, calls, seed++);
        print(what.name, told);
        sum.calls += told.calls;
        sum.doubled += told.doubled;
        sum.false_not_run += told.false_not_run;
        sum.false_ran += told.false_ran;
        if (what.name != "all_together")
            worst_share = std::min(worst_share, told.sure_share());
    }
    bench::figure("calls", static_cast<double>(sum.calls), "calls");
    bench::figure("doubled", static_cast<double>(sum.doubled), "calls");
    bench::figure("false_not_run", static_cast<double>(sum.false_not_run),
                  "calls");
    bench::figure("false_ran", static_cast<double>(sum.false_ran), "calls");
    bench::figure("sure_share_one_fault_worst", worst_share, "share");
    bench::figure("claim_appends_per_call",
                  claim_appends(running) / static_cast<double>(sum.calls),
                  "appends");
    return sum.doubled + sum.false_not_run + sum.false_ran == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine line("Callers' verdicts against executions, under faults.");
    TCLAP::ValueArg<std::size_t> const calls(
        "", "calls", "calls per kind of fault", false, 180, "N", line);
    TCLAP::ValueArg<std::uint64_t> const seed("", "seed", "names the plan",
                                              false, 1, "N", line);
    TCLAP::ValueArg<std::string> const only("", "only", "one kind of fault",
                                            false, "", "NAME", line);
    TCLAP::SwitchArg const quick("", "quick", "a tenth of the calls", line);
    line.parse(argc, argv);
    std::size_t const count =
        quick.getValue() ? calls.getValue() / 10 : calls.getValue();
    return run_all(count, seed.getValue(), only.getValue());
}
