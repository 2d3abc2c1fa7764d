#include <jujubestand/gateway/engine_orders.hpp>

#include <algorithm>
#include <jujubestand/agent/fence.hpp>
#include <jujubestand/dispatch/standing.hpp>
#include <jujubestand/dispatch/upstreams.hpp>
#include <jujubestand/gateway/agents.hpp>
#include <jujubestand/gateway/call_limits.hpp>
#include <jujubestand/gateway/migration.hpp>
#include <jujubestand/gateway/state.hpp>
#include <jujubestand/http1/text_call.hpp>
#include <jujubestand/placement/rendezvous.hpp>
#include <jujubestand/status/messages.hpp>
#include <jujubestand/status/pacing.hpp>
#include <platform/calls.hpp>
#include <platform/documents.hpp>
#include <platform/names.hpp>

namespace jujubestand::gateway
{

namespace
{

constexpr char const* lease_topic = "jujubestand.order-lease";

/// An agent that has not answered for so long does not serve its engine. One
/// that starts again is back sooner.
constexpr std::chrono::milliseconds agent_silence{3'000};
/// Queries that are lost before an agent counts as silent.
constexpr int missed_queries = 3;

/// Gateways try to take the lease within this time, each after its own delay.
constexpr std::chrono::milliseconds claim_spread{1'000};
/// An engine is asked for its report from so long before its load is due.
constexpr std::chrono::milliseconds report_lead{300};
constexpr std::chrono::milliseconds report_interval{150};
constexpr std::chrono::milliseconds report_timeout{600};
constexpr std::chrono::milliseconds order_timeout{1'000};

std::chrono::milliseconds silence_of(gateway_state const& state)
{
    return std::max(agent_silence,
                    missed_queries * (state.dispatch.idle_report_delay +
                                      status::query_interval));
}

// A gateway that has just started, or has stood still, may have missed answers.
bool has_run_for(gateway_state const& state, std::chrono::milliseconds span,
                 mono_time now)
{
    return now - std::max(state.started_at, state.dispatch.running_since) >=
           span;
}

void set_delay(gateway_state& state)
{
    state.orders.claim.delay = std::chrono::milliseconds{
        placement::name_hash_of(state.settings.ip) %
        static_cast<std::uint64_t>(claim_spread.count())};
}

void request_fence(gateway_state& state)
{
    auto& orders = state.orders;
    if (orders.fence || orders.is_fence_requested)
        return;
    orders.is_fence_requested = true;
    agent::request_fence(
        *state.store, state.settings.name,
        [&state](std::optional<std::uint64_t> fence)
        {
            state.orders.is_fence_requested = false;
            state.orders.fence = fence;
            if (fence)
                state.log->write(
                    event_number::fence_taken, {},
                    {{"fence", static_cast<std::int64_t>(*fence)}});
        });
}

void on_lease_append(gateway_state& state, platform::append_end const& end)
{
    auto const now = mono_now();
    bool const was_held = state.orders.lease.is_held;
    bool const is_taken = on_append_end(
        state.orders.lease, {end.offset, end.other_end, end.era}, now);
    if (is_taken)
    {
        state.orders.lease_taken_at = now;
        state.orders.fence.reset();
        state.log->write(event_number::lease_taken, {},
                         {{"for", "engines without agents"}});
    }
    if (was_held && !state.orders.lease.is_held)
        state.log->write(event_number::lease_lost, {},
                         {{"why", "another gateway has taken it"}});
}

void review_lease(gateway_state& state, mono_time now)
{
    auto& orders = state.orders;
    auto const offset = next_append(
        orders.lease, wants_lease(orders.claim, orders.lease, now), now);
    if (offset)
        state.store->append_at(lease_topic, state.settings.name, *offset,
                               [&state](platform::append_end const& end)
                               {
                                   on_lease_append(state, end);
                               });
}

dispatch::upstream* find_engine(gateway_state& state,
                                dispatch::upstream_key key)
{
    auto const found = state.dispatch.upstreams.find(key);
    return found == state.dispatch.upstreams.end() ? nullptr : &found->second;
}

// Whether the engine takes a request of this gateway that is not a call.
bool may_ask(dispatch::upstream const& engine, mono_time now)
{
    return engine.paused_until <= now &&
           (!limits::applies(engine.limit, now) ||
            limits::has_permit(engine.permits, now));
}

// Orders and requests for reports have no id, so that an answer with one is a
// late answer to a call.
bool is_of_call(http1::message_head const& head)
{
    return !platform::request_id_of(head).empty();
}

void apply_head(gateway_state& state, dispatch::upstream_key key,
                http1::message_head const& head)
{
    auto const answer = platform::read_answer(head);
    if (answer.is_leaving)
        dispatch::on_leaving_stated(state.dispatch, key);
    if (answer.pause.duration)
        dispatch::on_pause_stated(state.dispatch, key, *answer.pause.duration,
                                  wall_now(), mono_now());
    if (answer.limit.statement != traffic::limit_statement::none)
        on_stated_limit(state, key, answer.limit);
}

void on_order_end(gateway_state& state, dispatch::upstream_key key,
                  agent::order const& order, int status)
{
    auto const answer = agent::order_response_of(status);
    auto const ordered = state.orders.engines.find(key);
    if (ordered != state.orders.engines.end())
        agent::on_order_response(ordered->second.weights, answer, mono_now());
    if (answer == agent::order_response::stale_fence)
        state.orders.fence.reset();
    auto const* const engine = find_engine(state, key);
    state.log->write(
        answer == agent::order_response::accepted ? event_number::order_given
                                                  : event_number::order_refused,
        {},
        {{"upstream", engine == nullptr ? "gone" : engine->record.id},
         {"model", order.model},
         {"version", static_cast<std::int64_t>(order.version)},
         {"fence", static_cast<std::int64_t>(order.fence)},
         {"expect", static_cast<std::int64_t>(order.orders_accepted)},
         {"status", status},
         {"answer", to_name(agent::order_response_names, answer)}});
}

void send_order(gateway_state& state, dispatch::upstream& engine,
                agent::order const& order)
{
    auto const key = engine.key;
    platform::weights_order sent;
    sent.model = order.model;
    sent.version = order.version;
    sent.holder = state.settings.name;
    sent.fence = order.fence;
    sent.orders_accepted = order.orders_accepted;
    sent.upstream = engine.record.id;
    auto request = platform::order_request(engine.record.where, sent);
    request.timeout = order_timeout;
    request.connect_timeout = order_timeout;
    dispatch::count_send(state.dispatch, engine, mono_now());
    auto const status = std::make_shared<int>(0);
    http1::call_events events;
    events.is_foreign = is_of_call;
    events.on_head = [&state, key, status](http1::message_head const& head)
    {
        *status = head.status;
        apply_head(state, key, head);
    };
    events.on_body = [](std::string_view) {};
    events.on_end = [&state, key, order, status](http1::call_end const&)
    {
        on_order_end(state, key, order, *status);
    };
    state.upstream_client->start(std::move(request), std::move(events));
}

// A report of the orderer stands for that of an agent: an engine that is about
// to load is sent no calls for as long as the report is fresh.
void apply_engine_state(gateway_state& state, dispatch::upstream_key key,
                        status::engine_notice const& notice, mono_time now)
{
    dispatch::engine_load load;
    load.reported_at = now;
    load.is_preparing = notice.is_preparing;
    load.report.versions = notice.versions;
    load.report.started_at_ms = notice.upstream_incarnation;
    bool const is_news =
        notice.is_preparing && !(find_engine(state, key)->load &&
                                 find_engine(state, key)->load->is_preparing);
    dispatch::on_load_report(state.dispatch, key, load);
    if (is_news)
        migrate_streams(state, key);
}

// Tells the other gateways that an engine is about to load, or has loaded.
void announce_engine(gateway_state& state, ordered_engine& ordered,
                     dispatch::upstream const& engine,
                     status::engine_report const& report, mono_time now)
{
    bool const is_preparing =
        report.is_busy || agent::is_preparing(ordered.weights, report, now);
    if (is_preparing == ordered.is_announced)
        return;
    ordered.is_announced = is_preparing;
    status::engine_notice notice;
    notice.upstream = engine.record.id;
    notice.upstream_incarnation = engine.record.born_ms;
    notice.is_preparing = is_preparing;
    notice.versions = report.versions;
    auto const datagram = status::to_datagram(notice);
    for (auto const& host : other_gateways(state, now))
        state.datagrams->send(address{host, state.settings.internal_port},
                              datagram);
    apply_engine_state(state, engine.key, notice, now);
}

void on_report(gateway_state& state, dispatch::upstream_key key,
               std::optional<std::string> const& body)
{
    auto const ordered = state.orders.engines.find(key);
    if (ordered == state.orders.engines.end())
        return;
    ordered->second.is_report_in_flight = false;
    dispatch::upstream* const engine = find_engine(state, key);
    reason why;
    auto const report = platform::decode_report(body.value_or(""), why);
    if (!report || engine == nullptr)
        return;
    for (auto const& [model, version] : report->versions)
        dispatch::on_weights_seen(state.dispatch, key, model, version);
    auto const now = mono_now();
    auto& weights = ordered->second.weights;
    agent::update_running_calls(weights, report->running_ids, now);
    weights.fence = state.orders.fence;
    if (!is_valid(state.orders.lease, now) || !may_ask(*engine, now))
        return;
    auto const due = agent::next_order(weights, *report, now);
    announce_engine(state, ordered->second, *engine, *report, now);
    if (due)
        send_order(state, *engine, *due);
}

void request_report(gateway_state& state, ordered_engine& ordered,
                    dispatch::upstream const& engine, mono_time now)
{
    if (ordered.is_report_in_flight || now < ordered.report_due_at ||
        !may_ask(engine, now))
        return;
    ordered.is_report_in_flight = true;
    ordered.report_due_at = now + report_interval;
    auto request = platform::report_request(engine.record.where);
    request.timeout = report_timeout;
    request.connect_timeout = report_timeout;
    auto const key = engine.key;
    http1::ask_for_text(
        *state.upstream_client, std::move(request),
        [&state, key](std::optional<std::string> const& body)
        {
            on_report(state, key, body);
        },
        [&state, key](http1::message_head const& head)
        {
            apply_head(state, key, head);
        },
        is_of_call);
}

// Weights that were requested before this gateway held the lease count as
// requested then, so that the engines still load group by group.
void record_requests(gateway_state const& state, ordered_engine& ordered,
                     dispatch::upstream const& engine)
{
    for (auto const& [model, version] : engine.versions)
    {
        auto const found = state.dispatch.weights.find(model);
        if (found == state.dispatch.weights.end())
            continue;
        auto const& wanted = found->second.back();
        agent::record_request(
            ordered.weights, model, wanted.version,
            std::max(wanted.since, state.orders.lease_taken_at));
    }
}

void review_engine(gateway_state& state, unattended_engine const& found,
                   mono_time now)
{
    dispatch::upstream const& engine = state.dispatch.upstreams.at(found.key);
    auto& ordered = state.orders.engines[found.key];
    ordered.weights.fence = state.orders.fence;
    ordered.weights.pool_index = found.pool_index;
    ordered.weights.pool_size = found.pool_size;
    record_requests(state, ordered, engine);
    status::engine_report last;
    last.versions = engine.versions;
    auto const due = agent::load_due(ordered.weights, last, now);
    if (due && *due <= report_lead)
        request_report(state, ordered, engine, now);
}

// Forgets the engines that need no order, or whose agents are back.
void remove_others(gateway_state& state,
                   std::vector<unattended_engine> const& found)
{
    std::erase_if(state.orders.engines,
                  [&](auto const& row)
                  {
                      return std::none_of(found.begin(), found.end(),
                                          [&](unattended_engine const& engine)
                                          {
                                              return engine.key == row.first &&
                                                     engine.lacks_weights;
                                          });
                  });
}

} // namespace

void on_engine_notice(gateway_state& state, address const& sender,
                      std::string_view bytes)
{
    auto const notice = status::from_datagram<status::engine_notice>(bytes);
    if (!notice)
        return;
    auto const now = mono_now();
    auto const known = known_gateways(state, now);
    auto const found = state.dispatch.keys_by_id.find(notice->upstream);
    bool const is_from_gateway =
        std::find(known.begin(), known.end(), sender.host) != known.end();
    if (!is_from_gateway || found == state.dispatch.keys_by_id.end())
        return;
    auto const& engine = state.dispatch.upstreams.at(found->second);
    if (engine.record.born_ms == notice->upstream_incarnation)
        apply_engine_state(state, found->second, *notice, now);
}

void review_engine_orders(gateway_state& state)
{
    auto const now = mono_now();
    auto const silence = silence_of(state);
    auto& orders = state.orders;
    std::vector<unattended_engine> found;
    if (has_run_for(state, silence, now) && !state.is_draining)
        found =
            find_unattended(state.dispatch, state.status_queries, silence, now);
    set_delay(state);
    update_claim(orders.claim, found, now);
    review_lease(state, now);
    remove_others(state, found);
    if (!is_valid(orders.lease, now))
    {
        orders.engines.clear();
        return;
    }
    request_fence(state);
    for (auto const& engine : found)
    {
        if (engine.lacks_weights)
            review_engine(state, engine, now);
    }
}

} // namespace jujubestand::gateway
