#include <jujubestand/agent/answers.hpp>

#include <algorithm>
#include <jujubestand/agent/call_limit.hpp>
#include <jujubestand/agent/origins.hpp>
#include <jujubestand/agent/pauses.hpp>
#include <jujubestand/agent/weights.hpp>

namespace jujubestand::agent
{

namespace
{

/// A gateway whose copy of the operator's topic was last confirmed longer ago
/// than this needs a newer confirmation.
constexpr std::chrono::milliseconds staleness_limit{2'500};
/// The agent reads the topic for such a gateway only if its own copy was
/// confirmed longer ago than this.
constexpr std::chrono::milliseconds own_staleness_limit{800};

std::int64_t to_ms(microseconds span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

status::status_response make_response(agent_state& state,
                                      status::status_request const& request,
                                      mono_time now)
{
    status::status_response response;
    response.request_sent_at_us = request.sent_at_us;
    response.agent = state.settings.name;
    response.is_engine_reachable = state.is_reachable;
    response.limit = report_limit(state);
    review_gateways(state.gateways, state.weights.pool_size, now);
    response.gateways = hosts_if_changed(state.gateways, request.gateways_hash);
    auto const& known = state.operator_topic->known();
    response.operator_end = known.next;
    response.operator_era = known.era;
    if (auto const age = follow::staleness(known, now))
        response.staleness_us = age->count();
    if (!state.report)
        return response;
    auto const& report = *state.report;
    response.is_preparing = is_preparing(state.weights, report, now);
    if (auto const due = load_due(state.weights, report, now))
        response.load_due_us = due->count();
    response.engine_started_at_ms = report.started_at_ms;
    response.is_busy = report.is_busy;
    response.versions = report.versions;
    response.queued = report.queued;
    response.running = report.running;
    response.prefilling = report.prefilling;
    response.memory_used = report.memory_used;
    response.memory_total = report.memory_total;
    response.cache = status::delta_since(state.cache, request.cache);
    response.report_age_ms =
        static_cast<std::uint32_t>(to_ms(now - state.reported_at));
    return response;
}

// Applies the data about the engine in a request; gateways read them from the
// store.
void apply_request(agent_state& state, status::status_request const& request,
                   mono_time now)
{
    for (auto const& [model, version] : request.requested_versions)
        on_requested_version(state, model, version, now);
    if (state.upstream != request.upstream ||
        state.upstream_incarnation != request.upstream_incarnation)
        forget_limit(state);
    end_pause_of_process_before(state, request.upstream_incarnation);
    state.upstream = request.upstream;
    state.upstream_incarnation = request.upstream_incarnation;
    state.weights.pool_index = request.pool_index;
    state.weights.pool_size = std::max(1U, request.pool_size);
}

// Reads the operator's topic if neither the gateway's nor the agent's copy was
// confirmed recently.
void refresh_if_stale(agent_state& state, status::status_request const& request,
                      mono_time now)
{
    auto const& known = state.operator_topic->known();
    auto const age = follow::staleness(known, now);
    bool const needs_refresh =
        (request.staleness_us < 0 ||
         microseconds{request.staleness_us} > staleness_limit) &&
        (!age || *age > own_staleness_limit);
    if (needs_refresh)
        state.operator_topic->refresh();
}

} // namespace

// Gateways need such a change sooner than their next status request brings it.
void notify_gateways(agent_state& state)
{
    auto const now = mono_now();
    bool const is_usable = state.is_reachable && state.report &&
                           !state.report->is_busy &&
                           !is_preparing(state.weights, *state.report, now);
    bool const is_limit_news = std::exchange(state.is_limit_news, false);
    if (is_usable == state.was_usable && !is_limit_news)
        return;
    state.was_usable = is_usable;
    status::status_request empty_request;
    empty_request.cache = {state.cache.generation, state.cache.generation};
    auto const bytes =
        status::to_datagram(make_response(state, empty_request, now));
    for (auto const& [name, gateway] : state.gateways.gateways)
        state.status_socket->send(gateway.endpoint, bytes);
}

void on_status_request(agent_state& state, address const& sender,
                       std::string_view bytes)
{
    auto const request = status::from_datagram<status::status_request>(bytes);
    if (!request)
    {
        on_permit_datagram(state, bytes);
        on_origin_datagram(state, sender, bytes);
        return;
    }
    auto const now = mono_now();
    if (!state.first_request_at)
        state.first_request_at = now;
    apply_request(state, *request, now);
    record_gateway(state.gateways, request->gateway,
                   {sender, request->link_mbps, now});
    state.status_socket->send(
        sender, status::to_datagram(make_response(state, *request, now)));
    refresh_if_stale(state, *request, now);
}

} // namespace jujubestand::agent
