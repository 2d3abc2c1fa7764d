#include <jujubestand/agent/agent.hpp>

#include <algorithm>
#include <csignal>
#include <event2/event.h>
#include <jujubestand/agent/answers.hpp>
#include <jujubestand/agent/engine.hpp>
#include <jujubestand/agent/weights.hpp>
#include <jujubestand/loop/signals.hpp>
#include <platform/names.hpp>
#include <unistd.h>

namespace jujubestand::agent
{

namespace
{

constexpr std::chrono::milliseconds report_interval{60};
/// Part of the time limit for new weights that remains after the wait for
/// long calls, for ending the calls still running and for the load itself.
constexpr std::chrono::milliseconds load_reserve{2'600};
constexpr std::chrono::milliseconds long_run_limit_min{1'000};
constexpr int ok = 200;

void make_parts(agent_state& self)
{
    self.calls = std::make_unique<http1::client>(self.base);
    self.store =
        std::make_unique<platform::store>(*self.calls, self.settings.store);
    follow::follower_events events;
    events.on_changes = [&self](std::vector<follow::record> const& rows)
    {
        apply_records(self, rows);
    };
    events.on_unreachable = [&self](reason const& why)
    {
        self.log->write(event_number::log_unreachable, {},
                        {{"topic", "operator"}, {"why", to_text(why)}});
    };
    events.on_expired = [&self](reason const& why)
    {
        self.log->write(event_number::log_gap, {},
                        {{"topic", "operator"}, {"why", to_text(why)}});
    };
    events.on_reachable = [&self]
    {
        self.log->write(event_number::log_reachable, {},
                        {{"topic", "operator"}});
    };
    self.operator_topic = std::make_unique<follow::follower>(
        self.base, *self.store,
        follow::reading{std::string(platform::names::operator_topic),
                        std::chrono::milliseconds{0},
                        std::chrono::milliseconds{0}},
        std::move(events));
    self.questions = std::make_unique<loop::datagrams>(
        self.base,
        [&self](address const& from, std::string_view bytes)
        {
            on_question(self, from, bytes);
        });
    http1::server_events served;
    served.on_request =
        [&self](http1::exchange_id exchange, http1::server_request const&)
    {
        self.records->respond(exchange, ok, {},
                              status::to_bytes(follow::changes_since(
                                  self.operator_topic->known(), 0)));
    };
    served.on_gone = [](http1::exchange_id) {};
    self.records = std::make_unique<http1::server>(self.base, served);
    self.report_timer.emplace(self.base,
                              [&self]
                              {
                                  ask_report(self);
                              });
    self.cache_timer.emplace(self.base,
                             [&self]
                             {
                                 ask_cache_events(self);
                             });
    self.fence_timer.emplace(self.base,
                             [&self]
                             {
                                 take_fence(self);
                             });
}

} // namespace

process::exit_code run(node::settings settings)
{
    auto* const base = event_base_new();
    logs::log log(STDOUT_FILENO);
    agent_state self;
    self.base = base;
    self.log = &log;
    self.settings = std::move(settings);
    if (!self.settings.upstream)
    {
        log.write(event_number::settings_refused, {},
                  {{"why", "agent settings name no upstream"}});
        return process::exit_code::bad_settings;
    }
    self.weights.limits.long_run_limit = std::max(
        long_run_limit_min, self.settings.limits.weights_lag - load_reserve);
    make_parts(self);
    reason why;
    address const own{self.settings.ip, self.settings.internal_port};
    if (!self.questions->bind(own, why) || !self.records->listen(own, why))
    {
        log.write(event_number::settings_refused, {}, {{"why", to_text(why)}});
        return process::exit_code::failed;
    }
    loop::signals const signals(
        base, {{SIGTERM,
                [base]
                {
                    event_base_loopbreak(base);
                }},
               {SIGHUP, [&log]
                {
                    log.write(event_number::settings_reloaded, {}, {});
                }}});
    log.write(event_number::process_started, {},
              {{"role", "agent"}, {"name", self.settings.name}});
    self.report_timer->start_every(report_interval);
    status::begin(self.cache, static_cast<std::uint64_t>(
                                  wall_now().time_since_epoch().count()));
    ask_cache_events(self);
    take_fence(self);
    event_base_dispatch(base);
    log.write(event_number::drain_finished, {}, {});
    return process::exit_code::stopped;
}

} // namespace jujubestand::agent
