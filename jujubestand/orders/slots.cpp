#include <algorithm>
#include <jujubestand/orders/slots.hpp>

namespace jujubestand::orders
{

namespace
{

// Keeps outcomes long enough for the claimants to look them up.
constexpr std::size_t decided_limit = 4'096;

// The holder may be paused after it started its load, so a slot that is not
// released is kept until the load must have ended.
std::chrono::milliseconds lifetime(slot_options const& options)
{
    return options.start_limit + options.load_limit + options.drift;
}

// Uses the time stamps of the log, so that all readers free a slot at the same
// record.
void expire(slots& state, wall_time at)
{
    auto const limit = lifetime(state.options);
    std::erase_if(state.held,
                  [at, limit](held_slot const& one)
                  {
                      return at - one.claimed >= limit;
                  });
}

void grant(slots& state, slot_claim const& made,
           platform::log_record const& read)
{
    // A claim may be appended more than once; only its first record counts.
    if (made.pool != state.pool || state.decided.contains(made.nonce))
        return;
    bool const is_granted = state.held.size() < state.options.limit;
    if (state.decided.size() >= decided_limit)
        state.decided.clear();
    state.decided[made.nonce] = is_granted;
    if (is_granted)
        state.held.push_back(
            {made.nonce, made.upstream, read.offset, read.appended});
}

void release(slots& state, slot_release const& made)
{
    std::erase_if(state.held,
                  [&made](held_slot const& one)
                  {
                      return one.nonce == made.nonce;
                  });
}

} // namespace

void take(slots& state, platform::log_record const& read)
{
    if (read.offset < state.next)
        return;
    state.next = log_offset(read.offset.value + 1);
    expire(state, read.appended);
    reason why;
    auto const content = unpack_record(read.bytes, why);
    if (!content)
        return;
    if (auto const* made = std::get_if<slot_claim>(&*content))
        grant(state, *made, read);
    if (auto const* made = std::get_if<slot_release>(&*content))
        release(state, *made);
}

std::optional<bool> outcome_of(slots const& state, request_id const& nonce)
{
    auto const found = state.decided.find(nonce);
    if (found == state.decided.end())
        return std::nullopt;
    return found->second;
}

// The time runs from before the append, so the log cannot have stored the claim
// earlier.
bool may_load(slots const& state, request_id const& nonce, mono_time sent,
              mono_time now)
{
    bool const is_held = std::ranges::any_of(state.held,
                                             [&nonce](held_slot const& one)
                                             {
                                                 return one.nonce == nonce;
                                             });
    return is_held && now - sent < state.options.start_limit;
}

} // namespace jujubestand::orders
