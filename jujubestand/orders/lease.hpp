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

/// \brief Durations of a lease and of the orders sent under it.
struct lease_options
{
    /// Validity, counted from the start of the read that confirmed the lease.
    std::chrono::milliseconds duration{3'000};
    /// An order that has not taken effect within this time never does.
    std::chrono::milliseconds order_timeout{5'000};
    /// Maximum drift between the clocks of two processes over the sum of both
    /// durations.
    std::chrono::milliseconds max_clock_drift{100};
};

/// \brief One sidecar's lease, which allows it to send orders to its engine.
struct lease
{
    lease_options options;
    upstream_id upstream;
    /// Nonce of this sidecar's start record.
    request_id nonce;
    /// Offset of the start record; 0 until the record was read back.
    log_offset fencing_number;
    /// When the start record was read back.
    mono_time start_read_at{};
    /// Another start of the same upstream was read after this one, or may have
    /// been lost from the log. The lease never becomes valid again.
    bool is_superseded = false;
    /// Start of the newest read that reached the end of the log without such a
    /// record.
    std::optional<mono_time> confirmed_at;
    /// Offset of the first record that was not yet applied.
    log_offset next_offset{1};
};

/// \brief Applies a batch of the `orders` stream.
/// \param read_began when the read that returned the batch was sent
void on_batch(lease& state, platform::log_batch const& batch,
              mono_time read_began, mono_time now);

/// \brief Whether an order may be sent now.
/// \param has_fencing whether the engine refuses old fencing numbers
/// \returns false, with `why` set, if not. For an engine without fencing, a
/// new sidecar also waits until its predecessor's lease has expired and the
/// last order sent under it can no longer take effect.
[[nodiscard]] bool may_send_order(lease const& state, bool has_fencing,
                                  mono_time now, reason& why);

} // namespace jujubestand::orders

#endif
