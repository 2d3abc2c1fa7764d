#include <algorithm>
#include <jujubestand/orders/lease.hpp>

namespace jujubestand::orders
{

namespace
{

bool refuse(reason& why, char const* text)
{
    why = {reason_code::lease_lost, text, {}};
    return false;
}

void take_start(lease& state, start_record const& made, log_offset offset,
                mono_time now)
{
    if (made.upstream != state.upstream)
        return;
    bool const is_own = made.nonce == state.nonce;
    // An append may be repeated; the first offset of the own record counts.
    if (is_own && state.fence == log_offset{})
    {
        state.fence = offset;
        state.started = now;
    }
    if (!is_own && state.fence != log_offset{})
        state.is_superseded = true;
}

} // namespace

void on_batch(lease& state, platform::log_batch const& batch,
              mono_time read_began, mono_time now)
{
    for (auto const& read : batch.records)
    {
        if (read.offset < state.next)
            continue;
        state.next = log_offset(read.offset.value + 1);
        reason why;
        auto const content = unpack_record(read.bytes, why);
        if (!content)
            continue;
        if (auto const* made = std::get_if<start_record>(&*content))
            take_start(state, *made, read.offset, now);
    }
    // Records removed from the log before they were read may include a
    // successor's start.
    if (state.fence != log_offset{} && batch.first_kept > state.next)
        state.is_superseded = true;
    if (state.fence != log_offset{} && state.next >= batch.next)
        state.confirmed =
            std::max(state.confirmed.value_or(read_began), read_began);
}

// The previous holder's last confirming read began before this sidecar's start
// was on the log, so its lease ends at most one lease duration after that
// start was read back.
bool may_order(lease const& state, bool has_fencing, mono_time now, reason& why)
{
    if (state.fence == log_offset{})
        return refuse(why,
                      "the start record is not yet read back from the log");
    if (state.is_superseded)
        return refuse(why, "a later sidecar has started");
    if (!state.confirmed || now - *state.confirmed >= state.options.lease)
        return refuse(why, "the lease is not confirmed by the log");
    auto const& options = state.options;
    auto const wait = options.lease + options.order_limit + options.drift;
    if (!has_fencing && now - state.started < wait)
        return refuse(why,
                      "an order of an earlier sidecar may still take effect");
    return true;
}

} // namespace jujubestand::orders
