#include <algorithm>
#include <jujubestand/orders/slots.hpp>

namespace jujubestand::orders
{

namespace
{

// Keeps outcomes long enough for the claimants to look them up.
constexpr std::size_t claim_outcomes_limit = 4'096;

// The holder may be paused after it started its load, so a slot that is not
// released is kept until the load must have ended.
std::chrono::milliseconds slot_lifetime(slot_options const& options)
{
    return options.start_timeout + options.load_timeout +
           options.max_clock_difference;
}

// Uses the timestamps of the log, so that all readers free a slot at the same
// record.
void expire_slots(slot_table& state, wall_time record_time)
{
    auto const limit = slot_lifetime(state.options);
    std::erase_if(state.held_slots,
                  [record_time, limit](held_slot const& slot)
                  {
                      return record_time - slot.claimed_at >= limit;
                  });
}

void decide_claim(slot_table& state, slot_claim const& claim,
                  platform::log_record const& entry)
{
    // A claim may be appended more than once; only its first record counts.
    if (claim.pool != state.pool || state.claim_outcomes.contains(claim.nonce))
        return;
    bool const is_granted =
        state.held_slots.size() < state.options.max_concurrent_loads;
    if (state.claim_outcomes.size() >= claim_outcomes_limit)
        state.claim_outcomes.clear();
    state.claim_outcomes[claim.nonce] = is_granted;
    if (is_granted)
        state.held_slots.push_back(
            {claim.nonce, claim.upstream, entry.offset, entry.appended});
}

void release_slot(slot_table& state, slot_release const& released)
{
    std::erase_if(state.held_slots,
                  [&released](held_slot const& slot)
                  {
                      return slot.nonce == released.nonce;
                  });
}

} // namespace

void apply_record(slot_table& state, platform::log_record const& entry)
{
    if (entry.offset < state.next_offset)
        return;
    state.next_offset = log_offset(entry.offset.value + 1);
    expire_slots(state, entry.appended);
    reason why;
    auto const content = unpack_record(entry.bytes, why);
    if (!content)
        return;
    if (auto const* claim = std::get_if<slot_claim>(&*content))
        decide_claim(state, *claim, entry);
    if (auto const* released = std::get_if<slot_release>(&*content))
        release_slot(state, *released);
}

std::optional<bool> claim_outcome(slot_table const& state,
                                  request_id const& nonce)
{
    auto const found = state.claim_outcomes.find(nonce);
    if (found == state.claim_outcomes.end())
        return std::nullopt;
    return found->second;
}

// The time runs from before the append, so the log cannot have stored the claim
// earlier.
bool may_start_load(slot_table const& state, request_id const& nonce,
                    mono_time claim_sent_at, mono_time now)
{
    bool const is_held = std::ranges::any_of(state.held_slots,
                                             [&nonce](held_slot const& slot)
                                             {
                                                 return slot.nonce == nonce;
                                             });
    return is_held && now - claim_sent_at < state.options.start_timeout;
}

} // namespace jujubestand::orders
