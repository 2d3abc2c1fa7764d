#include <jujubestand/agent/agent.hpp>

#include <algorithm>
#include <csignal>
#include <event2/event.h>
#include <jujubestand/agent/answers.hpp>
#include <jujubestand/agent/engine.hpp>
#include <jujubestand/agent/weights.hpp>
#include <jujubestand/loop/signals.hpp>
#include <jujubestand/node/client_limits.hpp>
#include <jujubestand/node/memory_limits.hpp>
#include <platform/documents.hpp>
#include <platform/names.hpp>
#include <random>
#include <unistd.h>

namespace jujubestand::agent
{

namespace
{

constexpr std::chrono::milliseconds report_interval{60};
/// Part of the time limit for new weights that remains after the wait for
/// long calls, for ending the calls still running and for the load itself.
constexpr std::chrono::milliseconds load_reserve{2'600};
constexpr std::chrono::milliseconds long_call_wait_limit_min{1'000};
constexpr int ok = 200;

void create_components(agent_state& state)
{
    auto const kept = node::memory_limits_of(state.settings.memory_bytes);
    state.http_client = std::make_unique<http1::client>(state.base);
    state.http_client->set_kept_limit(kept.upstream_answers);
    state.store = std::make_unique<platform::store>(*state.http_client,
                                                    state.settings.store);
    follow::follower_events events;
    events.on_changes = [&state](std::vector<follow::record> const& rows,
                                 std::optional<mono_time>)
    {
        apply_records(state, rows);
    };
    events.on_unreachable = [&state](reason const& why)
    {
        state.log->write(event_number::log_unreachable, {},
                         {{"topic", "operator"}, {"why", to_text(why)}});
    };
    events.on_expired = [&state](reason const& why)
    {
        state.log->write(event_number::log_gap, {},
                         {{"topic", "operator"}, {"why", to_text(why)}});
    };
    events.on_reachable = [&state]
    {
        state.log->write(event_number::log_reachable, {},
                         {{"topic", "operator"}});
    };
    events.on_returned = [&state](std::uint64_t from, std::uint64_t to)
    {
        state.log->write(event_number::log_returned, {},
                         {{"topic", "operator"},
                          {"from", static_cast<std::int64_t>(from)},
                          {"to", static_cast<std::int64_t>(to)}});
    };
    state.operator_topic = std::make_unique<follow::follower>(
        state.base, *state.store,
        follow::read_options{std::string(platform::names::operator_topic),
                             std::chrono::milliseconds{0},
                             std::chrono::milliseconds{0},
                             platform::operator_record_version, true},
        std::move(events));
    state.status_socket = std::make_unique<loop::datagrams>(
        state.base,
        [&state](address const& sender, std::string_view bytes)
        {
            on_status_request(state, sender, bytes);
        });
    http1::server_events served;
    served.on_request =
        [&state](http1::exchange_id exchange, http1::server_request const&)
    {
        state.records_server->respond(exchange, ok, {},
                                      status::to_bytes(follow::changes_since(
                                          state.operator_topic->known(), 0)));
    };
    served.on_gone = [](http1::exchange_id) {};
    served.on_limited = node::limited_logger(*state.log, "internal");
    state.records_server = std::make_unique<http1::server>(state.base, served);
    state.records_server->set_unread_limit(kept.unread_records);
    state.records_server->set_request_limit(kept.internal_requests);
    state.records_server->set_limits(node::internal_request_limits());
    state.records_server->set_connection_limit(
        node::connection_limits_of(node::descriptor_limit(state.settings),
                                   state.settings.memory_bytes)
            .internal);
    state.report_timer.emplace(state.base,
                               [&state]
                               {
                                   request_report(state);
                               });
    state.cache_timer.emplace(state.base,
                              [&state]
                              {
                                  request_cache_events(state);
                              });
    state.fence_timer.emplace(state.base,
                              [&state]
                              {
                                  acquire_fence(state);
                              });
}

} // namespace

process::exit_code run(node::settings settings)
{
    auto* const base = event_base_new();
    logs::log log(STDOUT_FILENO);
    agent_state state;
    state.base = base;
    state.log = &log;
    state.settings = std::move(settings);
    if (!state.settings.upstream)
    {
        log.write(event_number::settings_refused, {},
                  {{"why", "agent settings name no upstream"}});
        return process::exit_code::bad_settings;
    }
    state.weights.limits.long_call_wait_limit =
        std::max(long_call_wait_limit_min,
                 state.settings.limits.weights_lag - load_reserve);
    state.weights.limits.other_holder_wait = state.settings.limits.order_lease;
    create_components(state);
    reason why;
    address const own{state.settings.ip, state.settings.internal_port};
    if (!state.status_socket->bind(own, why) ||
        !state.records_server->listen(own, why))
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
              {{"role", "agent"}, {"name", state.settings.name}});
    state.report_timer->start_every(report_interval);
    std::random_device device;
    std::uint64_t const high = device();
    status::begin(state.cache,
                  status::first_generation((high << 32U) | device()));
    request_cache_events(state);
    acquire_fence(state);
    event_base_dispatch(base);
    log.write(event_number::drain_finished, {}, {});
    return process::exit_code::stopped;
}

} // namespace jujubestand::agent
