#include <jujubestand/gateway/team_quotas.hpp>

#include <algorithm>
#include <cmath>
#include <jujubestand/gateway/agents.hpp>
#include <jujubestand/gateway/answers.hpp>
#include <jujubestand/gateway/apply_records.hpp>
#include <jujubestand/gateway/calls.hpp>
#include <jujubestand/gateway/retries.hpp>
#include <jujubestand/gateway/sends.hpp>
#include <jujubestand/status/messages.hpp>
#include <utility>

namespace jujubestand::gateway
{

namespace
{

/// Interval of reviews while requests are in flight: these are sent again
/// after 150 ms.
constexpr std::chrono::milliseconds request_review_interval{50};

constexpr std::chrono::milliseconds refusal_log_interval{1'000};
constexpr std::chrono::milliseconds state_log_interval{5'000};

/// Datagrams may be lost.
constexpr std::chrono::milliseconds end_notice_interval{500};

double draw(gateway_state& state)
{
    return std::uniform_real_distribution<double>()(state.random_engine);
}

double cost_of(active_call const& call)
{
    auto const& quota = *call.team.quota;
    if (!quota.counts_tokens)
        return 1;
    auto const& stated = call.caller_request.stated_tokens;
    return stated ? static_cast<double>(*stated) : quota.plain_cost;
}

problem refusal_of(limits::quota_decision const& decision)
{
    problem error;
    error.retry_after =
        std::chrono::ceil<std::chrono::milliseconds>(decision.retry_in);
    if (decision.step == limits::quota_step::unavailable)
    {
        error.why = reason{reason_code::quota_unavailable,
                           "the issuer of the team's quota does not respond",
                           {}};
        return error;
    }
    error.status = status_too_many;
    error.why =
        reason{reason_code::team_limit, "quota of the team is exhausted", {}};
    return error;
}

void note_charge(gateway_state& state, active_call& call, std::uint64_t charge)
{
    call.quota_charge = charge;
    call.quota_charged_at = mono_now();
    record_call(state, call.dispatch_call.pool, call.arrived_at);
}

void refuse(gateway_state& state, dispatch::call_key key,
            limits::quota_decision const& decision)
{
    if (decision.step == limits::quota_step::refuse)
        ++state.quotas.refusals[find_call(state, key)->team.name].count;
    fail_call(state, key, refusal_of(decision));
}

// \param arriving a call that its caller of this function begins itself
// \returns whether that call was accepted
bool apply_effects(gateway_state& state, limits::quota_effects const& effects,
                   dispatch::call_key arriving = 0)
{
    for (auto const& sent : effects.requests)
    {
        status::quota_query query;
        query.request = sent.request;
        state.datagrams->send(address{sent.host, state.settings.internal_port},
                              status::to_datagram(query));
    }
    bool is_accepted = false;
    for (auto const& decision : effects.decisions)
    {
        active_call* const call = find_call(state, decision.call);
        if (call == nullptr)
            continue;
        if (decision.step != limits::quota_step::accept)
        {
            refuse(state, decision.call, decision);
            continue;
        }
        note_charge(state, *call, decision.charge);
        if (decision.call == arriving)
            is_accepted = true;
        else
            begin_call(state, decision.call);
    }
    return is_accepted;
}

bool has_open_request(gateway_state const& state)
{
    auto const& holders = state.quotas.exchange.holders;
    return std::any_of(holders.begin(), holders.end(),
                       [](auto const& row)
                       {
                           return row.second.requested_at ||
                                  !row.second.waiting.empty();
                       });
}

void run_review(gateway_state& state)
{
    apply_effects(state, limits::review_quotas(state.quotas.exchange,
                                               mono_now(), draw(state)));
}

void schedule_request_review(gateway_state& state)
{
    auto& quotas = state.quotas;
    if (quotas.is_review_scheduled || !has_open_request(state))
        return;
    if (!quotas.review_timer)
        quotas.review_timer.emplace(state.base,
                                    [&state]
                                    {
                                        state.quotas.is_review_scheduled =
                                            false;
                                        run_review(state);
                                        schedule_request_review(state);
                                    });
    quotas.is_review_scheduled = true;
    quotas.review_timer->start(request_review_interval);
}

void log_refusals(gateway_state& state, mono_time now)
{
    for (auto& [team, refused] : state.quotas.refusals)
    {
        if (refused.count == 0 ||
            now - refused.logged_at < refusal_log_interval)
            continue;
        state.log->write(event_number::quota_exceeded, {},
                         {{"team", team}, {"refused", refused.count}});
        refused = {0, now};
    }
    std::erase_if(state.quotas.refusals,
                  [now](auto const& row)
                  {
                      return row.second.count == 0 &&
                             now - row.second.logged_at > refusal_log_interval;
                  });
}

void log_issued(gateway_state& state, mono_time now)
{
    if (now - state.quotas.state_logged_at < state_log_interval)
        return;
    state.quotas.state_logged_at = now;
    for (auto& [team, issued] : state.quotas.exchange.issuer.teams)
    {
        auto const granted = std::exchange(issued.granted, 0);
        auto const refusals = std::exchange(issued.refusals, 0);
        if (refusals == 0)
            continue;
        state.log->write(
            event_number::quota_state, {},
            {{"team", team},
             {"granted", static_cast<std::int64_t>(granted)},
             {"refused", static_cast<std::int64_t>(refusals)},
             {"level",
              static_cast<std::int64_t>(std::floor(issued.bucket.tokens))},
             {"gateways",
              static_cast<std::int64_t>(issued.requesters.size())}});
    }
}

// The others then don't take it for one that is cut off from them.
void announce_end(gateway_state& state, mono_time now)
{
    auto& quotas = state.quotas;
    if (!state.is_draining || quotas.exchange.teams.empty() ||
        now - quotas.end_announced_at < end_notice_interval)
        return;
    quotas.end_announced_at = now;
    for (auto const& host : other_gateways(state, now))
        state.datagrams->send(
            address{host, state.settings.internal_port},
            status::to_datagram(status::gateway_end_notice{}));
}

limits::quota_terms terms_of(gateway_state const& state,
                             traffic::team_quota const& quota)
{
    auto const& bounds = state.settings.limits;
    limits::quota_terms result;
    result.rate = quota.rate;
    result.burst = quota.burst;
    result.counts_tokens = quota.counts_tokens;
    result.window = bounds.quota_window;
    result.overage = bounds.quota_overage;
    result.slack = bounds.quota_slack;
    return result;
}

void on_quota_query(gateway_state& state, address const& sender,
                    limits::quota_request const& request, mono_time now)
{
    auto& exchange = state.quotas.exchange;
    exchange.is_current = check_freshness(state, now);
    status::quota_response response;
    response.answer = limits::on_quota_request(exchange, sender.host, request,
                                               now, draw(state));
    state.datagrams->send(sender, status::to_datagram(response));
}

} // namespace

bool charge_call(gateway_state& state, dispatch::call_key key)
{
    active_call const& call = *find_call(state, key);
    auto& exchange = state.quotas.exchange;
    // The tables were found to be current as the call arrived.
    exchange.is_current = true;
    bool const is_accepted = apply_effects(
        state,
        limits::on_quota_call(exchange, call.team.name, key, cost_of(call),
                              mono_now(), draw(state)),
        key);
    schedule_request_review(state);
    return is_accepted;
}

void refund_call(gateway_state& state, active_call const& call)
{
    auto& exchange = state.quotas.exchange;
    auto const terms = exchange.teams.find(call.team.name);
    auto const holder = exchange.holders.find(call.team.name);
    // A charge in calls is worth nothing in tokens, and the other way round.
    bool const is_same_unit =
        call.team.quota && terms != exchange.teams.end() &&
        terms->second.quota.counts_tokens == call.team.quota->counts_tokens;
    if (call.quota_charge > 0 && is_same_unit &&
        holder != exchange.holders.end())
        limits::refund(holder->second,
                       {call.quota_charge, call.quota_charged_at});
}

void remove_uncharged(gateway_state& state, active_call const& call)
{
    if (!call.team.quota)
        return;
    auto& holders = state.quotas.exchange.holders;
    auto const holder = holders.find(call.team.name);
    if (holder != holders.end())
        limits::remove_waiting(holder->second, call.dispatch_call.key);
}

// Gateways that have not read this version yet go on to use a quota that can't
// be read in it.
void apply_quotas(gateway_state& state)
{
    auto const& known = state.quotas.exchange.teams;
    std::map<std::string, limits::quota_terms> quotas;
    for (auto const& team : state.tables->teams)
    {
        auto const former = known.find(team.name);
        if (team.quota)
            quotas[team.name] = terms_of(state, *team.quota);
        else if (!team.is_readable && former != known.end())
            quotas[team.name] = former->second.quota;
    }
    apply_effects(
        state, limits::set_quotas(state.quotas.exchange, quotas, mono_now()));
}

void review_team_quotas(gateway_state& state)
{
    auto const now = mono_now();
    auto& exchange = state.quotas.exchange;
    limits::set_listed(exchange.gateways, state.gateway_hosts, exchange.own,
                       now);
    if (!exchange.teams.empty())
        exchange.is_current = check_freshness(state, now);
    run_review(state);
    schedule_request_review(state);
    log_refusals(state, now);
    log_issued(state, now);
    announce_end(state, now);
}

void on_quota_datagram(gateway_state& state, address const& sender,
                       std::string_view bytes)
{
    auto const now = mono_now();
    auto& exchange = state.quotas.exchange;
    if (sender.host != exchange.own)
        exchange.received_at = now;
    if (auto const query = status::from_datagram<status::quota_query>(bytes))
        on_quota_query(state, sender, query->request, now);
    else if (auto const response =
                 status::from_datagram<status::quota_response>(bytes))
    {
        apply_effects(state, limits::on_quota_answer(exchange, response->answer,
                                                     now, draw(state)));
        schedule_request_review(state);
    }
    else if (status::from_datagram<status::gateway_end_notice>(bytes))
        limits::on_ending(exchange.gateways, sender.host, now);
}

} // namespace jujubestand::gateway
