#include <jujubestand/agent/call_limit.hpp>

#include <jujubestand/limits/permit_issuer.hpp>
#include <platform/calls.hpp>

namespace jujubestand::agent
{

namespace
{

limits::limit_record record_of(agent_state const& state)
{
    limits::limit_record record;
    record.upstream = upstream_id{state.upstream};
    record.incarnation = incarnation_id{state.upstream_incarnation};
    record.sent_at_ms = wall_now().time_since_epoch().count();
    record.is_named = !state.limit->ended_at;
    record.calls_per_second = state.limit->calls_per_second;
    record.stated_at_ms = state.limit->stated_at.time_since_epoch().count();
    return record;
}

void log_change(agent_state& state, limits::limit_change change)
{
    traffic::stated_limit shown;
    if (!state.limit->ended_at)
        shown = {traffic::limit_statement::named,
                 state.limit->calls_per_second};
    state.log->write(event_number::limit_changed, {},
                     {{"upstream", state.upstream},
                      {"change", to_name(limits::limit_change_names, change)},
                      {"per_second", to_text(shown)},
                      {"source", "answer"}});
}

} // namespace

// Answers of one kind may state the limit and those of another kind not: only
// the kind that named it can end it.
void on_stated_limit(agent_state& state, limit_source source,
                     http1::message_head const& head)
{
    auto const stated = platform::read_limit(head.fields);
    bool const is_named = stated.statement == traffic::limit_statement::named;
    bool const is_end = stated.statement == traffic::limit_statement::none &&
                        state.limited_by == source;
    if (!is_named && !is_end)
        return;
    auto const now = mono_now();
    limits::statement own;
    if (is_named)
    {
        own.calls_per_second = stated.calls_per_second;
        state.limited_by = source;
    }
    own.stated_at = wall_now();
    bool const was_limited = limits::applies(state.limit, now);
    auto const change = limits::on_own_statement(state.limit, own, now);
    if (!was_limited && limits::applies(state.limit, now))
        state.order_permits =
            limits::begin_holding(state.order_permits, 0, 1, now);
    if (change == limits::limit_change::none)
        return;
    state.is_limit_news = true;
    log_change(state, change);
}

void forget_limit(agent_state& state)
{
    state.limit.reset();
    state.limited_by.reset();
}

// Without a gateway that answers, nobody sends calls to the engine either, or
// knows what this agent sends. The limit is then kept among its own orders.
bool has_order_permit(agent_state const& state, mono_time now)
{
    if (!limits::applies(state.limit, now) ||
        limits::has_permit(state.order_permits, now))
        return true;
    bool const is_alone = state.gateways.gateways.empty() ||
                          limits::is_issuer_unreachable(state.order_permits);
    std::chrono::duration<double> const interval{
        1 / limits::rate_of(*state.limit, now)};
    return is_alone && now - state.order_sent_at >= interval;
}

void use_order_permit(agent_state& state, mono_time now)
{
    state.order_sent_at = now;
    if (limits::has_permit(state.order_permits, now))
        limits::use_permit(state.order_permits);
}

void request_order_permit(agent_state& state, mono_time now)
{
    if (!limits::applies(state.limit, now))
        return;
    state.order_permits.needed_at = now;
    limits::expire_request(state.order_permits, now);
    auto const issuer =
        limits::issuer_of(state.gateways.hosts, upstream_id{state.upstream});
    if (!issuer || !limits::is_request_due(state.order_permits, now))
        return;
    status::permit_query query;
    query.request =
        limits::begin_request(state.order_permits, record_of(state), 1, now);
    query.request.is_for_order = true;
    state.status_socket->send(address{*issuer, state.settings.internal_port},
                              status::to_datagram(query));
}

void on_permit_datagram(agent_state& state, std::string_view bytes)
{
    auto const response = status::from_datagram<status::permit_response>(bytes);
    if (response)
        limits::on_answer(state.order_permits, response->answer, mono_now());
}

status::limit_report report_limit(agent_state const& state)
{
    status::limit_report report;
    if (!state.limit)
        return report;
    report.is_known = true;
    report.is_named = !state.limit->ended_at;
    report.calls_per_second = state.limit->calls_per_second;
    report.age_ms = (wall_now() - state.limit->stated_at).count();
    return report;
}

} // namespace jujubestand::agent
