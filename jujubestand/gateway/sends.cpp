#include <jujubestand/gateway/sends.hpp>

#include <algorithm>
#include <jujubestand/dispatch/parts.hpp>
#include <jujubestand/dispatch/upstreams.hpp>
#include <jujubestand/gateway/calls.hpp>
#include <jujubestand/gateway/repeats.hpp>
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

// Statuses that tell the caller that the call did not run. An upstream response
// with such a status that does not guarantee this must not be forwarded.
bool promises_not_run(int status)
{
    constexpr int timeout = 408;
    constexpr int misdirected = 421;
    constexpr int too_many = 429;
    return status == timeout || status == misdirected || status == too_many ||
           status == status_unavailable;
}

std::chrono::milliseconds time_left(live_call const& call, mono_time now)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(call.deadline -
                                                                 now);
}

std::string last_event_of(live_call const& call)
{
    if (call.events.last_id)
        return std::to_string(*call.events.last_id);
    return call.asked.last_event;
}

traffic::send_terms terms_of(live_call const& call,
                             dispatch::decision const& made, mono_time now)
{
    traffic::send_terms terms;
    terms.upstream = call.upstream;
    terms.team = call.team.name;
    terms.time_left = time_left(call, now);
    terms.last_event = last_event_of(call);
    if (!made.weights)
        return terms;
    constexpr std::uint8_t urgency_limit = 9;
    terms.weights = made.weights;
    terms.cache_scope =
        dispatch::cache_scope(call.terms.cache_owner, *made.weights);
    terms.priority = std::min(call.terms.priority, urgency_limit);
    terms.fetch_from = made.fetch_from;
    terms.save_to = made.save_to;
    return terms;
}

void answer_whole(gateway_state& self, dispatch::call_key key)
{
    live_call* const call = find_call(self, key);
    auto fields = call->answer.passed;
    self.log->write(
        event_number::request_finished, call->asked.request_id,
        {{"status", call->answer.status},
         {"upstream", call->upstream},
         {"took_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                         mono_now() - call->arrived_at)
                         .count()}});
    if (call->is_begun)
        self.callers->finish(call->exchange);
    else
        self.callers->respond(call->exchange, call->answer.status, fields,
                              call->body);
    end_call(self, key);
}

void on_head(gateway_state& self, dispatch::call_key key,
             http1::message_head const& head)
{
    live_call* const call = find_call(self, key);
    if (call == nullptr)
        return;
    auto answer = platform::read_answer(head);
    auto const send = self.dispatch.sends.find(key);
    if (answer.weights && call->terms.asked &&
        send != self.dispatch.sends.end())
        dispatch::on_weights_seen(self.dispatch, send->second.upstream,
                                  call->terms.asked->model, *answer.weights);
    if (!answer.other_upstream.empty() &&
        answer.other_upstream != call->upstream)
        dispatch::on_misdirected(self.dispatch, call->upstream_key);
    bool const is_usable =
        answer.is_signed && !answer.is_encoded && !answer.is_not_run;
    call->is_ignored =
        !is_usable || (call->is_begun && !is_success(answer.status));
    call->is_repeatable_failure =
        answer.status >= first_server_error && may_repeat(*call);
    if (!call->is_begun)
        call->answer = std::move(answer);
    else
        call->answer.is_not_run = answer.is_not_run;
}

bool is_stream_answer(live_call const& call)
{
    return call.route.kind == traffic::call_kind::stream &&
           is_success(call.answer.status);
}

void on_send_end(gateway_state& self, dispatch::call_key key,
                 http1::call_end const& end);

void on_body(gateway_state& self, dispatch::call_key key,
             std::string_view bytes)
{
    live_call* const call = find_call(self, key);
    if (call == nullptr || call->is_ignored)
        return;
    if (!is_stream_answer(*call))
    {
        call->body += bytes;
        return;
    }
    std::string const events = on_bytes(call->events, bytes);
    if (call->events.is_broken)
    {
        http1::call_end end;
        end.may_have_sent = true;
        end.why = reason{
            reason_code::answer_too_large, "server-sent event too large", {}};
        self.upstreams->cancel(call->send);
        on_send_end(self, key, end);
        return;
    }
    if (events.empty())
        return;
    dispatch::on_first_output(self.dispatch, key);
    if (!call->is_begun)
    {
        call->is_begun = true;
        self.callers->begin(call->exchange, call->answer.status,
                            call->answer.passed);
    }
    self.callers->send(call->exchange, events);
}

// Outcome of an attempt as dispatch counts it for the upstream.
dispatch::send_outcome outcome_of(live_call const& call,
                                  http1::call_end const& end)
{
    using dispatch::send_outcome;
    if (!end.may_have_sent)
        return send_outcome::unreachable;
    if (!end.is_complete)
        return send_outcome::cut;
    if (call.answer.is_not_run)
        return send_outcome::refused;
    if (call.is_ignored)
        return send_outcome::cut;
    return call.answer.status >= first_server_error ? send_outcome::failed
                                                    : send_outcome::served;
}

// Whether the response can be forwarded at once. A server error of the upstream
// is forwarded only if the call may not be retried.
bool is_final(live_call const& call, dispatch::send_outcome outcome)
{
    return outcome == dispatch::send_outcome::served &&
           !promises_not_run(call.answer.status);
}

void on_send_end(gateway_state& self, dispatch::call_key key,
                 http1::call_end const& end)
{
    live_call* const call = find_call(self, key);
    if (call == nullptr)
        return;
    auto const now = mono_now();
    auto const outcome = outcome_of(*call, end);
    call->send = http1::call_id{};
    call->outcome = worst(call->outcome, verdict_of(outcome));
    dispatch::on_send_end(self.dispatch, key, outcome, now);
    if (verdict_of(outcome) != verdict::not_run)
        count_run(*call);
    if (is_final(*call, outcome))
    {
        answer_whole(self, key);
        return;
    }
    auto const why_not = why_not_again(self, *call, outcome, now);
    self.log->write(
        event_number::attempt_failed, call->asked.request_id,
        {{"upstream", call->upstream},
         {"outcome", to_name(dispatch::send_outcome_names, outcome)},
         {"status", call->answer.status},
         {"why", end.why.text},
         {"again", why_not == reason_code::none ? "yes" : to_name(why_not)}});
    if (why_not == reason_code::none)
    {
        send_again(self, key);
        return;
    }
    if (why_not == reason_code::retry_budget_spent && call->is_begun)
    {
        suspend(self, key, outcome);
        return;
    }
    if (outcome == dispatch::send_outcome::failed && !call->is_begun &&
        !promises_not_run(call->answer.status))
    {
        answer_whole(self, key);
        return;
    }
    problem what;
    what.why = end.why;
    if (what.why.code == reason_code::none)
        what.why = reason{
            reason_code::upstream_error, "no usable upstream response", {}};
    what.outcome = call->outcome;
    what.status = status_of(call->outcome, what.why.code);
    if (call->outcome == verdict::not_run)
        what.retry_after = retry_pause;
    fail_call(self, key, what);
}

http1::call_events events_of(gateway_state& self, dispatch::call_key key,
                             std::string const& request_id)
{
    http1::call_events events;
    events.is_foreign = [request_id](http1::message_head const& head)
    {
        auto const answer = platform::read_answer(head);
        return !answer.request_id.empty() && answer.request_id != request_id;
    };
    events.on_head = [&self, key](http1::message_head const& head)
    {
        on_head(self, key, head);
    };
    events.on_body = [&self, key](std::string_view bytes)
    {
        on_body(self, key, bytes);
    };
    events.on_end = [&self, key](http1::call_end const& end)
    {
        on_send_end(self, key, end);
    };
    return events;
}

void send(gateway_state& self, dispatch::decision const& made)
{
    live_call* const call = find_call(self, made.call);
    auto const& one = self.dispatch.upstreams.at(made.upstream);
    auto const now = mono_now();
    call->upstream = one.record.id;
    call->upstream_key = made.upstream;
    ++call->sends;
    http1::client_request request;
    request.server = one.record.where;
    request.method = call->asked.method;
    request.target = call->asked.target;
    request.fields =
        platform::upstream_fields(call->asked, terms_of(*call, made, now));
    request.body = call->asked.body;
    request.connect_timeout = connect_timeout;
    request.timeout =
        std::max(time_left(*call, now), std::chrono::milliseconds{1});
    request.idle_limit = may_repeat(*call) ? idle_limit : once_idle_limit;
    self.log->write(
        event_number::upstream_chosen, call->asked.request_id,
        {{"upstream", call->upstream},
         {"expected_ms", static_cast<std::int64_t>(made.expected_ms)},
         {"weights", static_cast<std::int64_t>(made.weights.value_or(0))},
         {"cached", static_cast<std::int64_t>(made.cached_tokens)},
         {"fetch", made.fetch_from ? to_text(*made.fetch_from) : "none"}});
    call->send = self.upstreams->start(
        std::move(request), events_of(self, made.call, call->asked.request_id));
}

} // namespace

live_call* find_call(gateway_state& self, dispatch::call_key key)
{
    auto const found = self.live.find(key);
    return found == self.live.end() ? nullptr : &found->second;
}

void apply(gateway_state& self, dispatch::decision const& made)
{
    live_call* const call = find_call(self, made.call);
    if (call == nullptr)
        return;
    if (made.what == dispatch::action::send)
    {
        if (self.callers->has_left(call->exchange))
            on_caller_gone(self, call->exchange);
        else
            send(self, made);
        return;
    }
    if (made.what == dispatch::action::hold)
    {
        self.log->write(event_number::request_waits, call->asked.request_id,
                        {{"pool", call->terms.pool},
                         {"waiting", static_cast<std::int64_t>(
                                         self.dispatch.waiting.size())}});
        return;
    }
    problem what;
    what.why = made.why;
    what.outcome = call->outcome;
    what.status = status_of(call->outcome, made.why.code);
    if (call->outcome == verdict::not_run)
        what.retry_after = made.retry_after;
    fail_call(self, made.call, what);
}

void send_again(gateway_state& self, dispatch::call_key key)
{
    live_call* const call = find_call(self, key);
    on_continued(call->events);
    call->body.clear();
    call->is_ignored = false;
    call->is_repeatable_failure = false;
    auto const made = dispatch::submit(self.dispatch, call->terms, mono_now());
    self.log->write(event_number::retry_scheduled, call->asked.request_id,
                    {{"sends", static_cast<std::int64_t>(call->sends)}});
    apply(self, made);
}

void fail_call(gateway_state& self, dispatch::call_key key, problem const& what)
{
    live_call const* const call = find_call(self, key);
    if (call == nullptr)
        return;
    if (call->is_begun)
    {
        self.log->write(event_number::request_failed, call->asked.request_id,
                        {{"verdict", to_name(verdict_names, what.outcome)},
                         {"reason", to_name(what.why.code)},
                         {"why", "response aborted after it had started"}});
        self.callers->abort(call->exchange);
    }
    else
        refuse_request(self, call->exchange, call->asked.request_id, what);
    end_call(self, key);
}

void end_call(gateway_state& self, dispatch::call_key key)
{
    live_call const* const call = find_call(self, key);
    if (call == nullptr)
        return;
    self.by_exchange.erase(call->exchange);
    self.live.erase(key);
}

} // namespace jujubestand::gateway
