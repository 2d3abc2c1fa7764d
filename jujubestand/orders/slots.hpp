#ifndef JUJUBESTAND_ORDERS_SLOTS_HPP
#define JUJUBESTAND_ORDERS_SLOTS_HPP

#include <chrono>
#include <cstdint>
#include <jujubestand/core/ids.hpp>
#include <jujubestand/core/time.hpp>
#include <jujubestand/orders/records.hpp>
#include <jujubestand/platform/log_record.hpp>
#include <map>
#include <optional>
#include <vector>

namespace jujubestand::orders
{

/// \brief Limits of one pool's weight loads.
struct slot_options
{
    std::uint32_t limit = 2;
    /// A granted load must have been ordered within this.
    std::chrono::milliseconds start_limit{5'000};
    /// A load that was ordered has ended by then, one way or the other.
    std::chrono::milliseconds load_limit{600'000};
    /// What clocks may differ by.
    std::chrono::milliseconds drift{500};
};

/// \brief One slot in use, as all readers of the stream see it.
struct held_slot
{
    request_id nonce;
    upstream_id upstream;
    log_offset claim;
    /// By the log service's clock.
    wall_time claimed{};
};

/// \brief The slots of one pool, folded from the stream.
struct slots
{
    slot_options options;
    pool_id pool;
    std::vector<held_slot> held;
    /// Claims that were decided, and whether they were granted.
    std::map<request_id, bool> decided;
    log_offset next{1};
};

/// \brief Takes one record in; records that were read before are ignored.
void take(slots& state, platform::log_record const& read);

/// \brief Whether a claim was granted; nothing while it was not read.
[[nodiscard]] std::optional<bool> outcome_of(slots const& state,
                                             request_id const& nonce);

/// \brief Whether a granted load may still be ordered.
/// \param sent when the claim's append was sent, by our own clock
[[nodiscard]] bool may_load(slots const& state, request_id const& nonce,
                            mono_time sent, mono_time now);

} // namespace jujubestand::orders

#endif
