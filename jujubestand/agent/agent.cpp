#include <jujubestand/agent/agent.hpp>

#include <algorithm>
#include <csignal>
#include <event2/event.h>
#include <jujubestand/agent/askers.hpp>
#include <jujubestand/agent/rollout.hpp>
#include <jujubestand/follow/follower.hpp>
#include <jujubestand/http1/server.hpp>
#include <jujubestand/logs/log.hpp>
#include <jujubestand/loop/datagrams.hpp>
#include <jujubestand/loop/signals.hpp>
#include <jujubestand/loop/timer.hpp>
#include <jujubestand/status/messages.hpp>
#include <memory>
#include <platform/calls.hpp>
#include <platform/documents.hpp>
#include <platform/names.hpp>
#include <platform/store.hpp>
#include <unistd.h>

namespace jujubestand::agent
{

namespace
{

constexpr std::chrono::milliseconds report_interval{60};
constexpr std::chrono::milliseconds report_timeout{400};
constexpr std::chrono::milliseconds order_timeout{1'000};
constexpr std::chrono::milliseconds cache_wait{1'000};
constexpr std::chrono::milliseconds cache_pause{20};
constexpr std::chrono::milliseconds cache_retry_pause{250};
/// Kept of the time for new weights when a load waits for long calls: what
/// still runs then has to end, and the load itself.
constexpr std::chrono::milliseconds load_reserve{2'600};
/// What is heard of weights in the first time of this process may have been
/// named long before.
constexpr std::chrono::milliseconds settled_after{3'000};
constexpr std::chrono::milliseconds long_run_limit_min{1'000};
constexpr std::chrono::milliseconds fence_retry_pause{400};

/// A gateway whose knowledge is older than this asks for a newer proof.
constexpr std::chrono::milliseconds proof_age_limit{2'500};
constexpr std::chrono::milliseconds own_proof_age_limit{800};

/// Failed reports in a row after which the engine counts as unreachable.
constexpr unsigned report_failures_limit = 2;

constexpr char const* fence_topic = "jujubestand.fences";

constexpr int ok = 200;

struct agent_state
{
    event_base* base = nullptr;
    node::settings settings;
    logs::log* log = nullptr;
    std::unique_ptr<http1::client> calls;
    std::unique_ptr<platform::store> store;
    std::unique_ptr<follow::follower> operator_topic;
    std::unique_ptr<loop::datagrams> questions;
    std::unique_ptr<http1::server> records;
    std::optional<loop::timer> report_timer;
    std::optional<loop::timer> fence_timer;
    std::optional<status::engine_report> report;
    mono_time report_asked_at{};
    mono_time reported_at{};
    bool is_reporting = false;
    bool is_reachable = false;
    unsigned report_failures = 0;
    rollout weights;
    std::string upstream;
    status::cache_view cache;
    std::optional<loop::timer> cache_timer;
    askers gateways;
    std::optional<mono_time> first_asked_at;
    /// What gateways were told last of whether to send.
    bool was_usable = false;
};

std::int64_t to_ms(microseconds span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

// The fence is the offset of a record that this life of the agent appended:
// every later life gets a higher one.
void take_fence(agent_state& self)
{
    self.store->append(fence_topic, self.settings.name,
                       [&self](platform::append_end const& end)
                       {
                           if (!end.offset)
                           {
                               self.fence_timer->start(fence_retry_pause);
                               return;
                           }
                           self.weights.fence = *end.offset + 1;
                           self.log->write(event_number::fence_taken, {},
                                           {{"fence", static_cast<std::int64_t>(
                                                          *end.offset + 1)}});
                       });
}

void take_wanted(agent_state& self, std::string const& model,
                 std::uint64_t version, mono_time now)
{
    bool const is_age_known =
        self.first_asked_at && now - *self.first_asked_at > settled_after;
    if (on_wanted(self.weights, model, version, now, is_age_known))
        self.log->write(event_number::weights_wanted, {},
                        {{"model", model},
                         {"version", static_cast<std::int64_t>(version)}});
}

void apply_records(agent_state& self, std::vector<follow::record> const& rows)
{
    for (auto const& row : rows)
    {
        if (row.value.empty() ||
            !row.key.starts_with(platform::names::weights_key_prefix))
            continue;
        reason why;
        auto const wanted = platform::decode_weights(row.value, why);
        if (!wanted)
        {
            self.log->write(event_number::record_rejected, {},
                            {{"key", row.key}, {"why", to_text(why)}});
            continue;
        }
        take_wanted(self, wanted->model, wanted->version, mono_now());
    }
}

order_answer answer_of(int status)
{
    constexpr int accepted = 202;
    constexpr int conflict = 409;
    constexpr int old_fence = 412;
    if (status == ok || status == accepted)
        return order_answer::accepted;
    if (status == conflict)
        return order_answer::conflict;
    if (status == old_fence)
        return order_answer::old_fence;
    return status == 0 ? order_answer::none : order_answer::refused;
}

void on_order_end(agent_state& self, order const& given, int status)
{
    auto const answer = answer_of(status);
    on_order_answer(self.weights, answer, mono_now());
    self.log->write(
        answer == order_answer::accepted ? event_number::order_given
                                         : event_number::order_refused,
        {},
        {{"model", given.model},
         {"version", static_cast<std::int64_t>(given.version)},
         {"fence", static_cast<std::int64_t>(given.fence)},
         {"expect", static_cast<std::int64_t>(given.orders_accepted)},
         {"status", status},
         {"answer", to_name(order_answer_names, answer)}});
    if (!self.weights.fence)
        take_fence(self);
}

void give_order(agent_state& self, order const& given)
{
    platform::weights_order order;
    order.model = given.model;
    order.version = given.version;
    order.holder = self.settings.name;
    order.fence = given.fence;
    order.orders_accepted = given.orders_accepted;
    order.upstream = self.upstream;
    auto request = platform::order_request(*self.settings.upstream, order);
    request.timeout = order_timeout;
    auto const status = std::make_shared<int>(0);
    http1::call_events events;
    events.on_head = [status](http1::message_head const& head)
    {
        *status = head.status;
    };
    events.on_body = [](std::string_view) {};
    events.on_end = [&self, given, status](http1::call_end const&)
    {
        on_order_end(self, given, *status);
    };
    self.calls->start(std::move(request), std::move(events));
}

void set_reachable(agent_state& self, bool is_reachable, reason const& why)
{
    if (self.is_reachable == is_reachable)
        return;
    self.is_reachable = is_reachable;
    self.log->write(is_reachable ? event_number::engine_reachable
                                 : event_number::engine_unreachable,
                    {}, {{"why", to_text(why)}});
}

void log_loaded(agent_state& self, status::engine_report const& next)
{
    if (!self.report)
        return;
    for (auto const& [model, version] : next.versions)
    {
        auto const before = self.report->versions.find(model);
        if (before != self.report->versions.end() && before->second != version)
            self.log->write(event_number::weights_loaded, {},
                            {{"model", model},
                             {"version", static_cast<std::int64_t>(version)}});
    }
}

void on_report(agent_state& self, std::string const& body)
{
    reason why;
    auto const report = platform::decode_report(body, why);
    if (!report)
    {
        if (++self.report_failures >= report_failures_limit)
            set_reachable(self, false, why);
        return;
    }
    self.report_failures = 0;
    log_loaded(self, *report);
    self.report = report;
    self.reported_at = self.report_asked_at;
    set_reachable(self, true, {});
    on_runs(self.weights, report->runs, mono_now());
    if (auto const due = next_order(self.weights, *report, mono_now()))
        give_order(self, *due);
}

// One call for text, whole or nothing.
void ask(agent_state& self, http1::client_request request,
         std::function<void(std::optional<std::string> const&)> done)
{
    auto const body = std::make_shared<std::string>();
    http1::call_events events;
    events.on_head = [](http1::message_head const&) {};
    events.on_body = [body](std::string_view bytes)
    {
        *body += bytes;
    };
    events.on_end = [body, done = std::move(done)](http1::call_end const& end)
    {
        done(end.is_complete ? std::optional(*body) : std::nullopt);
    };
    self.calls->start(std::move(request), std::move(events));
}

void tell_gateways(agent_state& self);

void ask_report(agent_state& self)
{
    if (self.is_reporting)
        return;
    self.is_reporting = true;
    self.report_asked_at = mono_now();
    auto request = platform::report_request(*self.settings.upstream);
    request.timeout = report_timeout;
    request.connect_timeout = report_timeout;
    ask(self, std::move(request),
        [&self](std::optional<std::string> const& body)
        {
            self.is_reporting = false;
            on_report(self, body.value_or(""));
            tell_gateways(self);
        });
}

void ask_cache_events(agent_state& self);

void list_cache(agent_state& self)
{
    auto request = platform::cache_list_request(*self.settings.upstream);
    request.timeout = cache_wait;
    ask(self, std::move(request),
        [&self](std::optional<std::string> const& body)
        {
            reason why;
            auto const list =
                platform::decode_cache_list(body.value_or(""), why);
            if (list)
                status::on_list(self.cache, *list);
            self.cache_timer->start(cache_retry_pause);
        });
}

void on_cache_events(agent_state& self, std::optional<std::string> const& body)
{
    reason why;
    auto const events = platform::decode_cache_events(body.value_or(""), why);
    if (!events)
    {
        self.cache_timer->start(cache_retry_pause);
        return;
    }
    if (status::on_events(self.cache, *events))
    {
        self.cache_timer->start(cache_pause);
        return;
    }
    self.log->write(event_number::cache_events_gap, {},
                    {{"next", static_cast<std::int64_t>(events->next)}});
    list_cache(self);
}

void ask_cache_events(agent_state& self)
{
    auto request = platform::cache_events_request(*self.settings.upstream,
                                                  self.cache.next, cache_wait);
    request.timeout = 2 * cache_wait;
    ask(self, std::move(request),
        [&self](std::optional<std::string> const& body)
        {
            on_cache_events(self, body);
        });
}

status::answer answer_to(agent_state& self, status::question const& asked,
                         mono_time now)
{
    status::answer answer;
    answer.asked_at_us = asked.asked_at_us;
    answer.agent = self.settings.name;
    answer.is_engine_reachable = self.is_reachable;
    forget_silent(self.gateways, now);
    auto hosts = hosts_by_width(self.gateways);
    if (status::hash_of(hosts) != asked.gateways_hash)
        answer.gateways = std::move(hosts);
    auto const& known = self.operator_topic->known();
    answer.operator_end = known.next;
    if (auto const age = follow::age(known, now))
        answer.proof_age_us = age->count();
    if (!self.report)
        return answer;
    auto const& report = *self.report;
    answer.is_preparing = is_preparing(self.weights, report, now);
    if (auto const due = load_due(self.weights, report, now))
        answer.load_due_us = due->count();
    answer.is_busy = report.is_busy;
    answer.versions = report.versions;
    answer.queued = report.queued;
    answer.running = report.running;
    answer.reading = report.reading;
    answer.memory_used = report.memory_used;
    answer.memory_total = report.memory_total;
    answer.cache = status::delta_since(self.cache, asked.cache);
    answer.report_age_ms =
        static_cast<std::uint32_t>(to_ms(now - self.reported_at));
    return answer;
}

// News that can't wait for the next question: whether to send at all.
void tell_gateways(agent_state& self)
{
    auto const now = mono_now();
    bool const is_usable = self.is_reachable && self.report &&
                           !self.report->is_busy &&
                           !is_preparing(self.weights, *self.report, now);
    if (is_usable == self.was_usable)
        return;
    self.was_usable = is_usable;
    status::question unasked;
    unasked.cache = {self.cache.generation, self.cache.generation};
    auto const bytes = status::to_datagram(answer_to(self, unasked, now));
    for (auto const& [name, gateway] : self.gateways)
        self.questions->send(gateway.where, bytes);
}

// Gateways read the store and tell what concerns the engine.
void take_news(agent_state& self, status::question const& asked, mono_time now)
{
    for (auto const& [model, version] : asked.wanted)
        take_wanted(self, model, version, now);
    self.upstream = asked.upstream;
    self.weights.place = asked.place;
    self.weights.engines = std::max(1U, asked.engines);
}

// A gateway that lacks a recent proof, for whatever reason, makes us read.
void refresh_for(agent_state& self, status::question const& asked,
                 mono_time now)
{
    auto const& known = self.operator_topic->known();
    auto const age = follow::age(known, now);
    bool const lacks_proof =
        (asked.proof_age_us < 0 ||
         microseconds{asked.proof_age_us} > proof_age_limit) &&
        (!age || *age > own_proof_age_limit);
    if (lacks_proof)
        self.operator_topic->refresh();
}

void on_question(agent_state& self, address const& from, std::string_view bytes)
{
    auto const asked = status::from_datagram<status::question>(bytes);
    if (!asked)
        return;
    auto const now = mono_now();
    if (!self.first_asked_at)
        self.first_asked_at = now;
    take_news(self, *asked, now);
    self.gateways[asked->gateway] = known_gateway{from, asked->link_mbps, now};
    self.questions->send(from,
                         status::to_datagram(answer_to(self, *asked, now)));
    refresh_for(self, *asked, now);
}

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
                  {{"why", "no upstream beside this agent"}});
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
