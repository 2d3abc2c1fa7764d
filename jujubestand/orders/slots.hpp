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

/// \brief Limits of the weight loads of one pool.
struct slot_options
{
    std::uint32_t max_concurrent_loads = 2;
    /// Time within which a granted load must be ordered, from the append of its
    /// claim.
    std::chrono::milliseconds start_timeout{5'000};
    /// Time within which an ordered load has ended, successfully or not.
    std::chrono::milliseconds load_timeout{600'000};
    /// Maximum difference between clocks.
    std::chrono::milliseconds max_clock_difference{500};
};

/// \brief A slot in use; the same for all readers of the stream.
struct held_slot
{
    request_id nonce;
    upstream_id upstream;
    log_offset claim_offset;
    /// Time of the append, by the clock of the log service.
    wall_time claimed_at{};
};

/// \brief The slots of one pool, computed from the stream.
struct slot_table
{
    slot_options options;
    pool_id pool;
    std::vector<held_slot> held_slots;
    /// Whether each decided claim was granted.
    std::map<request_id, bool> claim_outcomes;
    log_offset next_offset{1};
};

/// \brief Applies one record; records that were already applied are ignored.
void apply_record(slot_table& state, platform::log_record const& entry);

/// \brief Whether a claim was granted; nothing if it was not read yet.
[[nodiscard]] std::optional<bool> claim_outcome(slot_table const& state,
                                                request_id const& nonce);

/// \brief Whether a granted load may still be ordered.
/// \param claim_sent_at when the append of the claim was sent, by the local
/// clock
[[nodiscard]] bool may_start_load(slot_table const& state,
                                  request_id const& nonce,
                                  mono_time claim_sent_at, mono_time now);

} // namespace jujubestand::orders

#endif
