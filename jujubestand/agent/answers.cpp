#include <jujubestand/agent/answers.hpp>

#include <algorithm>
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
                                      status::status_request const& asked,
                                      mono_time now)
{
    status::status_response answer;
    answer.request_sent_at_us = asked.sent_at_us;
    answer.agent = state.settings.name;
    answer.is_engine_reachable = state.is_reachable;
    remove_stale(state.gateways, now);
    answer.gateways = hosts_if_changed(state.gateways, asked.gateways_hash);
    auto const& known = state.operator_topic->known();
    answer.operator_end = known.next;
    if (auto const age = follow::staleness(known, now))
        answer.staleness_us = age->count();
    if (!state.report)
        return answer;
    auto const& report = *state.report;
    answer.is_preparing = is_preparing(state.weights, report, now);
    if (auto const due = load_due(state.weights, report, now))
        answer.load_due_us = due->count();
    answer.is_busy = report.is_busy;
    answer.versions = report.versions;
    answer.queued = report.queued;
    answer.running = report.running;
    answer.prefilling = report.prefilling;
    answer.memory_used = report.memory_used;
    answer.memory_total = report.memory_total;
    answer.cache = status::delta_since(state.cache, asked.cache);
    answer.report_age_ms =
        static_cast<std::uint32_t>(to_ms(now - state.reported_at));
    return answer;
}

// Applies what the request says about the engine; gateways read it from the
// store.
void apply_request(agent_state& state, status::status_request const& asked,
                   mono_time now)
{
    for (auto const& [model, version] : asked.requested_versions)
        on_requested_version(state, model, version, now);
    state.upstream = asked.upstream;
    state.weights.pool_index = asked.pool_index;
    state.weights.pool_size = std::max(1U, asked.pool_size);
}

// Reads the operator's topic if neither the gateway's nor the agent's copy was
// confirmed recently.
void refresh_if_stale(agent_state& state, status::status_request const& asked,
                      mono_time now)
{
    auto const& known = state.operator_topic->known();
    auto const age = follow::staleness(known, now);
    bool const lacks_proof =
        (asked.staleness_us < 0 ||
         microseconds{asked.staleness_us} > staleness_limit) &&
        (!age || *age > own_staleness_limit);
    if (lacks_proof)
        state.operator_topic->refresh();
}

} // namespace

// Gateways must learn of such a change before their next status request.
void notify_gateways(agent_state& state)
{
    auto const now = mono_now();
    bool const is_usable = state.is_reachable && state.report &&
                           !state.report->is_busy &&
                           !is_preparing(state.weights, *state.report, now);
    if (is_usable == state.was_usable)
        return;
    state.was_usable = is_usable;
    status::status_request unasked;
    unasked.cache = {state.cache.generation, state.cache.generation};
    auto const bytes = status::to_datagram(make_response(state, unasked, now));
    for (auto const& [name, gateway] : state.gateways)
        state.status_socket->send(gateway.endpoint, bytes);
}

void on_status_request(agent_state& state, address const& from,
                       std::string_view bytes)
{
    auto const asked = status::from_datagram<status::status_request>(bytes);
    if (!asked)
        return;
    auto const now = mono_now();
    if (!state.first_request_at)
        state.first_request_at = now;
    apply_request(state, *asked, now);
    state.gateways[asked->gateway] = gateway_entry{from, asked->link_mbps, now};
    state.status_socket->send(
        from, status::to_datagram(make_response(state, *asked, now)));
    refresh_if_stale(state, *asked, now);
}

} // namespace jujubestand::agent
