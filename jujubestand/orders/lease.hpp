#ifndef JUJUBESTAND_ORDERS_LEASE_HPP
#define JUJUBESTAND_ORDERS_LEASE_HPP

#include <chrono>
#include <cstdint>
#include <jujubestand/core/ids.hpp>
#include <jujubestand/core/time.hpp>
#include <jujubestand/orders/records.hpp>
#include <jujubestand/platform/log_record.hpp>
#include <optional>

namespace jujubestand::orders
{

/// \brief How long a right to give orders lasts.
struct lease_options
{
    /// From the beginning of the read that confirmed it.
    std::chrono::milliseconds lease{3'000};
    /// An order that has no effect by then never has one.
    std::chrono::milliseconds order_limit{5'000};
    /// Clocks of two processes may drift apart by this within both.
    std::chrono::milliseconds drift{100};
};

/// \brief One sidecar's right to give orders to its engine.
struct lease
{
    lease_options options;
    upstream_id upstream;
    /// Nonce of its own start record.
    request_id nonce;
    /// Offset of its start record; 0 until that was read back.
    log_offset fence;
    /// When it read its own record back.
    mono_time started{};
    /// A later start of the same upstream was read: this life is over.
    bool is_superseded = false;
    /// Beginning of the newest read that reached the log's end without one.
    std::optional<mono_time> confirmed;
    /// Reads up to here are in it.
    log_offset next{1};
};

/// \brief Takes a batch of the `orders` stream in.
/// \param read_began when the read that returned it was sent
void on_batch(lease& state, platform::log_batch const& batch,
              mono_time read_began, mono_time now);

/// \brief Whether an order may be sent now.
/// \param has_fencing the engine refuses old fencing numbers
/// \returns false, with `why` set, otherwise; for an engine without fencing
/// a new life also waits out its predecessor's lease and last order
[[nodiscard]] bool may_order(lease const& state, bool has_fencing,
                             mono_time now, reason& why);

} // namespace jujubestand::orders

#endif
