#include <jujubestand/gateway/sends.hpp>

#include <algorithm>
#include <jujubestand/dispatch/parts.hpp>
#include <jujubestand/dispatch/standing.hpp>
#include <jujubestand/dispatch/upstreams.hpp>
#include <jujubestand/gateway/calls.hpp>
#include <jujubestand/gateway/resumed_streams.hpp>
#include <jujubestand/gateway/retries.hpp>
#include <platform/calls.hpp>

namespace jujubestand::gateway
{

namespace
{

/// Retry-After of calls that failed without having run.
constexpr std::chrono::milliseconds retry_pause{200};

/// Maximum idle time of a reused connection for calls that must run at most
/// once: the upstream could close an older one just as the call is written.
constexpr std::chrono::milliseconds once_idle_limit{1'500};
constexpr std::chrono::milliseconds idle_limit{4'000};
constexpr std::chrono::milliseconds connect_timeout{600};

constexpr int first_success = 200;
constexpr int first_redirect = 300;
constexpr int first_server_error = 500;

bool is_success(int status)
{
    return status >= first_success && status < first_redirect;
}

// Statuses that guarantee that the call did not run. An upstream response
// with such a status that does not guarantee this must not be forwarded.
bool guarantees_not_run(int status)
{
    constexpr int timeout = 408;
    constexpr int misdirected = 421;
    constexpr int too_many = 429;
    return status == timeout || status == misdirected || status == too_many ||
           status == status_unavailable;
}

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

traffic::send_terms terms_of(active_call const& call,
                             dispatch::decision const& dispatch_decision,
                             mono_time now)
{
    traffic::send_terms terms;
    terms.upstream = call.upstream;
    terms.team = call.team.name;
    terms.time_left = time_left(call, now);
    terms.last_event = last_event_of(call);
    if (!dispatch_decision.weights)
        return terms;
    constexpr std::uint8_t urgency_limit = 9;
    terms.weights = dispatch_decision.weights;
    terms.cache_scope = dispatch::cache_scope(call.dispatch_call.cache_owner,
                                              *dispatch_decision.weights);
    terms.priority = std::min(call.dispatch_call.priority, urgency_limit);
    terms.fetch_from = dispatch_decision.fetch_from;
    terms.save_to = dispatch_decision.save_to;
    return terms;
}

void finish_call(gateway_state& state, dispatch::call_key key)
{
    active_call* const call = find_call(state, key);
    auto fields = call->response_head.passed;
    state.log->write(
        event_number::request_finished, call->caller_request.request_id,
        {{"status", call->response_head.status},
         {"upstream", call->upstream},
         {"took_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                         mono_now() - call->arrived_at)
                         .count()}});
    if (call->is_response_started)
        state.caller_server->finish(call->exchange);
    else
        state.caller_server->respond(call->exchange, call->response_head.status,
                                     fields, call->response_body);
    end_call(state, key);
}

void on_head(gateway_state& state, dispatch::call_key key,
             http1::message_head const& head)
{
    active_call* const call = find_call(state, key);
    if (call == nullptr)
        return;
    auto answer = platform::read_answer(head);
    auto const send = state.dispatch.sends.find(key);
    if (answer.weights && call->dispatch_call.model_prompt &&
        send != state.dispatch.sends.end())
        dispatch::on_weights_seen(state.dispatch, send->second.upstream,
                                  call->dispatch_call.model_prompt->model,
                                  *answer.weights);
    if (!answer.other_upstream.empty() &&
        answer.other_upstream != call->upstream)
        dispatch::on_misdirected(state.dispatch, call->upstream_key);
    bool const is_usable =
        answer.is_signed && !answer.is_encoded && !answer.is_not_run;
    call->is_response_discarded =
        !is_usable || (call->is_response_started && !is_success(answer.status));
    call->is_repeatable_failure =
        answer.status >= first_server_error && is_retryable(*call);
    if (!call->is_response_started)
        call->response_head = std::move(answer);
    else
        call->response_head.is_not_run = answer.is_not_run;
}

bool is_stream_answer(active_call const& call)
{
    return call.route.kind == traffic::call_kind::stream &&
           is_success(call.response_head.status);
}

void on_send_end(gateway_state& state, dispatch::call_key key,
                 http1::call_end const& end);

void on_body(gateway_state& state, dispatch::call_key key,
             std::string_view bytes)
{
    active_call* const call = find_call(state, key);
    if (call == nullptr || call->is_response_discarded)
        return;
    if (!is_stream_answer(*call))
    {
        call->response_body += bytes;
        return;
    }
    std::string const events = on_bytes(call->events, bytes);
    if (call->events.is_broken)
    {
        http1::call_end end;
        end.may_have_sent = true;
        end.why = reason{
            reason_code::answer_too_large, "server-sent event too large", {}};
        state.upstream_client->cancel(call->upstream_call);
        on_send_end(state, key, end);
        return;
    }
    if (events.empty())
        return;
    dispatch::on_first_output(state.dispatch, key);
    if (!call->is_response_started)
    {
        call->is_response_started = true;
        call->dispatch_call.software_version = call->software_version;
        if (!is_resumed(*call))
            announce_origin(state, *call);
        state.caller_server->begin(call->exchange, call->response_head.status,
                                   call->response_head.passed);
    }
    state.caller_server->send(call->exchange, events);
}

// Outcome of an attempt as dispatch counts it for the upstream.
dispatch::send_outcome outcome_of(active_call const& call,
                                  http1::call_end const& end)
{
    using dispatch::send_outcome;
    if (!end.may_have_sent)
        return send_outcome::unreachable;
    if (!end.is_complete)
        return send_outcome::cut;
    if (call.response_head.is_not_run)
        return send_outcome::refused;
    if (call.is_response_discarded)
        return send_outcome::cut;
    return call.response_head.status >= first_server_error
               ? send_outcome::failed
               : send_outcome::served;
}

// Whether the response can be forwarded at once. A server error of the upstream
// is forwarded only if the call may not be retried.
bool is_final(active_call const& call, dispatch::send_outcome outcome)
{
    return outcome == dispatch::send_outcome::served &&
           !guarantees_not_run(call.response_head.status);
}

void on_send_end(gateway_state& state, dispatch::call_key key,
                 http1::call_end const& end)
{
    active_call* const call = find_call(state, key);
    if (call == nullptr)
        return;
    auto const now = mono_now();
    auto const outcome = outcome_of(*call, end);
    call->upstream_call = http1::call_id{};
    call->outcome = worst(call->outcome, verdict_of(outcome));
    dispatch::on_send_end(state.dispatch, key, outcome, now);
    if (verdict_of(outcome) != verdict::not_run)
        count_possible_run(*call);
    if (is_final(*call, outcome))
    {
        finish_call(state, key);
        return;
    }
    auto const why_not = acquire_retry(state, *call, outcome, now);
    state.log->write(
        event_number::attempt_failed, call->caller_request.request_id,
        {{"upstream", call->upstream},
         {"outcome", to_name(dispatch::send_outcome_names, outcome)},
         {"status", call->response_head.status},
         {"why", end.why.text},
         {"again", why_not == reason_code::none ? "yes" : to_name(why_not)}});
    if (why_not == reason_code::none)
    {
        retry_call(state, key);
        return;
    }
    if (why_not == reason_code::retry_budget_spent && call->is_response_started)
    {
        suspend_call(state, key, outcome);
        return;
    }
    if (outcome == dispatch::send_outcome::failed &&
        !call->is_response_started &&
        !guarantees_not_run(call->response_head.status))
    {
        finish_call(state, key);
        return;
    }
    problem error;
    error.why = end.why;
    if (error.why.code == reason_code::none)
        error.why = reason{
            reason_code::upstream_error, "no usable upstream response", {}};
    error.outcome = call->outcome;
    error.status = status_of(call->outcome, error.why.code);
    if (call->outcome == verdict::not_run)
        error.retry_after = retry_pause;
    fail_call(state, key, error);
}

http1::call_events events_of(gateway_state& state, dispatch::call_key key,
                             std::string const& request_id)
{
    http1::call_events events;
    events.is_foreign = [request_id](http1::message_head const& head)
    {
        auto const answer = platform::read_answer(head);
        return !answer.request_id.empty() && answer.request_id != request_id;
    };
    events.on_head = [&state, key](http1::message_head const& head)
    {
        on_head(state, key, head);
    };
    events.on_body = [&state, key](std::string_view bytes)
    {
        on_body(state, key, bytes);
    };
    events.on_end = [&state, key](http1::call_end const& end)
    {
        on_send_end(state, key, end);
    };
    return events;
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
    call->software_version = target_upstream.record.software_version;
    ++call->upstream_attempts;
    http1::client_request request;
    request.server = target_upstream.record.where;
    request.method = call->caller_request.method;
    request.target = call->caller_request.target;
    request.fields = platform::upstream_fields(
        call->caller_request, terms_of(*call, dispatch_decision, now));
    request.body = call->caller_request.body;
    request.connect_timeout = connect_timeout;
    request.timeout =
        std::max(time_left(*call, now), std::chrono::milliseconds{1});
    request.idle_limit = is_retryable(*call) ? idle_limit : once_idle_limit;
    auto const weights = weights_of(state, *call, target_upstream, now);
    state.log->write(
        event_number::upstream_chosen, call->caller_request.request_id,
        {{"upstream", call->upstream},
         {"software", call->software_version},
         {"expected_ms",
          static_cast<std::int64_t>(dispatch_decision.expected_ms)},
         {"weights",
          static_cast<std::int64_t>(dispatch_decision.weights.value_or(0))},
         {"weights_wanted", static_cast<std::int64_t>(weights.wanted_version)},
         {"weights_lag_ms",
          std::chrono::duration_cast<std::chrono::milliseconds>(weights.lag)
              .count()},
         {"cached", static_cast<std::int64_t>(dispatch_decision.cached_tokens)},
         {"fetch", dispatch_decision.fetch_from
                       ? to_text(*dispatch_decision.fetch_from)
                       : "none"}});
    call->upstream_call = state.upstream_client->start(
        std::move(request), events_of(state, dispatch_decision.call,
                                      call->caller_request.request_id));
}

} // namespace

active_call* find_call(gateway_state& state, dispatch::call_key key)
{
    auto const found = state.active_calls.find(key);
    return found == state.active_calls.end() ? nullptr : &found->second;
}

void apply_decision(gateway_state& state,
                    dispatch::decision const& dispatch_decision)
{
    active_call* const call = find_call(state, dispatch_decision.call);
    if (call == nullptr)
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
    schedule_review(state);
}

void retry_call(gateway_state& state, dispatch::call_key key)
{
    active_call* const call = find_call(state, key);
    discard_partial_event(call->events);
    call->response_body.clear();
    call->is_response_discarded = false;
    call->is_repeatable_failure = false;
    auto const dispatch_decision =
        dispatch::submit(state.dispatch, call->dispatch_call, mono_now());
    state.log->write(
        event_number::retry_scheduled, call->caller_request.request_id,
        {{"sends", static_cast<std::int64_t>(call->upstream_attempts)}});
    apply_decision(state, dispatch_decision);
}

void fail_call(gateway_state& state, dispatch::call_key key,
               problem const& error)
{
    active_call const* const call = find_call(state, key);
    if (call == nullptr)
        return;
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
    state.call_by_exchange.erase(call->exchange);
    state.active_calls.erase(key);
}

} // namespace jujubestand::gateway
