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
    std::uint32_t limit = 2;
    /// Time within which a granted load must be ordered, from the append of its
    /// claim.
    std::chrono::milliseconds start_limit{5'000};
    /// Time within which an ordered load has ended, successfully or not.
    std::chrono::milliseconds load_limit{600'000};
    /// Maximum difference between clocks.
    std::chrono::milliseconds drift{500};
};

/// \brief A slot in use; the same for all readers of the stream.
struct held_slot
{
    request_id nonce;
    upstream_id upstream;
    log_offset claim;
    /// Time of the append, by the clock of the log service.
    wall_time claimed{};
};

/// \brief The slots of one pool, computed from the stream.
struct slots
{
    slot_options options;
    pool_id pool;
    std::vector<held_slot> held;
    /// Whether each decided claim was granted.
    std::map<request_id, bool> decided;
    log_offset next{1};
};

/// \brief Applies one record; records that were already applied are ignored.
void take(slots& state, platform::log_record const& read);

/// \brief Whether a claim was granted; nothing if it was not read yet.
[[nodiscard]] std::optional<bool> outcome_of(slots const& state,
                                             request_id const& nonce);

/// \brief Whether a granted load may still be ordered.
/// \param sent when the append of the claim was sent, by the local clock
[[nodiscard]] bool may_load(slots const& state, request_id const& nonce,
                            mono_time sent, mono_time now);

} // namespace jujubestand::orders

#endif
