#ifndef JUJUBESTAND_LIMITS_PERMIT_MESSAGES_HPP
#define JUJUBESTAND_LIMITS_PERMIT_MESSAGES_HPP

#include <cstdint>
#include <jujubestand/core/ids.hpp>
#include <msgpack.hpp>

namespace jujubestand::limits
{

/// \brief The limit of one start of an upstream, as gateways exchange it.
struct limit_record
{
    upstream_id upstream;
    incarnation_id incarnation;
    bool is_named = false;
    /// If named: calls a second from all gateways together.
    double calls_per_second = 0;
    /// Wall clock of the process that received it from the upstream.
    std::int64_t stated_at_ms = 0;
    /// Wall clock of the sender; 0 in records of older versions.
    std::int64_t sent_at_ms = 0;
    /// Not sent: `stated_at_ms` was converted to the receiver's clock.
    bool is_converted = false;

    MSGPACK_DEFINE_ARRAY(upstream, incarnation, is_named, calls_per_second,
                         stated_at_ms, sent_at_ms)
};

/// \brief Request of a gateway, or of an upstream's agent, for permits to send
/// calls or orders to an upstream.
struct permit_request
{
    limit_record limit;
    /// Number of the request; the answer repeats it.
    std::uint64_t number = 0;
    std::uint32_t wanted = 1;
    /// Calls that the gateway sent there shortly before it knew of the limit.
    double sent_before = 0;
    /// For an order to the upstream, which goes before calls.
    bool is_for_order = false;

    MSGPACK_DEFINE_ARRAY(limit, number, wanted, sent_before, is_for_order)
};

/// \brief Answer to a `permit_request`.
struct permit_answer
{
    limit_record limit;
    std::uint64_t number = 0;
    /// Permits granted; 0: ask again after `retry_in_us`.
    std::uint32_t granted = 0;
    std::int64_t retry_in_us = 0;
    /// Share of the limit that the gateway can expect, up to 1; 0: unknown.
    double share = 0;

    MSGPACK_DEFINE_ARRAY(limit, number, granted, retry_in_us, share)
};

} // namespace jujubestand::limits

#endif
