#ifndef JUJUBESTAND_LINK_FRAME_HPP
#define JUJUBESTAND_LINK_FRAME_HPP

#include <array>
#include <cstdint>
#include <exception>
#include <jujubestand/core/bounded_unpack.hpp>
#include <jujubestand/core/enum_table.hpp>
#include <jujubestand/core/hybrid_time.hpp>
#include <jujubestand/core/reason.hpp>
#include <msgpack.hpp>
#include <optional>
#include <string>

namespace jujubestand::link
{

/// \brief Kinds of frames on a link's streams.
enum class frame_kind : std::uint8_t
{
    hello,
    challenge,
    proof,
    welcome,
    probe,
    probe_reply,
    call,
    body,
    head,
    piece,
    last,
    failure,
    cancel,
    resume,
    tables_wanted,
    tables,
};

/// \brief Names of the frame kinds.
inline constexpr std::array<enum_name<frame_kind>, 16> frame_kind_names{{
    {frame_kind::hello, "hello"},
    {frame_kind::challenge, "challenge"},
    {frame_kind::proof, "proof"},
    {frame_kind::welcome, "welcome"},
    {frame_kind::probe, "probe"},
    {frame_kind::probe_reply, "probe_reply"},
    {frame_kind::call, "call"},
    {frame_kind::body, "body"},
    {frame_kind::head, "head"},
    {frame_kind::piece, "piece"},
    {frame_kind::last, "last"},
    {frame_kind::failure, "failure"},
    {frame_kind::cancel, "cancel"},
    {frame_kind::resume, "resume"},
    {frame_kind::tables_wanted, "tables_wanted"},
    {frame_kind::tables, "tables"},
}};

/// \brief One message on a stream, before its payload is read.
struct frame
{
    frame_kind kind = frame_kind::hello;
    /// Set by the node that sends it, merged by the one that receives it.
    hybrid_time stamp;
    std::string payload;
};

/// \brief Packs a message into a frame.
template <class Message>
[[nodiscard]] frame to_frame(Message const& message)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    return frame{Message::kind, {}, std::string(buffer.data(), buffer.size())};
}

/// \brief Reads a frame's payload as a message.
/// \returns nothing, with `why` set, if the kind or the payload is another's
template <class Message>
[[nodiscard]] std::optional<Message> from_frame(frame const& packed,
                                                reason& why)
{
    if (packed.kind != Message::kind)
    {
        why = reason{reason_code::link_malformed, "unexpected frame kind",
                     std::string(to_name(frame_kind_names, packed.kind))};
        return std::nullopt;
    }
    try
    {
        auto const handle = bounded_unpack(packed.payload);
        return handle.get().as<Message>();
    }
    catch (std::exception const& error)
    {
        why = reason{reason_code::link_malformed, error.what(),
                     std::string(to_name(frame_kind_names, packed.kind))};
        return std::nullopt;
    }
}

} // namespace jujubestand::link

#endif
