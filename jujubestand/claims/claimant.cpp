#include <jujubestand/claims/claimant.hpp>

#include <algorithm>
#include <jujubestand/claims/appends.hpp>
#include <jujubestand/claims/call_states.hpp>
#include <jujubestand/claims/refusal.hpp>

namespace jujubestand::claims
{

namespace
{

// Answers a call whose claim is void once the key's state allows it.
bool settle(claimant& state, std::uint64_t number, moment now,
            claim_effects& effects)
{
    auto const at = state.calls.find(number);
    claimed_call const& call = at->second;
    key_entry const* entry = find(state.window, call.key);
    if (entry == nullptr && !state.options.rules.void_is_final)
    {
        start_call(state, number, now, effects);
        return false;
    }
    if (entry == nullptr)
        effects.push_back(refusal(call.request, reason_code::claim_abandoned));
    else if (entry->body != call.body)
        effects.push_back(
            refusal(call.request, reason_code::claim_body_differs));
    else if (entry->outcome)
        effects.push_back(recorded_answer(call.request, *entry->outcome));
    else
        return false;
    state.calls.erase(at);
    return true;
}

void settle_waiting(claimant& state, moment now, claim_effects& effects)
{
    for (auto at = state.calls.begin(); at != state.calls.end();)
    {
        std::uint64_t const number = at->first;
        bool const is_waiting = at->second.stage == call_stage::waiting;
        ++at;
        if (is_waiting)
            settle(state, number, now, effects);
    }
}

void decide(claimant& state, std::vector<claim_decision> const& decisions,
            moment now, claim_effects& effects)
{
    for (auto const& decision : decisions)
    {
        if (decision.nonce.claimant != state.options.claimant)
            continue;
        if (decision.is_won)
            start_call(state, decision.nonce.number, now, effects);
        else
            void_call(state, decision.nonce.number, now);
    }
}

void fold_record(claimant& state, log_record const& record, moment now,
                 claim_effects& effects)
{
    state.window.log_time = std::max(state.window.log_time, record.appended);
    reason why;
    auto const records = unpack(record.bytes, why);
    if (!records)
    {
        fold_unreadable(state.window, state.options, record.appended);
        return;
    }
    decide(state, fold(state.window, state.options, *records, record.appended),
           now, effects);
}

bool is_decidable(claimant const& state, moment now) noexcept
{
    return state.is_read && now.wall >= state.window.unreadable_until;
}

std::optional<reason_code> refusal_of(claimant const& state,
                                      call_offered const& message, moment now)
{
    claim_options const& options = state.options;
    if (message.key_time > now.wall + options.clock_skew)
        return reason_code::key_from_future;
    if (!state.log_reachable)
        return reason_code::log_unavailable;
    if (!is_decidable(state, now))
        return reason_code::claims_unread;
    if (state.calls.size() >= options.calls_limit ||
        state.window.keys.size() >= options.keys_limit)
        return reason_code::queue_full;
    if (now.mono >= message.deadline)
        return reason_code::deadline_passed;
    return std::nullopt;
}

std::uint64_t add_call(claimant& state, call_offered const& message)
{
    claimed_call call;
    call.request = message.request;
    call.key = message.key;
    call.body = message.body;
    call.deadline = message.deadline;
    state.calls.emplace(++state.last_number, call);
    return state.last_number;
}

// A key that is in the window is answered without a claim of its own.
bool offer_known(claimant& state, call_offered const& message, moment now,
                 claim_effects& effects)
{
    if (find(state.window, message.key) == nullptr)
        return false;
    std::uint64_t const number = add_call(state, message);
    void_call(state, number, now);
    settle(state, number, now, effects);
    return true;
}

// A claim made before a gap may have lost its place to a record that was
// never seen.
void refuse_undecided(claimant& state, claim_effects& effects)
{
    for (auto at = state.calls.begin(); at != state.calls.end();)
    {
        call_stage const stage = at->second.stage;
        if (stage == call_stage::begun)
            ++at;
        else if (stage == call_stage::waiting)
        {
            effects.push_back(
                uncertain(at->second.request, reason_code::claim_unknown));
            at = state.calls.erase(at);
        }
        else
            at = refuse_call(state, at, reason_code::log_truncated, effects);
    }
}

void cross_gap(claimant& state, log_offset first, claim_effects& effects)
{
    if (!state.options.rules.gap_clears_window)
    {
        state.window.next = first;
        return;
    }
    bool const is_first_read = state.window.next == log_offset{};
    restart(state.window, first);
    state.is_read = false;
    if (!is_first_read)
        refuse_undecided(state, effects);
}

void expire_calls(claimant& state, moment now, claim_effects& effects)
{
    for (auto at = state.calls.begin(); at != state.calls.end();)
    {
        claimed_call const& call = at->second;
        bool const is_held = call.stage == call_stage::begun &&
                             state.options.rules.begun_is_kept;
        bool const is_due = !is_held && now.mono >= call.answer_by;
        if (!is_due)
            ++at;
        else if (call.stage == call_stage::waiting)
        {
            effects.push_back(
                uncertain(call.request, reason_code::claim_pending));
            at = state.calls.erase(at);
        }
        else
            at = refuse_call(state, at,
                             state.log_reachable ? reason_code::deadline_passed
                                                 : reason_code::log_unavailable,
                             effects);
    }
}

void add_flush(claimant& state, moment now, claim_effects& effects)
{
    if (auto wanted = flush(state, now))
        effects.push_back(std::move(*wanted));
}

// The answer names the offset, so the own batch can be folded without
// waiting for the read, if all before it has been folded.
void fold_own(claimant& state, batch const& records, log_offset offset,
              moment now, claim_effects& effects)
{
    if (!state.options.rules.decides_by_log_order)
    {
        for (auto const& claim : records.claims)
            start_call(state, claim.nonce.number, now, effects);
        return;
    }
    if (!state.is_read || offset != state.window.next)
        return;
    // The reply has no time of the record: one that is too late is harmless.
    auto const appended = std::max(state.window.log_time, now.wall);
    decide(state, fold(state.window, state.options, records, appended), now,
           effects);
    settle_waiting(state, now, effects);
}

} // namespace

claim_effects offer(claimant& state, call_offered const& message, moment now)
{
    claim_effects effects;
    if (offer_known(state, message, now, effects))
        return effects;
    if (message.key_time + state.options.accepted_age < now.wall)
    {
        effects.push_back(uncertain(message.request, reason_code::key_too_old));
        return effects;
    }
    if (auto const code = refusal_of(state, message, now))
    {
        effects.push_back(refusal(message.request, *code));
        return effects;
    }
    std::uint64_t const number = add_call(state, message);
    state.calls[number].answer_by =
        std::min(message.deadline, now.mono + state.options.claim_wait);
    add_flush(state, now, effects);
    return effects;
}

claim_effects end(claimant& state, call_ended const& message, moment now)
{
    claim_effects effects;
    auto const at = find_call(state, message.request);
    if (at == state.calls.end() || at->second.stage != call_stage::begun)
        return effects;
    std::uint64_t const number = at->first;
    digest const key = at->second.key;
    state.calls.erase(at);
    if (message.outcome.result == verdict::not_run)
        queue_abandon(state, number, key);
    else
        state.outcomes.push_back(
            {nonce_of(state, number), key, message.outcome});
    add_flush(state, now, effects);
    return effects;
}

claim_effects cancel(claimant& state, call_cancelled const& message, moment now)
{
    claim_effects effects;
    auto const at = find_call(state, message.request);
    if (at == state.calls.end() || at->second.stage == call_stage::begun)
        return effects;
    if (at->second.stage == call_stage::undecided)
        queue_abandon(state, at->first, at->second.key);
    state.calls.erase(at);
    add_flush(state, now, effects);
    return effects;
}

claim_effects answer(claimant& state, append_answered const& message,
                     moment now)
{
    claim_effects effects;
    if (!state.flight || state.flight->id != message.id)
        return effects;
    batch records = std::move(state.flight->records);
    state.flight.reset();
    state.log_reachable = message.offset.has_value();
    if (message.offset)
        fold_own(state, records, *message.offset, now, effects);
    else
    {
        state.next_append = now.mono + state.options.append_pause;
        take_back(state, std::move(records));
    }
    add_flush(state, now, effects);
    return effects;
}

claim_effects read(claimant& state, records_read const& message, moment now)
{
    claim_effects effects;
    state.log_reachable = true;
    if (state.window.next < message.first)
        cross_gap(state, message.first, effects);
    for (auto const& record : message.records)
    {
        if (record.offset < state.window.next)
            continue;
        if (record.offset > state.window.next)
            cross_gap(state, record.offset, effects);
        fold_record(state, record, now, effects);
    }
    state.is_read = state.is_read || state.window.next >= message.next;
    settle_waiting(state, now, effects);
    expire(state.window, state.options, state.window.log_time);
    add_flush(state, now, effects);
    return effects;
}

claim_effects fail_read(claimant& state, read_failed const& message, moment now)
{
    (void)message;
    state.log_reachable = false;
    return tick(state, now);
}

claim_effects tick(claimant& state, moment now)
{
    claim_effects effects;
    expire_calls(state, now, effects);
    add_flush(state, now, effects);
    return effects;
}

std::optional<mono_time> next_tick(claimant const& state)
{
    std::optional<mono_time> due;
    auto const consider = [&due](mono_time at)
    {
        due = due ? std::min(*due, at) : at;
    };
    for (auto const& [number, call] : state.calls)
    {
        if (call.stage != call_stage::begun)
            consider(call.answer_by);
    }
    if (!state.flight && has_waiting(state))
        consider(state.next_append);
    return due;
}

bool has_unwritten(claimant const& state) noexcept
{
    return state.flight.has_value() || has_waiting(state);
}

} // namespace jujubestand::claims
