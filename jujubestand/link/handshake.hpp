#ifndef JUJUBESTAND_LINK_HANDSHAKE_HPP
#define JUJUBESTAND_LINK_HANDSHAKE_HPP

#include <cstddef>
#include <cstdint>
#include <jujubestand/core/ids.hpp>
#include <jujubestand/core/reason.hpp>
#include <jujubestand/link/frame.hpp>
#include <jujubestand/link/peer.hpp>
#include <msgpack.hpp>
#include <optional>
#include <string>

namespace jujubestand::link
{

/// \brief Bytes of the random number that each side brings.
inline constexpr std::size_t nonce_bytes = 32;

/// \brief Largest payload that passes before the proof.
inline constexpr std::size_t handshake_limit_bytes = 4096;

/// \brief Version of the handshake and of the frames that follow it.
inline constexpr std::uint32_t protocol_version = 1;

/// \brief Opener to acceptor: who I am, and my nonce.
struct hello
{
    static constexpr frame_kind kind = frame_kind::hello;

    std::uint32_t version = protocol_version;
    std::string nonce;
    peer self;

    MSGPACK_DEFINE_ARRAY(version, nonce, self)
};

/// \brief Acceptor to opener: who I am, and my nonce.
struct challenge
{
    static constexpr frame_kind kind = frame_kind::challenge;

    std::string nonce;
    peer self;

    MSGPACK_DEFINE_ARRAY(nonce, self)
};

/// \brief Opener to acceptor: HMAC-SHA256 under the shared key over the
/// hello and the challenge.
struct proof
{
    static constexpr frame_kind kind = frame_kind::proof;

    std::string mac;

    MSGPACK_DEFINE_ARRAY(mac)
};

/// \brief Acceptor to opener: the same under another label.
struct welcome
{
    static constexpr frame_kind kind = frame_kind::welcome;

    std::string mac;

    MSGPACK_DEFINE_ARRAY(mac)
};

/// \brief One side's state of the mutual proof.
struct handshake
{
    std::string key;
    /// Ours, fresh for each link.
    std::string nonce;
    peer self;
    bool is_opener = false;
    std::optional<hello> first;
    std::optional<challenge> second;
    /// Set once the other side has proved that it holds the key.
    std::optional<peer> proved;
};

/// \brief The opener's first frame.
[[nodiscard]] frame begin(handshake& state);

/// \brief What the other side's frame leads to.
struct handshake_step
{
    bool is_refused = false;
    std::optional<frame> reply;
};

/// \brief Takes the other side's next frame; sets `proved` when it is due.
/// \returns the answer, or a refusal with `why` set
[[nodiscard]] handshake_step step(handshake& state, frame const& message,
                                  reason& why);

} // namespace jujubestand::link

#endif
