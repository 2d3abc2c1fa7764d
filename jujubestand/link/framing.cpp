#include <jujubestand/link/framing.hpp>

#include <exception>
#include <jujubestand/core/bounded_unpack.hpp>
#include <msgpack.hpp>
#include <utility>

namespace jujubestand::link
{

namespace
{

constexpr unsigned byte_bits = 8;
constexpr std::uint32_t byte_mask = 0xff;
constexpr std::size_t envelope_fields = 3;

void append_length(std::string& out, std::size_t length)
{
    for (std::size_t place = frame_length_bytes; place > 0; --place)
    {
        auto const shift = static_cast<unsigned>(place - 1) * byte_bits;
        out += static_cast<char>((length >> shift) & byte_mask);
    }
}

std::size_t read_length(std::string_view bytes)
{
    std::size_t length = 0;
    for (std::size_t place = 0; place < frame_length_bytes; ++place)
        length =
            (length << byte_bits) | static_cast<unsigned char>(bytes[place]);
    return length;
}

reason malformed(std::string text)
{
    return reason{reason_code::link_malformed, std::move(text), ""};
}

bool read_kind(msgpack::object const& field, frame_kind& kind)
{
    auto const number = field.as<std::uint8_t>();
    for (auto const& row : frame_kind_names)
    {
        if (static_cast<std::uint8_t>(row.value) != number)
            continue;
        kind = row.value;
        return true;
    }
    return false;
}

bool is_payload(msgpack::object const& field)
{
    return field.type == msgpack::type::BIN;
}

/// Strings and binaries stay where they are: the payload is copied once.
bool keep_in_place(msgpack::type::object_type, std::size_t, void*)
{
    return true;
}

bool read_envelope(std::string_view bytes, frame& message, reason& why)
{
    try
    {
        auto const handle = bounded_unpack(bytes, keep_in_place);
        msgpack::object const& object = handle.get();
        bool const has_fields = object.type == msgpack::type::ARRAY &&
                                object.via.array.size == envelope_fields;
        msgpack::object const* field =
            has_fields ? object.via.array.ptr : nullptr;
        if (field == nullptr || !is_payload(field[2]) ||
            !read_kind(field[0], message.kind))
        {
            why = malformed("not a frame of ours");
            return false;
        }
        message.stamp = field[1].as<hybrid_time>();
        message.payload.assign(field[2].via.bin.ptr, field[2].via.bin.size);
        return true;
    }
    catch (std::exception const& error)
    {
        why = malformed(error.what());
        return false;
    }
}

} // namespace

void append_wire(std::string& out, frame const& message)
{
    msgpack::sbuffer envelope(frame_envelope_limit_bytes);
    msgpack::packer<msgpack::sbuffer> packer(envelope);
    packer.pack_array(envelope_fields);
    packer.pack_uint8(static_cast<std::uint8_t>(message.kind));
    packer.pack(message.stamp);
    packer.pack_bin(static_cast<std::uint32_t>(message.payload.size()));
    append_length(out, envelope.size() + message.payload.size());
    out.append(envelope.data(), envelope.size());
    out += message.payload;
}

bool feed(frame_reader& reader, std::string_view bytes,
          std::vector<received_frame>& frames, reason& why)
{
    reader.partial += bytes;
    std::string_view rest = reader.partial;
    while (rest.size() >= frame_length_bytes)
    {
        std::size_t const length = read_length(rest);
        if (length > reader.payload_limit_bytes + frame_envelope_limit_bytes)
        {
            why = malformed("frame of " + std::to_string(length) + " bytes");
            return false;
        }
        if (rest.size() - frame_length_bytes < length)
            break;
        received_frame next;
        next.wire_bytes = frame_length_bytes + length;
        if (!read_envelope(rest.substr(frame_length_bytes, length),
                           next.message, why))
            return false;
        frames.push_back(std::move(next));
        rest.remove_prefix(frame_length_bytes + length);
    }
    // Streams are many: one between two frames keeps no room for them.
    if (rest.empty())
        std::string().swap(reader.partial);
    else
        reader.partial.erase(0, reader.partial.size() - rest.size());
    return true;
}

} // namespace jujubestand::link
