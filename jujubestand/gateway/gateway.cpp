#include <jujubestand/gateway/gateway.hpp>

#include <csignal>
#include <event2/event.h>
#include <jujubestand/gateway/agents.hpp>
#include <jujubestand/gateway/beliefs.hpp>
#include <jujubestand/gateway/calls.hpp>
#include <jujubestand/gateway/peers.hpp>
#include <jujubestand/gateway/repeats.hpp>
#include <jujubestand/loop/signals.hpp>
#include <platform/names.hpp>
#include <unistd.h>

namespace jujubestand::gateway
{

namespace
{

constexpr std::chrono::milliseconds upstream_pause{500};
constexpr std::chrono::milliseconds stop_check_interval{50};

/// After SIGTERM the load balancer still routes callers here until its health
/// check fails.
constexpr std::chrono::milliseconds stop_notice{2'300};

/// Part of the grace period reserved for an orderly shutdown.
constexpr std::chrono::milliseconds stop_margin{400};

void log_store(gateway_state& self, char const* topic, reason const* why)
{
    if (why != nullptr)
        self.log->write(event_number::log_unreachable, {},
                        {{"topic", topic}, {"why", to_text(*why)}});
    else
        self.log->write(event_number::log_reachable, {}, {{"topic", topic}});
}

follow::follower_events follower_events_of(
    gateway_state& self, char const* topic,
    void (*apply)(gateway_state&, std::vector<follow::record> const&))
{
    follow::follower_events events;
    events.on_changes = [&self, apply](std::vector<follow::record> const& rows)
    {
        apply(self, rows);
        review_waiting(self);
    };
    events.on_unreachable = [&self, topic](reason const& why)
    {
        log_store(self, topic, &why);
    };
    events.on_expired = [&self, topic](reason const& why)
    {
        self.log->write(event_number::log_gap, {},
                        {{"topic", topic}, {"why", to_text(why)}});
    };
    events.on_reachable = [&self, topic]
    {
        log_store(self, topic, nullptr);
    };
    return events;
}

void make_clients(gateway_state& self)
{
    self.calls = std::make_unique<http1::client>(self.base);
    self.upstreams = std::make_unique<http1::client>(self.base);
    self.store =
        std::make_unique<platform::store>(*self.calls, self.settings.store);
    self.operator_topic = std::make_unique<follow::follower>(
        self.base, *self.store,
        follow::reading{std::string(platform::names::operator_topic),
                        operator_wait, std::chrono::milliseconds{0}},
        follower_events_of(self, "operator", apply_operator_records));
    self.upstream_topic = std::make_unique<follow::follower>(
        self.base, *self.store,
        follow::reading{std::string(platform::names::upstream_topic),
                        std::chrono::milliseconds{0}, upstream_pause},
        follower_events_of(self, "upstreams", apply_upstream_records));
    self.datagrams = std::make_unique<loop::datagrams>(
        self.base,
        [&self](address const& from, std::string_view bytes)
        {
            on_agent_answer(self, from, bytes);
            on_peer_datagram(self, from, bytes);
        });
}

void make_servers(gateway_state& self)
{
    http1::server_events events;
    events.on_request =
        [&self](http1::exchange_id exchange, http1::server_request request)
    {
        on_request(self, exchange, std::move(request));
    };
    events.on_gone = [&self](http1::exchange_id exchange)
    {
        on_caller_gone(self, exchange);
    };
    self.callers = std::make_unique<http1::server>(self.base, events);
    http1::server_events ready;
    ready.on_request =
        [&self](http1::exchange_id exchange, http1::server_request const&)
    {
        constexpr int ok = 200;
        constexpr int unavailable = 503;
        self.readiness->respond(
            exchange, is_ready(self, mono_now()) ? ok : unavailable, {}, {});
    };
    ready.on_gone = [](http1::exchange_id) {};
    self.readiness = std::make_unique<http1::server>(self.base, ready);
    http1::server_events records;
    records.on_request = [&self](http1::exchange_id exchange,
                                 http1::server_request const& request)
    {
        on_records_request(self, exchange, request);
    };
    records.on_gone = [](http1::exchange_id) {};
    self.records = std::make_unique<http1::server>(self.base, records);
}

bool listen(gateway_state& self, reason& why)
{
    auto const& settings = self.settings;
    if (!settings.callers)
    {
        why = reason{
            reason_code::settings_invalid, "no listen address for callers", {}};
        return false;
    }
    address const own{settings.ip, settings.internal_port};
    return self.callers->listen(*settings.callers, why) &&
           (!settings.readiness ||
            self.readiness->listen(*settings.readiness, why)) &&
           self.datagrams->bind(own, why) && self.records->listen(own, why);
}

// Runs on a timer, since record age, lapses and deadlines change without any
// event.
void on_tick(gateway_state& self)
{
    auto const now = mono_now();
    auto const age = follow::age(self.upstream_topic->known(), now);
    if (age && *age < self.lapses.limits.outage_min)
        follow::on_store_answer(self.lapses, now);
    else
        follow::on_store_failure(self.lapses, now);
    drop_lapsed(self);
    review_suspended(self);
    ask_agents(self);
    ask_peers(self);
}

void begin_stop(gateway_state& self)
{
    if (self.is_stopping)
        return;
    self.is_stopping = true;
    self.stopping_since = mono_now();
    self.log->write(
        event_number::drain_started, {},
        {{"open_calls", static_cast<std::int64_t>(self.live.size())}});
    self.callers->drain();
    self.stop_timer->start_every(stop_check_interval);
}

void check_stop(gateway_state& self)
{
    auto const since = mono_now() - self.stopping_since;
    bool const is_idle = self.callers->busy() == 0 && since >= stop_notice;
    // Two idle checks in a row: connections that were pending at the listener
    // during the first check are counted as busy by the second.
    bool const is_done = is_idle && self.was_idle;
    self.was_idle = is_idle;
    if (is_done || since >= self.settings.limits.stop_grace - stop_margin)
        event_base_loopbreak(self.base);
}

void start_timers(gateway_state& self)
{
    self.tick_timer.emplace(self.base,
                            [&self]
                            {
                                on_tick(self);
                            });
    self.tick_timer->start_every(tick_interval);
    self.review_timer.emplace(self.base,
                              [&self]
                              {
                                  self.is_review_planned = false;
                                  review_waiting(self);
                              });
    self.stop_timer.emplace(self.base,
                            [&self]
                            {
                                check_stop(self);
                            });
}

} // namespace

process::exit_code run(node::settings settings)
{
    auto* const base = event_base_new();
    logs::log log(STDOUT_FILENO);
    gateway_state self;
    self.base = base;
    self.log = &log;
    self.settings = std::move(settings);
    self.dispatch.data_center = self.settings.data_center;
    constexpr std::chrono::milliseconds weights_margin{1'200};
    self.dispatch.limits.weights_lag =
        self.settings.limits.weights_lag - weights_margin;
    self.started_at = mono_now();
    self.draw.seed(std::random_device{}());
    make_clients(self);
    make_servers(self);
    reason why;
    if (!listen(self, why))
    {
        log.write(event_number::settings_refused, {}, {{"why", to_text(why)}});
        return process::exit_code::failed;
    }
    loop::signals const signals(
        base, {{SIGTERM,
                [&self]
                {
                    begin_stop(self);
                }},
               {SIGHUP, [&log]
                {
                    log.write(event_number::settings_reloaded, {}, {});
                }}});
    start_timers(self);
    log.write(event_number::process_started, {},
              {{"role", "gateway"}, {"name", self.settings.name}});
    ask_peers(self);
    event_base_dispatch(base);
    auto const cut = static_cast<std::int64_t>(self.live.size());
    log.write(cut == 0 ? event_number::drain_finished : event_number::drain_cut,
              {}, {{"open_calls", cut}});
    return cut == 0 ? process::exit_code::stopped
                    : process::exit_code::drain_cut;
}

} // namespace jujubestand::gateway
