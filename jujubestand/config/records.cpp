#include <exception>
#include <jujubestand/config/records.hpp>
#include <jujubestand/core/bounded_unpack.hpp>
#include <msgpack.hpp>
#include <tuple>

namespace jujubestand::config
{

namespace
{

constexpr char const* edit_tag = "edit-1";
constexpr char const* snapshot_tag = "snapshot-1";
constexpr char const* restore_tag = "restore-1";

template <class Body>
std::string pack_tagged(char const* tag, Body const& body)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(2);
    packer.pack(std::string(tag));
    packer.pack(body);
    return std::string(buffer.data(), buffer.size());
}

} // namespace

std::string pack(edit const& made)
{
    return pack_tagged(edit_tag, made);
}

std::string pack(snapshot const& made)
{
    return pack_tagged(snapshot_tag, made);
}

std::string pack(restore const& made)
{
    return pack_tagged(restore_tag, made);
}

std::optional<record> unpack_record(std::string const& bytes, reason& why)
{
    try
    {
        auto const handle = bounded_unpack(bytes);
        auto const [tag, body] =
            handle.get().as<std::tuple<std::string, msgpack::object>>();
        if (tag == edit_tag)
            return body.as<edit>();
        if (tag == snapshot_tag)
            return body.as<snapshot>();
        if (tag == restore_tag)
            return body.as<restore>();
        why = {reason_code::edit_invalid, "record of an unknown kind", tag};
    }
    catch (std::exception const& error)
    {
        why = {reason_code::edit_invalid, error.what(), {}};
    }
    return std::nullopt;
}

} // namespace jujubestand::config
