#include <jujubestand/gateway/stop.hpp>

#include <event2/event.h>
#include <jujubestand/dispatch/dispatch.hpp>
#include <jujubestand/dispatch/upstreams.hpp>
#include <jujubestand/gateway/crashes.hpp>
#include <jujubestand/gateway/sends.hpp>
#include <vector>

namespace jujubestand::gateway
{

namespace
{

constexpr std::chrono::milliseconds stop_check_interval{50};

/// After SIGTERM the load balancer still routes callers here until its health
/// check fails.
constexpr std::chrono::milliseconds stop_notice{2'300};

/// Time after the start of a stop during which all calls are accepted.
constexpr std::chrono::milliseconds accept_time{2'500};

/// Part of the grace period reserved for writing the last answers.
constexpr std::chrono::milliseconds answer_margin{600};

/// Part of the grace period reserved for the end of the process.
constexpr std::chrono::milliseconds exit_margin{400};

/// Callers may retry at another gateway at once.
constexpr std::chrono::milliseconds draining_retry_after{50};

stop_schedule schedule_of(gateway_state const& state)
{
    return {state.drain_started_at, state.settings.limits.stop_grace};
}

// Answers a call that is open when the grace period ends: a connection that
// closes without an answer leaves its caller not knowing whether it ran.
void end_open_call(gateway_state& state, dispatch::call_key key)
{
    active_call* const call = find_call(state, key);
    if (call == nullptr)
        return;
    problem error = draining_problem();
    if (call->upstream_call != http1::call_id{})
    {
        record_unanswered(state, *call);
        state.upstream_client->cancel(call->upstream_call);
        call->upstream_call = http1::call_id{};
        call->outcome = worst(call->outcome, verdict::may_have_run);
        dispatch::on_send_end(state.dispatch, key,
                              dispatch::send_outcome::cancelled, mono_now());
    }
    dispatch::remove_waiting(state.dispatch, key);
    error.outcome = call->outcome;
    error.status = status_of(call->outcome, reason_code::deadline_passed);
    if (call->outcome != verdict::not_run)
        error.retry_after.reset();
    fail_call(state, key, error);
}

void end_open_calls(gateway_state& state)
{
    std::vector<dispatch::call_key> keys;
    for (auto const& [key, call] : state.active_calls)
        keys.push_back(key);
    state.calls_cut += keys.size();
    for (auto const key : keys)
        end_open_call(state, key);
}

} // namespace

mono_time last_answer_time(stop_schedule const& stop) noexcept
{
    return stop.started_at + stop.grace - answer_margin;
}

// The load balancer may route callers here until the process ends. Later calls
// are accepted only if they end by their own deadline before the stop does. The
// queueing time of a prompt at an engine is unknown, and its answer can't be
// replaced once it has begun, so prompts are not accepted late.
bool is_accepted(stop_schedule const& stop, mono_time arrived_at,
                 mono_time deadline, bool is_prompt) noexcept
{
    if (arrived_at - stop.started_at < accept_time)
        return true;
    return !is_prompt && deadline <= last_answer_time(stop);
}

bool accepts_call(gateway_state const& state, active_call const& call)
{
    return !state.is_draining ||
           is_accepted(schedule_of(state), call.arrived_at, call.deadline,
                       call.dispatch_call.model_prompt.has_value());
}

problem draining_problem()
{
    problem error;
    error.why = reason{reason_code::draining, "gateway is draining", {}};
    error.retry_after = draining_retry_after;
    return error;
}

void begin_stop(gateway_state& state)
{
    if (state.is_draining)
        return;
    state.is_draining = true;
    state.drain_started_at = mono_now();
    state.log->write(
        event_number::drain_started, {},
        {{"open_calls", static_cast<std::int64_t>(state.active_calls.size())}});
    state.caller_server->drain();
    state.stop_timer->start_every(stop_check_interval);
}

void check_stop(gateway_state& state)
{
    auto const now = mono_now();
    auto const since = now - state.drain_started_at;
    if (now >= last_answer_time(schedule_of(state)))
        end_open_calls(state);
    bool const is_idle =
        state.caller_server->busy() == 0 && since >= stop_notice;
    // Two idle checks in a row: connections that were pending at the listener
    // during the first check are counted as busy by the second.
    bool const is_done = is_idle && state.was_idle;
    state.was_idle = is_idle;
    if (is_done || since >= state.settings.limits.stop_grace - exit_margin)
        event_base_loopbreak(state.base);
}

} // namespace jujubestand::gateway
