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

/// \brief Number of the messages' format; others are ignored.
inline constexpr std::uint32_t format_number = 2;

/// \brief A gateway asks an agent for its status.
struct question
{
    std::uint32_t format = format_number;
    /// The asker's own clock; comes back in the answer.
    std::int64_t asked_at_us = 0;
    std::string gateway;
    /// The operator's topic up to this offset is known to the gateway.
    std::uint64_t operator_end = 0;
    /// Age of the gateway's proof of that; -1: never proven.
    std::int64_t proof_age_us = -1;
    /// What the gateway knows of the engine's cache.
    cache_mark cache;
    /// Weights that the operator wants, by model.
    std::map<std::string, std::uint64_t> wanted;
    /// Id of the engine beside the agent, as it is registered.
    std::string upstream;
    /// Place of that engine among those of its pool, and their number.
    std::uint32_t place = 0;
    std::uint32_t engines = 1;
    /// Width of the gateway's link; gateways with wide ones read the store.
    double link_mbps = 0;
    /// Of the list of gateways that the asker knows.
    std::uint64_t gateways_hash = 0;

    MSGPACK_DEFINE_ARRAY(format, asked_at_us, gateway, operator_end,
                         proof_age_us, cache, wanted, upstream, place, engines,
                         link_mbps, gateways_hash)
};

/// \brief What an agent knows of its engine and of the store.
struct answer
{
    std::uint32_t format = format_number;
    /// 0: nobody asked; such an answer proves nothing.
    std::int64_t asked_at_us = 0;
    std::string agent;
    bool is_engine_reachable = false;
    /// The engine is about to load weights, or does so.
    bool is_preparing = false;
    /// Time until it is to load weights; -1: no load is known to come.
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
    /// The operator's topic up to this offset is known to the agent.
    std::uint64_t operator_end = 0;
    /// Age of the proof of that; -1: never proven.
    std::int64_t proof_age_us = -1;
    /// IP numbers of the gateways that asked lately, those with the widest
    /// links first; empty if the asker knows this list.
    std::vector<std::string> gateways;
    /// What changed in the engine's cache since the asked mark.
    cache_delta cache;

    MSGPACK_DEFINE_ARRAY(format, asked_at_us, agent, is_engine_reachable,
                         is_preparing, load_due_us, is_busy, versions, queued,
                         running, reading, memory_used, memory_total,
                         report_age_ms, operator_end, proof_age_us, gateways,
                         cache)
};

/// \brief A gateway asks another one how recent its knowledge is.
struct peer_question
{
    std::uint32_t format = format_number;
    std::int64_t asked_at_us = 0;
    /// What the asker knows of each store of parts, by address; empty for
    /// gateways that it does not follow in this.
    std::map<std::string, cache_mark> stores;

    MSGPACK_DEFINE_ARRAY(format, asked_at_us, stores)
};

/// \brief What a gateway knows of a store of parts.
struct store_standing
{
    bool is_alive = false;
    cache_delta cache;

    MSGPACK_DEFINE_ARRAY(is_alive, cache)
};

/// \brief How far a gateway knows one topic of the store.
struct topic_standing
{
    std::uint64_t end = 0;
    /// Age of the proof of that; -1: never proven.
    std::int64_t proof_age_us = -1;
    /// Keys that are not removed: a list may remove some and end where the
    /// reading was.
    std::uint64_t live_keys = 0;

    MSGPACK_DEFINE_ARRAY(end, proof_age_us, live_keys)
};

/// \brief What a gateway answers to another one.
struct peer_answer
{
    std::uint32_t format = format_number;
    std::int64_t asked_at_us = 0;
    topic_standing operators;
    topic_standing upstreams;
    /// Stores of parts whose events the answering gateway reads.
    std::map<std::string, store_standing> stores;

    MSGPACK_DEFINE_ARRAY(format, asked_at_us, operators, upstreams, stores)
};

/// \brief Hash of a list of gateways, in its order.
[[nodiscard]] std::uint64_t
hash_of(std::vector<std::string> const& gateways) noexcept;

/// \brief Kinds of messages, told by their first byte.
enum class message_kind : char
{
    question = 'q',
    answer = 'a',
    peer_question = 'p',
    peer_answer = 'r',
};

/// \brief Kind of each message.
template <class Message>
inline constexpr message_kind kind_of = message_kind::question;
template <>
inline constexpr message_kind kind_of<answer> = message_kind::answer;
template <>
inline constexpr message_kind kind_of<peer_question> =
    message_kind::peer_question;
template <>
inline constexpr message_kind kind_of<peer_answer> = message_kind::peer_answer;

/// \brief Bytes of a message with its kind, as one datagram.
template <class Message>
[[nodiscard]] std::string to_datagram(Message const& message);

/// \brief Reads a datagram; nothing if it is no such message.
template <class Message>
[[nodiscard]] std::optional<Message> from_datagram(std::string_view bytes);

/// \brief Bytes of a message.
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
