#ifndef JUJUBESTAND_LINK_FRAMING_HPP
#define JUJUBESTAND_LINK_FRAMING_HPP

#include <cstddef>
#include <jujubestand/core/reason.hpp>
#include <jujubestand/link/frame.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace jujubestand::link
{

/// \brief Bytes of the length that stands before each frame.
inline constexpr std::size_t frame_length_bytes = 4;

/// \brief What a frame's envelope may add to its payload on the wire.
inline constexpr std::size_t frame_envelope_limit_bytes = 64;

/// \brief Appends `message` as it goes over the wire: its length as four
/// bytes, highest first, then a msgpack array of kind, stamp and payload.
void append_wire(std::string& out, frame const& message);

/// \brief A whole frame and the bytes it took on the wire.
struct received_frame
{
    frame message;
    std::size_t wire_bytes = 0;
};

/// \brief Puts a stream's bytes together into frames again.
struct frame_reader
{
    std::size_t payload_limit_bytes = 0;
    std::string partial;
};

/// \brief Takes the next bytes of a stream.
/// \param[out] frames the frames that are whole now are appended here
/// \returns false, with `why` set, if the bytes are no frame or too large a
/// one; the reader is of no use afterwards
[[nodiscard]] bool feed(frame_reader& reader, std::string_view bytes,
                        std::vector<received_frame>& frames, reason& why);

} // namespace jujubestand::link

#endif
