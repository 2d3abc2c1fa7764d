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

/// \brief Name of the log stream of sidecar starts and weight-load slots.
inline constexpr char const* stream_name = "orders";

/// \brief A sidecar of an upstream has started. The offset of the record is
/// the fencing number of the sidecar's orders.
struct start_record
{
    request_id nonce;
    upstream_id upstream;
    instance_id instance;

    MSGPACK_DEFINE_ARRAY(nonce, upstream, instance)
};

/// \brief A sidecar requests a slot for a weight load.
struct slot_claim
{
    request_id nonce;
    pool_id pool;
    upstream_id upstream;

    MSGPACK_DEFINE_ARRAY(nonce, pool, upstream)
};

/// \brief A weight load has ended and its slot is free.
struct slot_release
{
    request_id nonce;

    MSGPACK_DEFINE_ARRAY(nonce)
};

/// \brief One record of the stream.
using record = std::variant<start_record, slot_claim, slot_release>;

/// \brief Serializes a record for the log.
[[nodiscard]] std::string pack(record const& content);

/// \brief Parses the output of `pack`.
/// \returns nothing, with `why` set, for other bytes
[[nodiscard]] std::optional<record> unpack_record(std::string const& bytes,
                                                  reason& why);

} // namespace jujubestand::orders

#endif
