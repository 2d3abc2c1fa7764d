#ifndef JUJUBESTAND_STATUS_MESSAGES_HPP
#define JUJUBESTAND_STATUS_MESSAGES_HPP

#include <cstdint>
#include <jujubestand/status/cache_view.hpp>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujubestand::status
{

/// \brief Version of the message format; messages of other versions are
/// ignored.
inline constexpr std::uint32_t format_number = 2;

/// \brief Status request of a gateway to an agent.
struct question
{
    std::uint32_t format = format_number;
    /// Time of the request by the sender's clock; returned in the response.
    std::int64_t asked_at_us = 0;
    std::string gateway;
    /// End offset of the gateway's copy of the operator's topic.
    std::uint64_t operator_end = 0;
    /// Time since that copy was last confirmed to be current; -1: never.
    std::int64_t proof_age_us = -1;
    /// Position of the gateway's copy of the engine's cache view.
    cache_mark cache;
    /// Versions of weights that the operator requests, by model.
    std::map<std::string, std::uint64_t> wanted;
    /// Id under which the agent's engine is registered.
    std::string upstream;
    /// Index of that engine in its pool.
    std::uint32_t place = 0;
    /// Engines in the pool.
    std::uint32_t engines = 1;
    /// Bandwidth of the gateway's link, in Mbit/s; the gateways with the most
    /// bandwidth read the store.
    double link_mbps = 0;
    /// `hash_of` of the list of gateways that the sender has.
    std::uint64_t gateways_hash = 0;

    MSGPACK_DEFINE_ARRAY(format, asked_at_us, gateway, operator_end,
                         proof_age_us, cache, wanted, upstream, place, engines,
                         link_mbps, gateways_hash)
};

/// \brief Status of an agent's engine and of the agent's copy of the operator's
/// topic.
struct answer
{
    std::uint32_t format = format_number;
    /// Time of the request by the requesting gateway's clock; 0: sent without a
    /// request, so it doesn't confirm that any copy is current.
    std::int64_t asked_at_us = 0;
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
    std::uint32_t reading = 0;
    std::uint64_t memory_used = 0;
    std::uint64_t memory_total = 0;
    /// Age of the engine's report.
    std::uint32_t report_age_ms = 0;
    /// End offset of the agent's copy of the operator's topic.
    std::uint64_t operator_end = 0;
    /// Time since that copy was last confirmed to be current; -1: never.
    std::int64_t proof_age_us = -1;
    /// IP addresses of the gateways with a recent request, those with the most
    /// bandwidth first; empty if the requesting gateway already has this list.
    std::vector<std::string> gateways;
    /// Changes of the engine's cache after the position in the request.
    cache_delta cache;

    MSGPACK_DEFINE_ARRAY(format, asked_at_us, agent, is_engine_reachable,
                         is_preparing, load_due_us, is_busy, versions, queued,
                         running, reading, memory_used, memory_total,
                         report_age_ms, operator_end, proof_age_us, gateways,
                         cache)
};

/// \brief Request of a gateway to another one for the state of its copies.
struct peer_question
{
    std::uint32_t format = format_number;
    std::int64_t asked_at_us = 0;
    /// Position of the sender's copy of each part store, by address; empty if
    /// the sender does not read part stores through this gateway.
    std::map<std::string, cache_mark> stores;

    MSGPACK_DEFINE_ARRAY(format, asked_at_us, stores)
};

/// \brief Status of a part store, as a gateway sees it.
struct store_standing
{
    bool is_alive = false;
    cache_delta cache;

    MSGPACK_DEFINE_ARRAY(is_alive, cache)
};

/// \brief State of a gateway's copy of one topic of the store.
struct topic_standing
{
    std::uint64_t end = 0;
    /// Time since the copy was last confirmed to be current; -1: never.
    std::int64_t proof_age_us = -1;
    /// Keys without the removed ones. Copies with the same end can differ in
    /// this: a list may remove keys and end where reading had stopped.
    std::uint64_t live_keys = 0;

    MSGPACK_DEFINE_ARRAY(end, proof_age_us, live_keys)
};

/// \brief Response of a gateway to a `peer_question`.
struct peer_answer
{
    std::uint32_t format = format_number;
    std::int64_t asked_at_us = 0;
    topic_standing operators;
    topic_standing upstreams;
    /// Part stores whose events the responding gateway reads, by address.
    std::map<std::string, store_standing> stores;

    MSGPACK_DEFINE_ARRAY(format, asked_at_us, operators, upstreams, stores)
};

/// \brief Hash of a list of gateways; depends on the order.
[[nodiscard]] std::uint64_t
hash_of(std::vector<std::string> const& gateways) noexcept;

/// \brief Kind of a message: the first byte of the datagram.
enum class message_kind : char
{
    question = 'q',
    answer = 'a',
    peer_question = 'p',
    peer_answer = 'r',
};

/// \brief Kind of a message type.
template <class Message>
inline constexpr message_kind kind_of = message_kind::question;
template <>
inline constexpr message_kind kind_of<answer> = message_kind::answer;
template <>
inline constexpr message_kind kind_of<peer_question> =
    message_kind::peer_question;
template <>
inline constexpr message_kind kind_of<peer_answer> = message_kind::peer_answer;

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
