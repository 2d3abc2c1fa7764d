#include <jujubestand/gateway/order_lease.hpp>

namespace jujubestand::gateway
{

namespace
{

/// The holder counts the lease as lapsed this long before others may.
constexpr std::chrono::milliseconds validity_margin{500};
constexpr std::chrono::milliseconds renewal_interval{1'000};
/// Delay after an append without an answer.
constexpr std::chrono::milliseconds retry_delay{300};

void see_end(order_lease& lease, topic_end const& end, mono_time now)
{
    lease.end = end;
    lease.end_seen_at = now;
}

} // namespace

bool is_valid(order_lease const& lease, mono_time now) noexcept
{
    return lease.is_held &&
           now - lease.confirmed_at < lease.duration - validity_margin;
}

// A topic that nobody has appended to yet has no holder; else the last holder
// has lapsed once the topic has had the same end for as long as a lease holds.
std::optional<std::uint64_t> next_append(order_lease& lease, bool is_wanted,
                                         mono_time now)
{
    if (!is_valid(lease, now))
        lease.is_held = false;
    if (lease.sent_at || !is_wanted || now < lease.retry_at)
        return std::nullopt;
    bool const is_due =
        lease.is_held ? now - lease.confirmed_at >= renewal_interval
                      : !lease.end || now - lease.end_seen_at >= lease.duration;
    if (!is_due)
        return std::nullopt;
    lease.sent_at = now;
    return lease.end ? lease.end->offset : 0;
}

bool on_append_end(order_lease& lease, lease_append_end const& end,
                   mono_time now)
{
    auto const sent_at = lease.sent_at.value_or(now);
    lease.sent_at.reset();
    if (end.other_end)
    {
        see_end(lease, {end.era, *end.other_end}, now);
        lease.is_held = false;
        return false;
    }
    if (!end.offset)
    {
        lease.retry_at = now + retry_delay;
        return false;
    }
    // In another era the topic may have reached this end by other records.
    bool const is_same_topic =
        *end.offset == 0 || (lease.end && lease.end->era == end.era);
    bool const was_held = lease.is_held;
    see_end(lease, {end.era, *end.offset + 1}, now);
    lease.is_held = is_same_topic;
    lease.confirmed_at = sent_at;
    return is_same_topic && !was_held;
}

} // namespace jujubestand::gateway
