#include <jujubestand/gateway/upstream_responses.hpp>

#include <jujubestand/dispatch/speeds.hpp>
#include <jujubestand/dispatch/standing.hpp>
#include <jujubestand/dispatch/upstreams.hpp>
#include <jujubestand/gateway/answers.hpp>
#include <jujubestand/gateway/call_limits.hpp>
#include <jujubestand/gateway/crashes.hpp>
#include <jujubestand/gateway/origin_notices.hpp>
#include <jujubestand/gateway/resumed_streams.hpp>
#include <jujubestand/gateway/retries.hpp>
#include <jujubestand/gateway/sends.hpp>
#include <platform/calls.hpp>

namespace jujubestand::gateway
{

namespace
{

/// Retry-After of calls that failed without having run.
constexpr std::chrono::milliseconds retry_pause{200};

constexpr int first_server_error = 500;

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

void finish_call(gateway_state& state, dispatch::call_key key)
{
    active_call* const call = find_call(state, key);
    auto fields = call->response_head.passed;
    state.log->write(
        event_number::request_finished, call->caller_request.request_id,
        {{"status", call->response_head.status},
         {"upstream", call->upstream},
         {"framing",
          to_name(http1::body_framing_names, call->response_framing)},
         {"partial_bytes",
          static_cast<std::int64_t>(call->events.partial.size())},
         {"limit", to_text(call->response_head.limit)},
         {"foreign", static_cast<std::int64_t>(call->foreign_answers)},
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

// Holds for the process that answered, even if its record is gone or is that of
// another process by now.
void record_words(gateway_state& state, active_call const& call,
                  dispatch::process_id const& process,
                  traffic::answer_head const& answer)
{
    if (answer.is_leaving &&
        dispatch::on_leaving_stated(state.dispatch, process))
        state.log->write(event_number::member_leaving, {},
                         {{"upstream", call.upstream}, {"source", "answer"}});
    if (answer.pause.is_malformed)
        state.log->write(event_number::record_rejected,
                         call.caller_request.request_id,
                         {{"key", call.upstream},
                          {"why", "pause of a refusal is malformed"}});
    if (answer.pause.duration &&
        dispatch::on_pause_stated(state.dispatch, process,
                                  *answer.pause.duration, wall_now(),
                                  mono_now()))
        state.log->write(event_number::upstream_paused, {},
                         {{"upstream", call.upstream},
                          {"pause_ms", answer.pause.duration->count()}});
}

// What else the latest process of an upstream says in the head of any answer.
void apply_statements(gateway_state& state, active_call const& call,
                      traffic::answer_head const& answer)
{
    if (answer.weights && call.dispatch_call.model_prompt)
        dispatch::on_weights_seen(state.dispatch, call.upstream_key,
                                  call.dispatch_call.model_prompt->model,
                                  *answer.weights);
    // Only what is surely an answer of the upstream, and of now, can end a
    // limit.
    bool const is_sure =
        (answer.is_signed || answer.is_not_run) && !call.is_refusal_unproven;
    if (is_sure || answer.limit.statement != traffic::limit_statement::none)
        on_stated_limit(state, call.upstream_key, answer.limit);
}

void on_send_end(gateway_state& state, dispatch::call_key key,
                 http1::call_end const& end);

// Ends an attempt whose response is of no use; its connection is closed, since
// nothing else ends bytes without end or what may still run there.
void give_up_response(gateway_state& state, dispatch::call_key key,
                      reason const& why)
{
    active_call const* const call = find_call(state, key);
    http1::call_end end;
    end.may_have_sent = true;
    end.why = why;
    state.upstream_client->cancel(call->upstream_call);
    on_send_end(state, key, end);
}

void on_head(gateway_state& state, dispatch::call_key key,
             http1::message_head const& head)
{
    active_call* const call = find_call(state, key);
    if (call == nullptr)
        return;
    dispatch::on_answer_bytes(state.dispatch, key, mono_now());
    auto answer = platform::read_answer(head);
    call->response_framing = head.framing;
    call->is_refusal_unproven = answer.is_not_run && call->is_sent_again;
    bool const is_misdirected = !answer.other_upstream.empty() &&
                                answer.other_upstream != call->upstream;
    if (is_misdirected)
    {
        if (!call->is_refusal_unproven)
            dispatch::on_misdirected(state.dispatch, call->upstream_key);
    }
    else if (auto const process = dispatch::process_of(state.dispatch, key))
        record_words(state, *call, *process, answer);
    if (!is_misdirected && dispatch::is_at_latest_process(state.dispatch, key))
        apply_statements(state, *call, answer);
    bool const is_usable =
        answer.is_signed && !answer.is_encoded && !answer.is_not_run;
    call->is_response_discarded =
        !is_usable || (call->is_response_started && !is_success(answer.status));
    if (!call->is_response_started)
        call->response_head = std::move(answer);
    else
    {
        call->response_head.is_not_run = answer.is_not_run;
        call->response_head.limit = answer.limit;
    }
    // The call may be at work there, and its answer would be the next one.
    if (call->is_refusal_unproven)
        give_up_response(state, key,
                         reason{reason_code::answer_crossed,
                                "refusal may be that of an earlier attempt",
                                {}});
}

bool is_stream_answer(active_call const& call)
{
    return call.route.kind == traffic::call_kind::stream &&
           is_success(call.response_head.status);
}

// The rest of a short response is read so that its connection can be reused.
void discard(gateway_state& state, active_call& call, std::size_t bytes)
{
    constexpr std::size_t limit_bytes = 64U << 10U;
    call.discarded_bytes += bytes;
    state.upstream_client->set_kept(call.upstream_call, 0);
    if (call.discarded_bytes > limit_bytes)
        give_up_response(state, call.dispatch_call.key,
                         reason{reason_code::answer_too_large,
                                "response that is discarded is too large",
                                {}});
}

void on_body(gateway_state& state, dispatch::call_key key,
             std::string_view bytes)
{
    active_call* const call = find_call(state, key);
    if (call == nullptr)
        return;
    dispatch::on_answer_bytes(state.dispatch, key, mono_now());
    if (call->is_response_discarded)
    {
        discard(state, *call, bytes.size());
        return;
    }
    record_output(state, *call);
    if (!is_stream_answer(*call))
    {
        call->response_body += bytes;
        return;
    }
    std::string const events = on_bytes(call->events, bytes);
    state.upstream_client->set_kept(call->upstream_call,
                                    call->events.partial.size());
    if (call->events.is_broken)
    {
        give_up_response(state, key,
                         reason{reason_code::answer_too_large,
                                "server-sent event too large",
                                {}});
        return;
    }
    if (events.empty())
        return;
    dispatch::on_output(state.dispatch, key, call->events.response_events,
                        mono_now());
    if (!call->is_response_started)
    {
        call->is_response_started = true;
        call->dispatch_call.software_version = call->software_version;
        call->dispatch_call.deadline = output_deadline(*call);
        if (!is_resumed(*call))
            announce_origin(state, *call);
        state.caller_server->begin(call->exchange, call->response_head.status,
                                   call->response_head.passed);
    }
    state.caller_server->send(call->exchange, events);
}

// Whether a stream ended in order, but before its end.
bool is_broken_off(active_call const& call)
{
    return is_stream_answer(call) && !call.is_response_discarded &&
           !is_whole(call.events, call.response_framing);
}

// Outcome of an attempt as dispatch counts it for the upstream.
dispatch::send_outcome outcome_of(active_call const& call,
                                  http1::call_end const& end)
{
    using dispatch::send_outcome;
    if (!end.may_have_sent)
        return send_outcome::unreachable;
    if (call.is_refusal_unproven)
        return send_outcome::unproven;
    if (!end.is_complete)
        return send_outcome::cut;
    if (call.response_head.is_not_run)
        return send_outcome::refused;
    if (call.is_response_discarded || is_broken_off(call))
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
    call->foreign_answers += end.foreign_answers;
    call->outcome = worst(call->outcome, verdict_of(outcome));
    record_attempt(state, *call, outcome, end);
    dispatch::on_send_end(state.dispatch, key, outcome, now);
    if (outcome == dispatch::send_outcome::refused)
        record_arrival(*call);
    if (verdict_of(outcome) != verdict::not_run)
        count_possible_run(*call, outcome);
    if (is_final(*call, outcome))
    {
        finish_call(state, key);
        return;
    }
    auto why = end.why;
    if (end.is_complete && is_broken_off(*call))
        why = reason{
            reason_code::answer_incomplete, "stream ended inside an event", {}};
    end_failed_attempt(state, key, outcome, why);
}

} // namespace

void end_failed_attempt(gateway_state& state, dispatch::call_key key,
                        dispatch::send_outcome outcome, reason const& why)
{
    active_call* const call = find_call(state, key);
    auto const now = mono_now();
    select_resume_pool(state, *call);
    auto const why_not = acquire_retry(state, *call, outcome, now);
    state.log->write(
        event_number::attempt_failed, call->caller_request.request_id,
        {{"upstream", call->upstream},
         {"outcome", to_name(dispatch::send_outcome_names, outcome)},
         {"status", call->response_head.status},
         {"framing",
          to_name(http1::body_framing_names, call->response_framing)},
         {"partial_bytes",
          static_cast<std::int64_t>(call->events.partial.size())},
         {"events", static_cast<std::int64_t>(call->events.response_events)},
         {"limit", to_text(call->response_head.limit)},
         {"foreign", static_cast<std::int64_t>(call->foreign_answers)},
         {"why", why.text},
         {"again", why_not == reason_code::none ? "yes" : to_name(why_not)},
         {"key", outcome == dispatch::send_outcome::cut
                     ? to_text(call->suspect_keys.back().fingerprint)
                     : ""}});
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
    error.why = why;
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
        // Bytes after an answer may read as another one that names no call.
        return platform::read_answer(head).request_id != request_id;
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

} // namespace jujubestand::gateway
