#ifndef JUJUBESTAND_STATUS_MESSAGES_HPP
#define JUJUBESTAND_STATUS_MESSAGES_HPP

#include <cstdint>
#include <jujubestand/follow/topic.hpp>
#include <jujubestand/limits/permit_messages.hpp>
#include <jujubestand/quarantine/strike.hpp>
#include <jujubestand/status/cache_view.hpp>
#include <jujubestand/status/format_version.hpp>
#include <jujubestand/status/quota_messages.hpp>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujubestand::status
{

/// \brief Status request of a gateway to an agent.
struct status_request
{
    std::uint32_t format = format_version;
    /// Time of the request by the sender's clock; returned in the response.
    std::int64_t sent_at_us = 0;
    std::string gateway;
    /// End offset of the gateway's copy of the operator's topic.
    std::uint64_t operator_end = 0;
    /// Time since that copy was last confirmed to be current; -1: never.
    std::int64_t staleness_us = -1;
    /// Position of the gateway's copy of the engine's cache view.
    cache_position cache;
    /// Versions of weights that the operator requests, by model.
    std::map<std::string, std::uint64_t> requested_versions;
    /// Id under which the agent's engine is registered.
    std::string upstream;
    /// Index of that engine in its pool.
    std::uint32_t pool_index = 0;
    /// Engines in the pool.
    std::uint32_t pool_size = 1;
    /// Bandwidth of the gateway's link, in Mbit/s; the gateways with the most
    /// bandwidth read the store.
    double link_mbps = 0;
    /// `hash_of` of the list of gateways that the sender has.
    std::uint64_t gateways_hash = 0;
    /// Start of the engine's process, as it is registered.
    std::uint64_t upstream_incarnation = 0;

    MSGPACK_DEFINE_ARRAY(format, sent_at_us, gateway, operator_end,
                         staleness_us, cache, requested_versions, upstream,
                         pool_index, pool_size, link_mbps, gateways_hash,
                         upstream_incarnation)
};

/// \brief What an engine stated to its agent on the calls that it takes.
struct limit_report
{
    /// False if no answer has named a limit.
    bool is_known = false;
    /// False if the limit has ended.
    bool is_named = false;
    /// Calls a second from all instances together.
    double calls_per_second = 0;
    /// Time since the last statement.
    std::int64_t age_ms = 0;

    MSGPACK_DEFINE_ARRAY(is_known, is_named, calls_per_second, age_ms)
};

/// \brief Status of an agent's engine and of the agent's copy of the operator's
/// topic.
struct status_response
{
    std::uint32_t format = format_version;
    /// Time of the request by the requesting gateway's clock; 0: sent without a
    /// request, so it doesn't confirm that any copy is current.
    std::int64_t request_sent_at_us = 0;
    std::string agent;
    bool is_engine_reachable = false;
    /// The engine is about to load weights, or is loading them.
    bool is_preparing = false;
    /// Time until the engine is to load weights; -1: no load is planned.
    std::int64_t load_due_us = -1;
    bool is_busy = false;
    std::map<std::string, std::uint64_t> versions;
    std::uint32_t queued = 0;
    std::uint32_t running = 0;
    std::uint32_t prefilling = 0;
    std::uint64_t memory_used = 0;
    std::uint64_t memory_total = 0;
    /// Age of the engine's report.
    std::uint32_t report_age_ms = 0;
    /// End offset of the agent's copy of the operator's topic.
    std::uint64_t operator_end = 0;
    /// Time since that copy was last confirmed to be current; -1: never.
    std::int64_t staleness_us = -1;
    /// IP addresses of the gateways with a recent request, those with the most
    /// bandwidth first; empty if the requesting gateway already has this list.
    std::vector<std::string> gateways;
    /// Changes of the engine's cache after the position in the request.
    cache_delta cache;
    limit_report limit;
    /// Wall clock time of the engine's start, in ms; 0 if not reported.
    std::uint64_t engine_started_at_ms = 0;
    /// Era of the store that `operator_end` is of.
    std::uint64_t operator_era = 0;

    MSGPACK_DEFINE_ARRAY(format, request_sent_at_us, agent, is_engine_reachable,
                         is_preparing, load_due_us, is_busy, versions, queued,
                         running, prefilling, memory_used, memory_total,
                         report_age_ms, operator_end, staleness_us, gateways,
                         cache, limit, engine_started_at_ms, operator_era)
};

/// \brief State of an engine that has no agent, from the gateway that orders
/// its loads.
struct engine_notice
{
    std::uint32_t format = format_version;
    std::string upstream;
    /// Start of the engine's process, as it is registered.
    std::uint64_t upstream_incarnation = 0;
    /// The engine is about to load weights, or is loading them.
    bool is_preparing = false;
    /// Version of the weights of each model.
    std::map<std::string, std::uint64_t> versions;

    MSGPACK_DEFINE_ARRAY(format, upstream, upstream_incarnation, is_preparing,
                         versions)
};

/// \brief Request of a gateway to another one for the state of its copies.
struct peer_request
{
    std::uint32_t format = format_version;
    std::int64_t sent_at_us = 0;
    /// Position of the sender's copy of each part store, by address; empty if
    /// the sender does not read part stores through this gateway.
    std::map<std::string, cache_position> stores;
    /// Era of the store that the sender's copy of the operator's topic is of,
    /// and the versions of its values that the store has lost, by key.
    std::uint64_t operator_era = 0;
    std::map<std::string, follow::value_version> unrestored;

    MSGPACK_DEFINE_ARRAY(format, sent_at_us, stores, operator_era, unrestored)
};

/// \brief Status of a part store, as a gateway sees it.
struct part_store_status
{
    bool is_alive = false;
    cache_delta cache;

    MSGPACK_DEFINE_ARRAY(is_alive, cache)
};

/// \brief State of a gateway's copy of one topic of the store.
struct topic_status
{
    std::uint64_t end = 0;
    /// Time since the copy was last confirmed to be current; -1: never.
    std::int64_t staleness_us = -1;
    /// Keys without the removed ones. Copies with the same end can differ in
    /// this: a list may remove keys and end where reading had stopped.
    std::uint64_t live_keys = 0;
    /// Era of the store that `end` is of.
    std::uint64_t era = 0;
    /// Versions of the values that the store has lost, by key.
    std::map<std::string, follow::value_version> unrestored;

    MSGPACK_DEFINE_ARRAY(end, staleness_us, live_keys, era, unrestored)
};

/// \brief Response of a gateway to a `peer_request`.
struct peer_response
{
    std::uint32_t format = format_version;
    std::int64_t request_sent_at_us = 0;
    topic_status operators;
    topic_status upstreams;
    /// Part stores whose events the responding gateway reads, by address.
    std::map<std::string, part_store_status> stores;

    MSGPACK_DEFINE_ARRAY(format, request_sent_at_us, operators, upstreams,
                         stores)
};

/// \brief Notice of the software version at which a stream began.
struct origin_notice
{
    std::uint32_t format = format_version;
    /// Hash of the id of the request that began the stream.
    std::uint64_t stream = 0;
    std::string software_version;
    /// The sender writes the version to the store if that becomes necessary.
    /// If not, gateways that receive the notice do.
    bool is_sender_writing = false;

    MSGPACK_DEFINE_ARRAY(format, stream, software_version, is_sender_writing)
};

/// \brief Query for the software version at which a stream began.
struct origin_query
{
    std::uint32_t format = format_version;
    std::uint64_t stream = 0;

    MSGPACK_DEFINE_ARRAY(format, stream)
};

/// \brief Response to an `origin_query`.
struct origin_response
{
    std::uint32_t format = format_version;
    std::uint64_t stream = 0;
    bool is_known = false;
    std::string software_version;

    MSGPACK_DEFINE_ARRAY(format, stream, is_known, software_version)
};

/// \brief Evidence of a gateway on what crashes engines, and the culprits that
/// it knows.
struct crash_notice
{
    std::uint32_t format = format_version;
    quarantine::notice evidence;
    std::vector<digest> culprits;
    /// Wall clock of the sender; 0 in notices of older versions.
    std::int64_t sent_at_ms = 0;

    MSGPACK_DEFINE_ARRAY(format, evidence, culprits, sent_at_ms)
};

/// \brief Notice of a gateway on the limit of an upstream.
struct limit_notice
{
    std::uint32_t format = format_version;
    limits::limit_record limit;

    MSGPACK_DEFINE_ARRAY(format, limit)
};

/// \brief Query of a gateway that has just started for the limits that another
/// one knows; the response is a notice of each, then a `limit_response`.
struct limit_query
{
    std::uint32_t format = format_version;

    MSGPACK_DEFINE_ARRAY(format)
};

/// \brief End of the response to a `limit_query`.
struct limit_response
{
    std::uint32_t format = format_version;

    MSGPACK_DEFINE_ARRAY(format)
};

/// \brief Request of a gateway to the one that issues an upstream's permits.
struct permit_query
{
    std::uint32_t format = format_version;
    limits::permit_request request;

    MSGPACK_DEFINE_ARRAY(format, request)
};

/// \brief Response to a `permit_query`.
struct permit_response
{
    std::uint32_t format = format_version;
    limits::permit_answer answer;

    MSGPACK_DEFINE_ARRAY(format, answer)
};

/// \brief Hash of a list of gateways; depends on the order.
[[nodiscard]] std::uint64_t
hash_of(std::vector<std::string> const& gateways) noexcept;

/// \brief Kind of a message: the first byte of the datagram.
enum class message_kind : char
{
    status_request = 'q',
    status_response = 'a',
    peer_request = 'p',
    peer_response = 'r',
    origin_notice = 'n',
    origin_query = 'o',
    origin_response = 's',
    crash_notice = 'c',
    limit_notice = 'l',
    limit_query = 'm',
    limit_response = 'e',
    permit_query = 'w',
    permit_response = 'g',
    engine_notice = 'h',
    quota_query = 't',
    quota_response = 'u',
    gateway_end_notice = 'v',
};

/// \brief Kind of a message type.
template <class Message>
inline constexpr message_kind kind_of = message_kind::status_request;
template <>
inline constexpr message_kind kind_of<status_response> =
    message_kind::status_response;
template <>
inline constexpr message_kind kind_of<peer_request> =
    message_kind::peer_request;
template <>
inline constexpr message_kind kind_of<peer_response> =
    message_kind::peer_response;

template <>
inline constexpr message_kind kind_of<origin_notice> =
    message_kind::origin_notice;
template <>
inline constexpr message_kind kind_of<origin_query> =
    message_kind::origin_query;
template <>
inline constexpr message_kind kind_of<origin_response> =
    message_kind::origin_response;

template <>
inline constexpr message_kind kind_of<crash_notice> =
    message_kind::crash_notice;

template <>
inline constexpr message_kind kind_of<limit_notice> =
    message_kind::limit_notice;
template <>
inline constexpr message_kind kind_of<limit_query> = message_kind::limit_query;
template <>
inline constexpr message_kind kind_of<limit_response> =
    message_kind::limit_response;
template <>
inline constexpr message_kind kind_of<permit_query> =
    message_kind::permit_query;
template <>
inline constexpr message_kind kind_of<permit_response> =
    message_kind::permit_response;

template <>
inline constexpr message_kind kind_of<engine_notice> =
    message_kind::engine_notice;

template <>
inline constexpr message_kind kind_of<quota_query> = message_kind::quota_query;
template <>
inline constexpr message_kind kind_of<quota_response> =
    message_kind::quota_response;
template <>
inline constexpr message_kind kind_of<gateway_end_notice> =
    message_kind::gateway_end_notice;

/// \brief Serializes a message as one datagram, with its kind.
template <class Message>
[[nodiscard]] std::string to_datagram(Message const& message);

/// \brief Parses a datagram; empty if it is not a message of this type.
template <class Message>
[[nodiscard]] std::optional<Message> from_datagram(std::string_view bytes);

/// \brief Serializes a message.
template <class Message>
[[nodiscard]] std::string to_bytes(Message const& message)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    return {buffer.data(), buffer.size()};
}

template <class Message>
std::string to_datagram(Message const& message)
{
    return static_cast<char>(kind_of<Message>) + to_bytes(message);
}

} // namespace jujubestand::status

#endif
