#ifndef JUJUBESTAND_ORDERS_RECORDS_HPP
#define JUJUBESTAND_ORDERS_RECORDS_HPP

#include <cstdint>
#include <jujubestand/core/ids.hpp>
#include <jujubestand/core/reason.hpp>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <variant>

namespace jujubestand::orders
{

/// \brief Name of the stream that carries starts and weight-load slots.
inline constexpr char const* stream_name = "orders";

/// \brief A sidecar began a life beside an upstream. The record's offset is
/// the fencing number of its orders.
struct start_record
{
    request_id nonce;
    upstream_id upstream;
    instance_id instance;

    MSGPACK_DEFINE_ARRAY(nonce, upstream, instance)
};

/// \brief A sidecar asks for a slot to load weights in.
struct slot_claim
{
    request_id nonce;
    pool_id pool;
    upstream_id upstream;

    MSGPACK_DEFINE_ARRAY(nonce, pool, upstream)
};

/// \brief A load has ended; its slot is free.
struct slot_release
{
    request_id nonce;

    MSGPACK_DEFINE_ARRAY(nonce)
};

/// \brief One record of the stream.
using record = std::variant<start_record, slot_claim, slot_release>;

/// \brief A record as the log carries it.
[[nodiscard]] std::string pack(record const& made);

/// \brief Reads what `pack` wrote; nothing, with `why` set, for other bytes.
[[nodiscard]] std::optional<record> unpack_record(std::string const& bytes,
                                                  reason& why);

} // namespace jujubestand::orders

#endif
