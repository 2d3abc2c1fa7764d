#include <jujubestand/gateway/migration.hpp>

#include <jujubestand/dispatch/dispatch.hpp>
#include <jujubestand/dispatch/standing.hpp>
#include <jujubestand/dispatch/upstreams.hpp>
#include <jujubestand/gateway/crashes.hpp>
#include <jujubestand/gateway/retries.hpp>
#include <jujubestand/gateway/sends.hpp>
#include <jujubestand/gateway/upstream_responses.hpp>

namespace jujubestand::gateway
{

namespace
{

// Migrations leave half of the retry budget to failed attempts.
bool can_afford_migration(gateway_state& state, active_call const& call,
                          mono_time now)
{
    auto const& pool = call.dispatch_call.pool;
    return state.retry_budgets[pool].tokens >=
           retry_budget_limit(state, pool, now) / 2;
}

void cancel_attempt(gateway_state& state, active_call& call,
                    dispatch::send_outcome outcome, mono_time now)
{
    record_unanswered(state, call);
    state.upstream_client->cancel(call.upstream_call);
    call.upstream_call = http1::call_id{};
    call.outcome = worst(call.outcome, verdict::may_have_run);
    count_possible_run(call, outcome);
    dispatch::on_send_end(state.dispatch, call.dispatch_call.key, outcome, now);
}

void migrate_stream(gateway_state& state, dispatch::call_key key)
{
    active_call* const call = find_call(state, key);
    auto const now = mono_now();
    bool const is_migratable = call != nullptr && !state.is_draining &&
                               call->route.kind == traffic::call_kind::stream &&
                               is_retryable(*call);
    if (!is_migratable ||
        !dispatch::has_alternative(state.dispatch, call->dispatch_call,
                                   call->upstream_key, now) ||
        call->possible_runs + 1 >= call->route.attempts_limit ||
        !can_afford_migration(state, *call, now) ||
        acquire_retry(state, *call, dispatch::send_outcome::cancelled, now) !=
            reason_code::none)
        return;
    cancel_attempt(state, *call, dispatch::send_outcome::cancelled, now);
    retry_call(state, key);
}

// An engine that has not begun the call for so long counts as failing.
void withdraw_call(gateway_state& state, dispatch::call_key key, mono_time now)
{
    active_call* const call = find_call(state, key);
    if (call == nullptr)
        return;
    constexpr auto outcome = dispatch::send_outcome::cut;
    cancel_attempt(state, *call, outcome, now);
    end_failed_attempt(state, key, outcome,
                       reason{reason_code::upstream_timeout,
                              "call not begun before the limit of its weights",
                              {}});
}

// The silence of its engine alone is no reason to fail a call.
void move_stranded_call(gateway_state& state, dispatch::call_key key,
                        mono_time now)
{
    active_call* const call = find_call(state, key);
    constexpr auto outcome = dispatch::send_outcome::cut;
    if (call == nullptr || !is_retryable(*call) ||
        call->possible_runs + 1 >= call->route.attempts_limit ||
        acquire_retry(state, *call, outcome, now) != reason_code::none)
        return;
    state.log->write(
        event_number::attempt_failed, call->caller_request.request_id,
        {{"upstream", call->upstream},
         {"outcome", to_name(dispatch::send_outcome_names, outcome)},
         {"why", "engine stands still"},
         {"again", "yes"}});
    cancel_attempt(state, *call, outcome, now);
    retry_call(state, key);
}

} // namespace

void migrate_streams(gateway_state& state, dispatch::upstream_key source)
{
    std::vector<dispatch::call_key> keys;
    for (auto const& [key, attempt] : state.dispatch.sends)
    {
        if (attempt.upstream == source)
            keys.push_back(key);
    }
    for (auto const key : keys)
        migrate_stream(state, key);
}

void withdraw_overdue_calls(gateway_state& state)
{
    auto const now = mono_now();
    for (auto const key : dispatch::overdue_calls(state.dispatch, now))
        withdraw_call(state, key, now);
}

void move_stranded_calls(gateway_state& state)
{
    auto const now = mono_now();
    for (auto const key : dispatch::stranded_calls(state.dispatch, now))
        move_stranded_call(state, key, now);
}

} // namespace jujubestand::gateway
