#include <jujubestand/gateway/calls.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <jujubestand/dispatch/upstreams.hpp>
#include <jujubestand/dispatch/useful_first.hpp>
#include <jujubestand/gateway/apply_records.hpp>
#include <jujubestand/gateway/call_limits.hpp>
#include <jujubestand/gateway/crashes.hpp>
#include <jujubestand/gateway/prompts.hpp>
#include <jujubestand/gateway/resumed_streams.hpp>
#include <jujubestand/gateway/retries.hpp>
#include <jujubestand/gateway/sends.hpp>
#include <jujubestand/gateway/stop.hpp>
#include <jujubestand/gateway/team_quotas.hpp>
#include <platform/calls.hpp>

namespace jujubestand::gateway
{

namespace
{

constexpr std::chrono::milliseconds stale_tables_retry_after{500};

/// An operator has to write another version first.
constexpr std::chrono::milliseconds unreadable_retry_after{5'000};

/// Bodies that are kept make room as their calls end.
constexpr std::chrono::milliseconds no_room_retry_after{500};

/// Interval at which waiting calls are re-evaluated.
constexpr std::chrono::milliseconds review_interval{15};

/// Record age up to which an unknown route or key is reported as such. With
/// older records it may not have been received yet, and the caller should
/// retry.
constexpr std::chrono::milliseconds unknown_age_limit{2'500};

problem stale_tables_problem()
{
    problem error;
    error.why = reason{reason_code::tables_stale,
                       "keys and routes are not confirmed current",
                       {}};
    error.retry_after = stale_tables_retry_after;
    return error;
}

problem unreadable_tables_problem()
{
    problem error;
    error.why = reason{reason_code::tables_unreadable,
                       "team or route can't be read in the configuration",
                       {}};
    error.retry_after = unreadable_retry_after;
    return error;
}

problem unknown(int status, reason_code code, char const* text)
{
    problem error;
    error.status = status;
    error.why = reason{code, text, {}};
    return error;
}

// Failure for an unknown key or route; only recent records can confirm that it
// does not exist.
problem unknown_or_stale(gateway_state const& state, problem const& error,
                         mono_time now)
{
    auto const age = tables_age(state, now);
    return age && *age <= unknown_age_limit ? error : stale_tables_problem();
}

std::optional<problem> refusal_of_route(gateway_state const& state,
                                        traffic::route const* route,
                                        mono_time now)
{
    if (route == nullptr && state.tables->knows_all_routes)
        return unknown_or_stale(state,
                                unknown(status_not_found,
                                        reason_code::unknown_route,
                                        "no matching route"),
                                now);
    if (route == nullptr || route->shares.empty())
        return unreadable_tables_problem();
    return std::nullopt;
}

std::optional<problem> refusal_of_team(gateway_state const& state,
                                       traffic::team const* team, mono_time now)
{
    if (team == nullptr && state.tables->knows_all_keys)
        return unknown_or_stale(state,
                                unknown(status_unauthorized,
                                        reason_code::unknown_team,
                                        "unknown API key"),
                                now);
    if (team == nullptr || !team->is_readable)
        return unreadable_tables_problem();
    return std::nullopt;
}

/// The shared parts of a prompt, for the log.
std::string parts_text(active_call const& call)
{
    auto const& prompt = call.caller_request.asked;
    std::string result;
    for (std::size_t at = 0; prompt && at + 1 < prompt->parts.size(); ++at)
    {
        std::array<char, 2 * sizeof(std::uint64_t)> digits{};
        constexpr int hexadecimal = 16;
        auto const end =
            std::to_chars(digits.data(), digits.data() + digits.size(),
                          prompt->parts[at].id, hexadecimal)
                .ptr;
        result += result.empty() ? "" : ",";
        result.append(digits.data(), end);
    }
    return result;
}

void accept_call(gateway_state& state, active_call call)
{
    auto const key = ++state.last_call_key;
    auto const pool = traffic::choose_pool(call.route, state.random_engine());
    call.dispatch_call = make_dispatch_call(state, call, key, pool);
    call.suspect_keys = suspect_keys_of(call);
    if (!call.caller_request.asked &&
        is_for_engines(call, pool_of(state, pool)))
        count_unreadable_prompt(state, call);
    // A call with a quota counts for retries once it has been charged.
    if (!call.team.quota)
        record_call(state, call.dispatch_call.pool, call.arrived_at);
    state.log->write(
        event_number::request_accepted, call.caller_request.request_id,
        {{"route", call.route.name},
         {"team", call.team.name},
         {"parts", parts_text(call)},
         {"left_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                         call.deadline - call.arrived_at)
                         .count()},
         {"resumes", call.caller_request.resumed_request},
         {"last_event", call.caller_request.last_event}});
    if (!accepts_call(state, call))
    {
        refuse_request(state, call.exchange, call.caller_request.request_id,
                       draining_problem());
        return;
    }
    state.call_by_exchange[call.exchange] = key;
    bool const has_quota = call.team.quota.has_value();
    state.active_calls.emplace(key, std::move(call));
    if (!has_quota || charge_call(state, key))
        begin_call(state, key);
}

} // namespace

dispatch::call make_dispatch_call(gateway_state const& state,
                                  active_call const& call,
                                  dispatch::call_key key, std::string_view pool)
{
    dispatch::call result;
    result.key = key;
    result.pool = pool;
    result.team = call.team.name;
    result.model_prompt = dispatch_prompt(call, pool_of(state, pool));
    result.cache_owner =
        traffic::cache_owner_of(call.team, state.shared_cache_owner);
    result.priority = call.team.priority.value_or(call.route.priority);
    result.arrived_at = call.arrived_at;
    result.deadline = output_deadline(call);
    result.target_latency = call.route.target_latency;
    result.is_repeatable = is_retryable(call);
    return result;
}

void begin_call(gateway_state& state, dispatch::call_key key)
{
    if (is_resumed(state.active_calls.at(key)))
        begin_resumed(state, key);
    else
        submit_call(state, key);
}

void on_request(gateway_state& state, http1::exchange_id exchange,
                http1::server_request request)
{
    if (platform::is_readiness_question(request.head))
    {
        bool const ready = is_ready(state, mono_now());
        state.caller_server->respond(exchange, ready ? 200 : status_unavailable,
                                     {}, {});
        return;
    }
    active_call call;
    call.exchange = exchange;
    call.arrived_at = mono_now();
    call.granted_at = call.arrived_at;
    call.caller_request = platform::read_call(std::move(request));
    auto const& id = call.caller_request.request_id;
    if (!check_freshness(state, call.arrived_at))
    {
        refuse_request(state, exchange, id, stale_tables_problem());
        return;
    }
    auto const* const route = traffic::find_route(
        *state.tables, call.caller_request.host, call.caller_request.path);
    auto const route_refusal = refusal_of_route(state, route, call.arrived_at);
    if (route_refusal)
    {
        refuse_request(state, exchange, id, *route_refusal);
        return;
    }
    auto const* const team =
        traffic::find_team(*state.tables, call.caller_request.key);
    bool const needs_key = !route->is_public && state.tables->needs_keys;
    auto const team_refusal =
        needs_key ? refusal_of_team(state, team, call.arrived_at)
                  : std::nullopt;
    if (team_refusal)
    {
        refuse_request(state, exchange, id, *team_refusal);
        return;
    }
    call.route = *route;
    if (needs_key)
        call.team = *team;
    call.deadline =
        call.arrived_at +
        std::min(call.caller_request.time_left.value_or(route->timeout),
                 route->timeout);
    accept_call(state, std::move(call));
}

void on_no_room(gateway_state& state, http1::exchange_id exchange,
                http1::message_head const& head)
{
    problem error;
    error.why = reason{
        reason_code::queue_full, "no memory for the body of the call", {}};
    error.retry_after = no_room_retry_after;
    refuse_request(state, exchange, platform::request_id_of(head), error);
}

void on_caller_disconnected(gateway_state& state, http1::exchange_id exchange)
{
    auto const found = state.call_by_exchange.find(exchange);
    if (found == state.call_by_exchange.end())
        return;
    auto const key = found->second;
    auto const& call = state.active_calls.at(key);
    state.log->write(event_number::caller_closed,
                     call.caller_request.request_id,
                     {{"upstream", call.upstream}});
    if (call.upstream_call != http1::call_id{})
    {
        record_unanswered(state, call);
        if (state.dispatch.limits.queue_discipline ==
            dispatch::queue_discipline::useful_first)
            add_wasted_call(state.wasted,
                            dispatch::tokens_of(call.dispatch_call));
    }
    else if (call.outcome == verdict::not_run)
        refund_call(state, call);
    state.upstream_client->cancel(call.upstream_call);
    dispatch::on_send_end(state.dispatch, key,
                          dispatch::send_outcome::cancelled, mono_now());
    dispatch::remove_waiting(state.dispatch, key);
    end_call(state, key);
}

void make_review_timer(gateway_state& state)
{
    state.review_timer.emplace(state.base,
                               [&state]
                               {
                                   state.is_review_scheduled = false;
                                   review_waiting(state);
                               });
}

// Agents send hundreds of status datagrams per second; a review for each would
// use all CPU time of a small gateway.
void schedule_review(gateway_state& state)
{
    if (state.is_review_scheduled || state.dispatch.waiting.empty())
        return;
    state.is_review_scheduled = true;
    state.review_timer->start(review_interval);
}

void report_wasted_work(gateway_state& state)
{
    auto const work = take_wasted_work(state.wasted, mono_now());
    if (work)
        state.log->write(event_number::wasted_work, {},
                         {{"calls", static_cast<std::int64_t>(work->calls)},
                          {"tokens", static_cast<std::int64_t>(work->tokens)}});
}

void review_waiting(gateway_state& state)
{
    if (state.dispatch.waiting.empty())
        return;
    for (auto const& dispatch_decision :
         dispatch::decide_waiting(state.dispatch, mono_now()))
        apply_decision(state, dispatch_decision);
    // Permits that are granted here are used by the next review.
    request_permits(state);
    schedule_review(state);
}

} // namespace jujubestand::gateway
