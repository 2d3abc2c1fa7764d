#ifndef JUJUBESTAND_GATEWAY_ORDER_LEASE_HPP
#define JUJUBESTAND_GATEWAY_ORDER_LEASE_HPP

#include <chrono>
#include <cstdint>
#include <jujubestand/core/time.hpp>
#include <optional>

namespace jujubestand::gateway
{

/// \brief End of a topic of the store.
struct topic_end
{
    /// Rises when the store returns from an older copy.
    std::uint64_t era = 0;
    std::uint64_t offset = 0;
};

/// \brief A lease that one gateway at a time holds, kept by appends to a topic
/// of the store.
///
/// The holder appends a record now and then. Each append states the offset at
/// which the topic has to end, so another gateway's append succeeds only if the
/// holder has appended nothing since that gateway saw the end.
struct order_lease
{
    /// The lease lapses this long after the holder's last append.
    std::chrono::milliseconds duration{3'000};
    bool is_held = false;
    /// When the append that confirmed the lease last was sent.
    mono_time confirmed_at{};
    /// End of the topic, and when it was seen first; empty until it is known.
    std::optional<topic_end> end;
    mono_time end_seen_at{};
    /// When the append in flight was sent.
    std::optional<mono_time> sent_at;
    /// No append before this time.
    mono_time retry_at{};
};

/// \brief How an append ended.
struct lease_append_end
{
    /// Offset of the record; empty if it was not appended, or may not be.
    std::optional<std::uint64_t> offset;
    /// End of the topic, if it was not the stated one.
    std::optional<std::uint64_t> other_end;
    std::uint64_t era = 0;
};

/// \brief Whether this gateway holds the lease.
[[nodiscard]] bool is_valid(order_lease const& lease, mono_time now) noexcept;

/// \brief The append that is due, as the offset at which the topic has to end;
/// records it as sent.
/// \param is_wanted this gateway wants to take the lease, or to keep it
[[nodiscard]] std::optional<std::uint64_t>
next_append(order_lease& lease, bool is_wanted, mono_time now);

/// \brief Handles the end of the append in flight.
/// \returns whether this gateway has just taken the lease
bool on_append_end(order_lease& lease, lease_append_end const& end,
                   mono_time now);

} // namespace jujubestand::gateway

#endif
