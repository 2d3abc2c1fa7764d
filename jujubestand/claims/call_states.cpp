#include <jujubestand/claims/call_states.hpp>

#include <algorithm>
#include <jujubestand/claims/refusal.hpp>

namespace jujubestand::claims
{

call_place find_call(claimant& state, request_id const& request)
{
    return std::find_if(state.calls.begin(), state.calls.end(),
                        [&](auto const& row)
                        {
                            return row.second.request == request;
                        });
}

claim_nonce nonce_of(claimant const& state, std::uint64_t number)
{
    return claim_nonce{state.options.claimant, number};
}

void queue_abandon(claimant& state, std::uint64_t number, digest const& key)
{
    state.abandons.push_back({nonce_of(state, number), key});
}

// A claim that may be on the log is taken back there, so that the key is
// free again; this claimant can no longer run the call, whatever lands late.
call_place refuse_call(claimant& state, call_place at, reason_code code,
                       claim_effects& effects)
{
    claimed_call& call = at->second;
    effects.push_back(refusal(call.request, code));
    if (call.stage != call_stage::unsent)
        queue_abandon(state, at->first, call.key);
    if (state.options.rules.refused_is_dropped)
        return state.calls.erase(at);
    call.answer_by = mono_time::max();
    return std::next(at);
}

void start_call(claimant& state, std::uint64_t number, moment now,
                claim_effects& effects)
{
    auto const at = state.calls.find(number);
    if (at == state.calls.end() || at->second.stage == call_stage::begun)
        return;
    // A record that could not be read may have claimed the key before.
    bool const is_readable = now.wall >= state.window.unreadable_until;
    if (!is_readable || now.mono >= at->second.deadline)
    {
        refuse_call(state, at,
                    is_readable ? reason_code::deadline_passed
                                : reason_code::claims_unread,
                    effects);
        return;
    }
    at->second.stage = call_stage::begun;
    at->second.needs_append = false;
    effects.push_back(start_wanted{at->second.request});
}

void void_call(claimant& state, std::uint64_t number, moment now)
{
    auto const at = state.calls.find(number);
    if (at == state.calls.end())
        return;
    claimed_call& call = at->second;
    call.stage = call_stage::waiting;
    call.needs_append = false;
    call.answer_by =
        std::min(call.deadline, now.mono + state.options.outcome_wait);
}

} // namespace jujubestand::claims
