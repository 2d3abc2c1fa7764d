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

void apply_start(lease& state, start_record const& start, log_offset offset,
                 mono_time now)
{
    if (start.upstream != state.upstream)
        return;
    bool const is_own = start.nonce == state.nonce;
    // An append may be repeated; the first offset of the record counts.
    if (is_own && state.fencing_number == log_offset{})
    {
        state.fencing_number = offset;
        state.start_read_at = now;
    }
    if (!is_own && state.fencing_number != log_offset{})
        state.is_superseded = true;
}

} // namespace

void on_batch(lease& state, platform::log_batch const& batch,
              mono_time read_began, mono_time now)
{
    for (auto const& entry : batch.records)
    {
        if (entry.offset < state.next_offset)
            continue;
        state.next_offset = log_offset(entry.offset.value + 1);
        reason why;
        auto const content = unpack_record(entry.bytes, why);
        if (!content)
            continue;
        if (auto const* start = std::get_if<start_record>(&*content))
            apply_start(state, *start, entry.offset, now);
    }
    // Records removed from the log before they were read may include a
    // successor's start.
    if (state.fencing_number != log_offset{} &&
        batch.first_kept > state.next_offset)
        state.is_superseded = true;
    if (state.fencing_number != log_offset{} && state.next_offset >= batch.next)
        state.confirmed_at =
            std::max(state.confirmed_at.value_or(read_began), read_began);
}

// The previous holder's last confirming read began before this sidecar's start
// was on the log, so its lease ends at most one lease duration after that
// start was read back.
bool may_send_order(lease const& state, bool has_fencing, mono_time now,
                    reason& why)
{
    if (state.fencing_number == log_offset{})
        return refuse(why,
                      "the start record is not yet read back from the log");
    if (state.is_superseded)
        return refuse(why, "a later sidecar has started");
    if (!state.confirmed_at ||
        now - *state.confirmed_at >= state.options.duration)
        return refuse(why, "the lease is not confirmed by the log");
    auto const& options = state.options;
    auto const wait =
        options.duration + options.order_timeout + options.max_clock_drift;
    if (!has_fencing && now - state.start_read_at < wait)
        return refuse(why,
                      "an order of an earlier sidecar may still take effect");
    return true;
}

} // namespace jujubestand::orders
