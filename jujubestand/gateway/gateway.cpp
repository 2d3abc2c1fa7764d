#include <jujubestand/gateway/gateway.hpp>

#include <csignal>
#include <event2/event.h>
#include <jujubestand/gateway/agents.hpp>
#include <jujubestand/gateway/apply_records.hpp>
#include <jujubestand/gateway/call_limits.hpp>
#include <jujubestand/gateway/calls.hpp>
#include <jujubestand/gateway/crashes.hpp>
#include <jujubestand/gateway/directory.hpp>
#include <jujubestand/gateway/engine_orders.hpp>
#include <jujubestand/gateway/learned_speeds.hpp>
#include <jujubestand/gateway/migration.hpp>
#include <jujubestand/gateway/origin_records.hpp>
#include <jujubestand/gateway/peers.hpp>
#include <jujubestand/gateway/prompts.hpp>
#include <jujubestand/gateway/quarantine_records.hpp>
#include <jujubestand/gateway/resumed_streams.hpp>
#include <jujubestand/gateway/retries.hpp>
#include <jujubestand/gateway/stop.hpp>
#include <jujubestand/gateway/team_quotas.hpp>
#include <jujubestand/loop/signals.hpp>
#include <jujubestand/node/client_limits.hpp>
#include <jujubestand/node/memory_limits.hpp>
#include <platform/documents.hpp>
#include <platform/names.hpp>
#include <unistd.h>

namespace jujubestand::gateway
{

namespace
{

constexpr char const* upstreams_name = "upstreams";
constexpr char const* quarantine_name = "quarantine";

constexpr std::chrono::milliseconds upstream_pause{500};

void log_store(gateway_state& state, char const* topic, reason const* why)
{
    if (why != nullptr)
        state.log->write(event_number::log_unreachable, {},
                         {{"topic", topic}, {"why", to_text(*why)}});
    else
        state.log->write(event_number::log_reachable, {}, {{"topic", topic}});
}

// The store has lost what was written since its copy.
void on_store_return(gateway_state& state, std::string_view topic)
{
    // Upstreams need as much time to register again as after an outage.
    if (topic == upstreams_name)
        follow::on_store_return(state.lapses, mono_now());
    if (topic == quarantine_name)
        write_quarantine_records_again(state);
    state.software.stored.clear();
    write_origins_again(state.origin_writes);
}

follow::follower_events follower_events_of(
    gateway_state& state, char const* topic,
    void (*apply)(gateway_state&, std::vector<follow::record> const&,
                  std::optional<mono_time>))
{
    follow::follower_events events;
    events.on_changes =
        [&state, apply](std::vector<follow::record> const& rows,
                        std::optional<mono_time> confirmed_before)
    {
        apply(state, rows, confirmed_before);
        review_waiting(state);
    };
    events.on_unreachable = [&state, topic](reason const& why)
    {
        log_store(state, topic, &why);
    };
    events.on_expired = [&state, topic](reason const& why)
    {
        // Upstreams of a version may have come and left in between.
        if (std::string_view(topic) == upstreams_name)
            read_software_history_again(state);
        state.log->write(event_number::log_gap, {},
                         {{"topic", topic}, {"why", to_text(why)}});
    };
    events.on_reachable = [&state, topic]
    {
        log_store(state, topic, nullptr);
    };
    events.on_returned = [&state, topic](std::uint64_t from, std::uint64_t to)
    {
        on_store_return(state, topic);
        state.log->write(event_number::log_returned, {},
                         {{"topic", topic},
                          {"from", static_cast<std::int64_t>(from)},
                          {"to", static_cast<std::int64_t>(to)}});
    };
    return events;
}

void make_clients(gateway_state& state)
{
    state.internal_client = std::make_unique<http1::client>(state.base);
    state.upstream_client = std::make_unique<http1::client>(state.base);
    auto const kept = node::memory_limits_of(state.settings.memory_bytes);
    state.internal_client->set_kept_limit(kept.internal_answers);
    state.upstream_client->set_kept_limit(kept.upstream_answers);
    state.store = std::make_unique<platform::store>(*state.internal_client,
                                                    state.settings.store);
    state.operator_topic = std::make_unique<follow::follower>(
        state.base, *state.store,
        follow::read_options{std::string(platform::names::operator_topic),
                             operator_poll_timeout,
                             std::chrono::milliseconds{0},
                             platform::operator_record_version, true},
        follower_events_of(state, "operator", apply_operator_records));
    state.upstream_topic = std::make_unique<follow::follower>(
        state.base, *state.store,
        follow::read_options{std::string(platform::names::upstream_topic),
                             std::chrono::milliseconds{0}, upstream_pause,
                             platform::upstream_record_version},
        follower_events_of(state, upstreams_name,
                           [](gateway_state& shared,
                              std::vector<follow::record> const& changes,
                              std::optional<mono_time>)
                           {
                               apply_upstream_records(shared, changes);
                               // Agents tell who the other gateways are.
                               if (shared.gateway_hosts.empty())
                                   query_agents(shared);
                           }));
    state.quarantine_topic = std::make_unique<follow::follower>(
        state.base, *state.store,
        follow::read_options{std::string(platform::names::quarantine_topic),
                             quarantine_poll_timeout, quarantine_read_pause},
        follower_events_of(state, quarantine_name,
                           [](gateway_state& shared,
                              std::vector<follow::record> const& changes,
                              std::optional<mono_time>)
                           {
                               apply_quarantine_records(shared, changes);
                           }));
    state.quarantine_topic->set_active(true);
    state.datagrams = std::make_unique<loop::datagrams>(
        state.base,
        [&state](address const& sender, std::string_view bytes)
        {
            on_agent_datagram(state, sender, bytes);
            on_engine_notice(state, sender, bytes);
            on_peer_datagram(state, sender, bytes);
            on_origin_datagram(state, sender, bytes);
            on_crash_datagram(state, sender, bytes);
            on_limit_datagram(state, sender, bytes);
            on_quota_datagram(state, sender, bytes);
        });
}

void make_servers(gateway_state& state)
{
    http1::server_events events;
    events.on_request =
        [&state](http1::exchange_id exchange, http1::server_request request)
    {
        on_request(state, exchange, std::move(request));
    };
    events.on_gone = [&state](http1::exchange_id exchange)
    {
        on_caller_disconnected(state, exchange);
    };
    events.on_no_room =
        [&state](http1::exchange_id exchange, http1::message_head const& head)
    {
        on_no_room(state, exchange, head);
    };
    events.on_limited = node::limited_logger(*state.log, "callers");
    state.caller_server = std::make_unique<http1::server>(state.base, events);
    http1::server_events ready;
    ready.on_request =
        [&state](http1::exchange_id exchange, http1::server_request const&)
    {
        constexpr int ok = 200;
        constexpr int unavailable = 503;
        state.readiness_server->respond(
            exchange, is_ready(state, mono_now()) ? ok : unavailable, {}, {});
    };
    ready.on_gone = [](http1::exchange_id) {};
    ready.on_limited = node::limited_logger(*state.log, "readiness");
    state.readiness_server = std::make_unique<http1::server>(state.base, ready);
    http1::server_events records;
    records.on_request = [&state](http1::exchange_id exchange,
                                  http1::server_request const& request)
    {
        on_records_request(state, exchange, request);
    };
    records.on_gone = [](http1::exchange_id) {};
    records.on_limited = node::limited_logger(*state.log, "internal");
    state.records_server = std::make_unique<http1::server>(state.base, records);
    auto const kept = node::memory_limits_of(state.settings.memory_bytes);
    state.caller_server->set_request_limit(kept.caller_requests);
    state.caller_server->set_unread_limit(kept.unread_by_callers);
    state.readiness_server->set_request_limit(kept.internal_requests);
    state.readiness_server->set_unread_limit(kept.internal_requests);
    state.records_server->set_request_limit(kept.internal_requests);
    state.records_server->set_unread_limit(kept.unread_records);
    state.records_server->set_limits(node::internal_request_limits());
    state.readiness_server->set_limits(node::internal_request_limits());
    auto const open = node::connection_limits_of(
        node::descriptor_limit(state.settings), state.settings.memory_bytes);
    state.caller_server->set_connection_limit(open.callers);
    state.readiness_server->set_connection_limit(open.readiness);
    state.records_server->set_connection_limit(open.internal);
}

bool listen(gateway_state& state, reason& why)
{
    auto const& settings = state.settings;
    if (!settings.callers)
    {
        why = reason{
            reason_code::settings_invalid, "no listen address for callers", {}};
        return false;
    }
    address const own{settings.ip, settings.internal_port};
    return state.caller_server->listen(*settings.callers, why) &&
           (!settings.readiness ||
            state.readiness_server->listen(*settings.readiness, why)) &&
           state.datagrams->bind(own, why) &&
           state.records_server->listen(own, why);
}

// A tick that comes so late shows that the process has stood still.
void note_pause(gateway_state& state, mono_time now)
{
    constexpr auto late_tick = 4 * tick_interval;
    if (now - state.ticked_at > late_tick)
        state.dispatch.running_since = now;
    state.ticked_at = now;
}

// Runs on a timer, since record age, expiries and deadlines change without any
// event.
void on_tick(gateway_state& state)
{
    note_pause(state, mono_now());
    follow::on_copy_age(
        state.lapses, state.upstream_topic->known().current_as_of, mono_now());
    remove_lapsed_upstreams(state);
    withdraw_overdue_calls(state);
    move_stranded_calls(state);
    review_retry_sharers(state, mono_now());
    review_suspended_calls(state);
    expire_origin_queries(state);
    review_origin_writes(state);
    review_crashes(state);
    review_limits(state);
    report_wasted_work(state);
    report_unreadable_prompts(state, mono_now());
    review_team_quotas(state);
    review_learned_speeds(state);
    review_software_history(state);
    query_agents(state);
    query_peers(state);
    review_engine_orders(state);
    review_directory(state);
}

void start_timers(gateway_state& state)
{
    state.tick_timer.emplace(state.base,
                             [&state]
                             {
                                 on_tick(state);
                             });
    state.tick_timer->start_every(tick_interval);
    make_review_timer(state);
    state.stop_timer.emplace(state.base,
                             [&state]
                             {
                                 check_stop(state);
                             });
}

} // namespace

process::exit_code run(node::settings settings)
{
    auto* const base = event_base_new();
    logs::log log(STDOUT_FILENO);
    gateway_state state;
    state.base = base;
    state.started_at = mono_now();
    state.origins.lacks_history = true;
    hold_calls(state);
    state.log = &log;
    state.settings = std::move(settings);
    state.quotas.exchange =
        limits::begin_exchange(state.settings.ip, state.started_at);
    state.dispatch.data_center = state.settings.data_center;
    constexpr std::chrono::milliseconds weights_margin{1'200};
    constexpr std::chrono::milliseconds begin_margin{300};
    static_assert(begin_margin > 2 * tick_interval);
    state.dispatch.limits.weights_lag =
        state.settings.limits.weights_lag - weights_margin;
    state.dispatch.limits.weights_begin_limit =
        state.settings.limits.weights_lag - begin_margin;
    state.orders.lease.duration = state.settings.limits.order_lease;
    state.random_engine.seed(std::random_device{}());
    make_clients(state);
    make_servers(state);
    reason why;
    if (!listen(state, why))
    {
        log.write(event_number::settings_refused, {}, {{"why", to_text(why)}});
        return process::exit_code::failed;
    }
    loop::signals const signals(
        base, {{SIGTERM,
                [&state]
                {
                    begin_stop(state);
                }},
               {SIGHUP, [&log]
                {
                    log.write(event_number::settings_reloaded, {}, {});
                }}});
    start_timers(state);
    log.write(event_number::process_started, {},
              {{"role", "gateway"}, {"name", state.settings.name}});
    query_peers(state);
    review_software_history(state);
    event_base_dispatch(base);
    auto const cut =
        static_cast<std::int64_t>(state.calls_cut + state.active_calls.size());
    log.write(cut == 0 ? event_number::drain_finished : event_number::drain_cut,
              {}, {{"open_calls", cut}});
    return cut == 0 ? process::exit_code::stopped
                    : process::exit_code::drain_cut;
}

} // namespace jujubestand::gateway
