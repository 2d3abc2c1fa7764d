#include <jujubestand/gateway/sends.hpp>

#include <algorithm>
#include <jujubestand/dispatch/parts.hpp>
#include <jujubestand/dispatch/standing.hpp>
#include <jujubestand/gateway/call_limits.hpp>
#include <jujubestand/gateway/calls.hpp>
#include <jujubestand/gateway/crashes.hpp>
#include <jujubestand/gateway/prompts.hpp>
#include <jujubestand/gateway/retries.hpp>
#include <jujubestand/gateway/team_quotas.hpp>
#include <jujubestand/gateway/upstream_responses.hpp>
#include <platform/calls.hpp>

namespace jujubestand::gateway
{

namespace
{

/// Maximum idle time of a reused connection for calls that must run at most
/// once: the upstream could close an older one just as the call is written.
constexpr std::chrono::milliseconds once_idle_limit{1'500};
constexpr std::chrono::milliseconds idle_limit{4'000};
constexpr std::chrono::milliseconds connect_timeout{600};

std::chrono::milliseconds time_left(active_call const& call, mono_time now)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(call.deadline -
                                                                 now);
}

std::string last_event_of(active_call const& call)
{
    if (call.events.last_id)
        return std::to_string(*call.events.last_id);
    return call.caller_request.last_event;
}

// An upstream may be an engine though nothing but the call tells so: the
// configuration or its record may not be readable.
bool may_be_engine(gateway_state const& state, active_call const& call,
                   dispatch::upstream const& target)
{
    auto const* const pool = pool_of(state, target.record.pool);
    return is_for_engines(call, pool) || !target.versions.empty() ||
           call.caller_request.stated.has_fields;
}

// Weights of the engine that the call is sent to, compared with those wanted.
dispatch::weights_status weights_of(gateway_state const& state,
                                    active_call const& call,
                                    dispatch::upstream const& target,
                                    mono_time now)
{
    auto const& prompt = call.dispatch_call.model_prompt;
    return prompt ? dispatch::check_weights(state.dispatch, target,
                                            prompt->model, now)
                  : dispatch::weights_status{};
}

void send(gateway_state& state, dispatch::decision const& dispatch_decision)
{
    active_call* const call = find_call(state, dispatch_decision.call);
    auto const& target_upstream =
        state.dispatch.upstreams.at(dispatch_decision.upstream);
    auto const now = mono_now();
    call->upstream = target_upstream.record.id;
    call->upstream_key = dispatch_decision.upstream;
    call->upstream_address = target_upstream.record.where;
    call->is_sent_again = dispatch::has_reached(
        call->dispatch_call, dispatch::endpoint_of(target_upstream));
    call->is_refusal_unproven = false;
    call->software_version = target_upstream.record.software_version;
    ++call->upstream_attempts;
    http1::client_request request;
    request.server = target_upstream.record.where;
    request.method = call->caller_request.method;
    request.target = call->caller_request.target;
    request.fields = platform::upstream_fields(
        call->caller_request,
        send_terms_of(state, *call, dispatch_decision, now));
    request.body = call->caller_request.body;
    request.connect_timeout = connect_timeout;
    request.timeout =
        std::max(time_left(*call, now), std::chrono::milliseconds{1});
    // A stream without output by then can't be served in time; its caller is
    // told while it still waits.
    if (call->route.kind == traffic::call_kind::stream)
        request.output_timeout =
            std::max(std::chrono::ceil<std::chrono::milliseconds>(
                         call->dispatch_call.deadline - now -
                         state.dispatch.limits.service_time_min),
                     std::chrono::milliseconds{1});
    request.idle_limit = is_retryable(*call) ? idle_limit : once_idle_limit;
    // A late answer to an earlier attempt would come before that to this one.
    request.avoided_connections = call->connections;
    call->upstream_call = state.upstream_client->start(
        std::move(request), events_of(state, dispatch_decision.call,
                                      call->caller_request.request_id));
    call->connections.push_back(
        state.upstream_client->connection_of(call->upstream_call));
    auto const weights = weights_of(state, *call, target_upstream, now);
    state.log->write(
        event_number::upstream_chosen, call->caller_request.request_id,
        {{"upstream", call->upstream},
         {"address", to_text(call->upstream_address)},
         {"reached_before", call->is_sent_again ? "yes" : "no"},
         {"connection", static_cast<std::int64_t>(call->connections.back())},
         {"software", call->software_version},
         {"attempt", static_cast<std::int64_t>(call->upstream_attempts - 1)},
         {"waited_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                           now - call->granted_at)
                           .count()},
         {"expected_ms",
          static_cast<std::int64_t>(dispatch_decision.expected_ms)},
         {"weights",
          static_cast<std::int64_t>(dispatch_decision.weights.value_or(0))},
         {"weights_wanted", static_cast<std::int64_t>(weights.wanted_version)},
         {"weights_lag_ms",
          std::chrono::duration_cast<std::chrono::milliseconds>(weights.lag)
              .count()},
         {"cached", static_cast<std::int64_t>(dispatch_decision.cached_tokens)},
         {"limited",
          limits::applies(target_upstream.limit, now) ? "yes" : "no"},
         {"fetch", dispatch_decision.fetch_from
                       ? to_text(*dispatch_decision.fetch_from)
                       : "none"}});
}

} // namespace

traffic::send_terms send_terms_of(gateway_state& state, active_call const& call,
                                  dispatch::decision const& dispatch_decision,
                                  mono_time now)
{
    traffic::send_terms terms;
    terms.upstream = call.upstream;
    terms.team = call.team.name;
    terms.time_left = time_left(call, now);
    terms.last_event = last_event_of(call);
    auto const& owner = call.dispatch_call.cache_owner;
    auto const& target =
        state.dispatch.upstreams.at(dispatch_decision.upstream);
    if (!dispatch_decision.weights)
    {
        if (may_be_engine(state, call, target))
            terms.cache_scope =
                dispatch::one_call_scope(owner, state.random_engine());
        return terms;
    }
    constexpr std::uint8_t urgency_limit = 9;
    terms.weights = dispatch_decision.weights;
    terms.cache_scope =
        dispatch::cache_scope(owner, *dispatch_decision.weights);
    terms.priority = std::min(call.dispatch_call.priority, urgency_limit);
    terms.fetch_from = dispatch_decision.fetch_from;
    terms.save_to = dispatch_decision.save_to;
    return terms;
}

active_call* find_call(gateway_state& state, dispatch::call_key key)
{
    auto const found = state.active_calls.find(key);
    return found == state.active_calls.end() ? nullptr : &found->second;
}

void apply_decision(gateway_state& state,
                    dispatch::decision const& dispatch_decision)
{
    active_call* const call = find_call(state, dispatch_decision.call);
    if (call == nullptr || refuse_quarantined(state, dispatch_decision.call))
        return;
    if (dispatch_decision.next_action == dispatch::action::send)
    {
        if (state.caller_server->has_left(call->exchange))
            on_caller_disconnected(state, call->exchange);
        else
            send(state, dispatch_decision);
        return;
    }
    if (dispatch_decision.next_action == dispatch::action::hold)
    {
        state.log->write(
            event_number::request_waits, call->caller_request.request_id,
            {{"pool", call->dispatch_call.pool},
             {"waiting",
              static_cast<std::int64_t>(state.dispatch.waiting.size())}});
        schedule_review(state);
        return;
    }
    problem error;
    error.why = dispatch_decision.why;
    error.outcome = call->outcome;
    error.status = status_of(call->outcome, dispatch_decision.why.code);
    if (call->outcome == verdict::not_run)
        error.retry_after = dispatch_decision.retry_after;
    fail_call(state, dispatch_decision.call, error);
}

void submit_call(gateway_state& state, dispatch::call_key key)
{
    auto const dispatch_decision = dispatch::submit(
        state.dispatch, find_call(state, key)->dispatch_call, mono_now());
    apply_decision(state, dispatch_decision);
    if (request_permits(state))
        review_waiting(state);
}

void retry_call(gateway_state& state, dispatch::call_key key)
{
    active_call* const call = find_call(state, key);
    begin_response(call->events);
    call->response_body.clear();
    call->response_framing = http1::body_framing::none;
    call->is_response_discarded = false;
    call->discarded_bytes = 0;
    call->output_since.reset();
    call->has_survived = false;
    call->granted_at = mono_now();
    auto const dispatch_decision =
        dispatch::submit(state.dispatch, call->dispatch_call, call->granted_at);
    auto const& pool = call->dispatch_call.pool;
    state.log->write(
        event_number::retry_scheduled, call->caller_request.request_id,
        {{"sends", static_cast<std::int64_t>(call->upstream_attempts)},
         {"budget", static_cast<std::int64_t>(std::min(
                        state.retry_budgets[pool].tokens,
                        retry_budget_limit(state, pool, call->granted_at)))},
         {"gateways",
          static_cast<std::int64_t>(state.retry_sharers.gateways)}});
    apply_decision(state, dispatch_decision);
}

void fail_call(gateway_state& state, dispatch::call_key key,
               problem const& error)
{
    active_call const* const call = find_call(state, key);
    if (call == nullptr)
        return;
    if (error.outcome == verdict::not_run)
        refund_call(state, *call);
    if (call->is_response_started)
    {
        state.log->write(event_number::request_failed,
                         call->caller_request.request_id,
                         {{"verdict", to_name(verdict_names, error.outcome)},
                          {"reason", to_name(error.why.code)},
                          {"why", "response aborted after it had started"}});
        state.caller_server->abort(call->exchange);
    }
    else
        refuse_request(state, call->exchange, call->caller_request.request_id,
                       error);
    end_call(state, key);
}

void end_call(gateway_state& state, dispatch::call_key key)
{
    active_call const* const call = find_call(state, key);
    if (call == nullptr)
        return;
    remove_uncharged(state, *call);
    state.call_by_exchange.erase(call->exchange);
    state.active_calls.erase(key);
}

} // namespace jujubestand::gateway
