#include <jujubestand/gateway/call_limits.hpp>

#include <algorithm>
#include <cmath>
#include <jujubestand/dispatch/upstreams.hpp>
#include <jujubestand/gateway/agents.hpp>
#include <jujubestand/gateway/calls.hpp>
#include <jujubestand/gateway/limit_records.hpp>

namespace jujubestand::gateway
{

namespace
{

/// Limits are sent again for gateways that have just started; with many
/// gateways less often.
constexpr std::chrono::milliseconds announce_interval_min{1'000};
constexpr std::chrono::milliseconds announce_interval_per_gateway{10};

/// A gateway that hears nobody for this long issues no permits: another one
/// may have taken over.
constexpr std::chrono::milliseconds silence_limit{1'500};

/// A gateway that was not told of any other one by this age is the only one.
constexpr std::chrono::milliseconds first_list_time{2'000};

/// After a gap like this between reviews the process has stood still.
constexpr std::chrono::milliseconds pause_limit{1'000};

/// Gateways that one which has just started queries: datagrams may be lost, and
/// others may have just started as well.
constexpr std::size_t query_targets = 3;

/// Longest time for which calls wait for the answers: one that was queried may
/// be gone.
constexpr std::chrono::milliseconds query_answer_limit{250};

/// Most permits of one request.
constexpr std::uint32_t wanted_limit = 8;

dispatch::upstream* find_upstream(gateway_state& state,
                                  limits::limit_record const& record)
{
    auto const key = state.dispatch.keys_by_id.find(record.upstream.text);
    if (key == state.dispatch.keys_by_id.end())
        return nullptr;
    auto& target = state.dispatch.upstreams.at(key->second);
    bool const is_same =
        incarnation_id{target.record.born_ms} == record.incarnation;
    return is_same ? &target : nullptr;
}

std::string notice_of(dispatch::upstream const& target, mono_time now)
{
    status::limit_notice notice;
    notice.limit = record_of(target, now);
    return status::to_datagram(notice);
}

void announce(gateway_state& state, dispatch::upstream const& target,
              mono_time now)
{
    state.limits.announced_at[target.key] = now;
    auto const datagram = notice_of(target, now);
    for (auto const& host : other_gateways(state, now))
        state.datagrams->send(address{host, state.settings.internal_port},
                              datagram);
}

limits::limit_change apply(gateway_state& state,
                           dispatch::upstream_key upstream,
                           limits::statement const& stated, bool is_own,
                           char const* source)
{
    auto const now = mono_now();
    auto const change = dispatch::on_limit_statement(
        state.dispatch, upstream, stated, is_own, wall_now(), now);
    if (change == limits::limit_change::none)
        return change;
    auto const& target = state.dispatch.upstreams.at(upstream);
    traffic::stated_limit shown;
    if (stated.calls_per_second)
        shown = {traffic::limit_statement::named, *stated.calls_per_second};
    state.log->write(event_number::limit_changed, {},
                     {{"upstream", target.record.id},
                      {"change", to_name(limits::limit_change_names, change)},
                      {"per_second", to_text(shown)},
                      {"source", source}});
    schedule_review(state);
    return change;
}

void apply_record(gateway_state& state, limits::limit_record const& record)
{
    auto const* const target = find_upstream(state, record);
    if (target != nullptr && is_valid(record) && record.stated_at_ms > 0)
        apply(state, target->key, statement_of(record), false, "gateway");
}

// A gateway that has just started doesn't know the others yet.
std::optional<std::string> issuer_host(gateway_state const& state,
                                       upstream_id const& upstream,
                                       mono_time now)
{
    auto hosts = state.gateway_hosts;
    if (hosts.empty() && now - state.started_at < first_list_time)
        return std::nullopt;
    if (std::find(hosts.begin(), hosts.end(), state.settings.ip) == hosts.end())
        hosts.push_back(state.settings.ip);
    return limits::issuer_of(hosts, upstream);
}

bool is_cut_off(gateway_state const& state, mono_time now)
{
    bool const has_others =
        std::any_of(state.gateway_hosts.begin(), state.gateway_hosts.end(),
                    [&](std::string const& host)
                    {
                        return host != state.settings.ip;
                    });
    return has_others && now - state.limits.heard_at > silence_limit;
}

bool is_issuer(gateway_state const& state, upstream_id const& upstream,
               mono_time now)
{
    return issuer_host(state, upstream, now) == state.settings.ip &&
           !is_cut_off(state, now);
}

limits::permit_answer answer_request(gateway_state& state,
                                     std::string const& host,
                                     limits::permit_request const& request,
                                     mono_time now)
{
    auto const* const target = find_upstream(state, request.limit);
    if (target == nullptr || !is_issuer(state, request.limit.upstream, now) ||
        !limits::applies(target->limit, now))
    {
        auto answer = limits::deny(request);
        if (target != nullptr)
            answer.limit = record_of(*target, now);
        return answer;
    }
    double const draw =
        std::uniform_real_distribution<double>()(state.random_engine);
    auto answer =
        limits::issue(state.limits.issuer, host, request,
                      limits::rate_of(*target->limit, now), now, draw);
    answer.limit = record_of(*target, now);
    return answer;
}

bool apply_answer(gateway_state& state, limits::permit_answer const& answer,
                  mono_time now)
{
    apply_record(state, answer.limit);
    auto* const target = find_upstream(state, answer.limit);
    return target != nullptr && is_valid(answer.limit) && answer.share >= 0 &&
           answer.share <= 1 && limits::on_answer(target->permits, answer, now);
}

std::uint32_t permits_wanted(gateway_state const& state,
                             std::string const& pool)
{
    auto const waiting = std::count_if(state.dispatch.waiting.begin(),
                                       state.dispatch.waiting.end(),
                                       [&](auto const& row)
                                       {
                                           return row.second.pool == pool;
                                       });
    return std::min(static_cast<std::uint32_t>(waiting) + 1, wanted_limit);
}

// \returns whether this gateway is the issuer and has granted some
bool request_permits_of(gateway_state& state, dispatch::upstream& target,
                        mono_time now)
{
    auto const host = issuer_host(state, upstream_id{target.record.id}, now);
    if (!host)
        return false;
    auto const request =
        limits::begin_request(target.permits, record_of(target, now),
                              permits_wanted(state, target.record.pool), now);
    if (*host == state.settings.ip)
        return apply_answer(state, answer_request(state, *host, request, now),
                            now);
    status::permit_query query;
    query.request = request;
    state.datagrams->send(address{*host, state.settings.internal_port},
                          status::to_datagram(query));
    return false;
}

void on_limit_query(gateway_state& state, address const& sender)
{
    auto const now = mono_now();
    for (auto const& [key, target] : state.dispatch.upstreams)
    {
        if (limits::applies(target.limit, now))
            state.datagrams->send(sender, notice_of(target, now));
    }
    state.datagrams->send(sender,
                          status::to_datagram(status::limit_response{}));
}

void on_limit_response(gateway_state& state, address const& sender)
{
    if (state.limits.queried.erase(sender.host) == 0 ||
        !state.limits.queried.empty())
        return;
    state.dispatch.held_until = mono_now();
    review_waiting(state);
}

void on_permit_query(gateway_state& state, address const& sender,
                     limits::permit_request const& request)
{
    auto const now = mono_now();
    state.limits.heard_at = now;
    apply_record(state, request.limit);
    status::permit_response response;
    response.answer = answer_request(state, sender.host, request, now);
    state.datagrams->send(sender, status::to_datagram(response));
}

void on_permit_response(gateway_state& state,
                        limits::permit_answer const& answer)
{
    auto const now = mono_now();
    state.limits.heard_at = now;
    if (!apply_answer(state, answer, now))
        return;
    review_waiting(state);
    request_permits(state);
}

bool is_announcement_due(gateway_state const& state,
                         dispatch::upstream const& target, mono_time now)
{
    auto const interval = std::max<std::chrono::milliseconds>(
        announce_interval_min,
        announce_interval_per_gateway *
            static_cast<std::int64_t>(state.gateway_hosts.size()));
    auto const last = state.limits.announced_at.find(target.key);
    return last == state.limits.announced_at.end() ||
           now - last->second >= interval;
}

void convert(gateway_state& state, address const& sender,
             limits::limit_record& record)
{
    to_own_clock(record,
                 clock_difference(state.clocks, sender.host, record.sent_at_ms,
                                  wall_now(), mono_now()));
}

// What was issued before a pause may have been issued by another gateway since.
void reset_after_pause(gateway_state& state, mono_time now)
{
    auto const last = std::exchange(state.limits.reviewed_at, now);
    if (last != mono_time{} && now - last > pause_limit)
    {
        state.limits.issuer = {};
        state.limits.heard_at = mono_time{};
    }
}

} // namespace

void on_stated_limit(gateway_state& state, dispatch::upstream_key upstream,
                     traffic::stated_limit const& stated)
{
    auto const target = state.dispatch.upstreams.find(upstream);
    if (target == state.dispatch.upstreams.end())
        return;
    if (stated.statement == traffic::limit_statement::malformed)
    {
        if (state.limits.malformed.insert(upstream).second)
            state.log->write(event_number::record_rejected, {},
                             {{"key", target->second.record.id},
                              {"why", "limit of calls is malformed"}});
        return;
    }
    limits::statement own;
    if (stated.statement == traffic::limit_statement::named)
        own.calls_per_second = stated.calls_per_second;
    own.stated_at = wall_now();
    if (apply(state, upstream, own, true, "answer") !=
        limits::limit_change::none)
        announce(state, target->second, mono_now());
}

void on_agent_limit(gateway_state& state, dispatch::upstream_key upstream,
                    status::limit_report const& report)
{
    bool const is_valid = std::isfinite(report.calls_per_second) &&
                          report.calls_per_second >= 0 && report.age_ms >= 0;
    if (!is_valid)
        return;
    limits::statement stated;
    if (report.is_named)
        stated.calls_per_second = report.calls_per_second;
    stated.stated_at = wall_now() - std::chrono::milliseconds{report.age_ms};
    apply(state, upstream, stated, false, "agent");
}

bool request_permits(gateway_state& state)
{
    auto const now = mono_now();
    bool is_granted = false;
    for (auto& [key, target] : state.dispatch.upstreams)
    {
        if (limits::applies(target.limit, now) && !target.is_replaced &&
            !target.record.is_leaving &&
            limits::is_request_due(target.permits, now))
            is_granted |= request_permits_of(state, target, now);
    }
    return is_granted;
}

void hold_calls(gateway_state& state)
{
    state.dispatch.held_until = mono_now() + query_answer_limit;
}

void query_limits(gateway_state& state)
{
    auto const now = mono_now();
    auto const hosts = random_hosts(other_gateways(state, now), query_targets,
                                    state.random_engine);
    state.limits.queried = {hosts.begin(), hosts.end()};
    state.dispatch.held_until = hosts.empty() ? now : now + query_answer_limit;
    for (auto const& host : hosts)
        state.datagrams->send(address{host, state.settings.internal_port},
                              status::to_datagram(status::limit_query{}));
}

void review_limits(gateway_state& state)
{
    auto const now = mono_now();
    reset_after_pause(state, now);
    limits::remove_unused(state.limits.issuer, now);
    std::erase_if(state.limits.announced_at,
                  [&](auto const& row)
                  {
                      return !state.dispatch.upstreams.contains(row.first);
                  });
    for (auto& [key, target] : state.dispatch.upstreams)
    {
        if (!limits::applies(target.limit, now))
            continue;
        limits::expire_request(target.permits, now);
        if (is_announcement_due(state, target, now) &&
            is_issuer(state, upstream_id{target.record.id}, now))
            announce(state, target, now);
    }
}

void on_limit_datagram(gateway_state& state, address const& sender,
                       std::string_view bytes)
{
    if (auto notice = status::from_datagram<status::limit_notice>(bytes))
    {
        convert(state, sender, notice->limit);
        apply_record(state, notice->limit);
    }
    else if (status::from_datagram<status::limit_query>(bytes))
        on_limit_query(state, sender);
    else if (status::from_datagram<status::limit_response>(bytes))
        on_limit_response(state, sender);
    else if (auto query = status::from_datagram<status::permit_query>(bytes))
    {
        convert(state, sender, query->request.limit);
        on_permit_query(state, sender, query->request);
    }
    else if (auto response =
                 status::from_datagram<status::permit_response>(bytes))
    {
        convert(state, sender, response->answer.limit);
        on_permit_response(state, response->answer);
    }
}

} // namespace jujubestand::gateway
