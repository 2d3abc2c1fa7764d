#include <array>
#include <exception>
#include <jujubestand/core/bounded_unpack.hpp>
#include <jujubestand/orders/records.hpp>
#include <tuple>

namespace jujubestand::orders
{

namespace
{

constexpr std::array<char const*, 3> tags{"start-1", "slot-claim-1",
                                          "slot-release-1"};

} // namespace

std::string pack(record const& content)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(2);
    packer.pack(std::string(tags.at(content.index())));
    std::visit(
        [&packer](auto const& body)
        {
            packer.pack(body);
        },
        content);
    return std::string(buffer.data(), buffer.size());
}

std::optional<record> unpack_record(std::string const& bytes, reason& why)
{
    try
    {
        auto const handle = bounded_unpack(bytes);
        auto const [tag, body] =
            handle.get().as<std::tuple<std::string, msgpack::object>>();
        if (tag == tags[0])
            return body.as<start_record>();
        if (tag == tags[1])
            return body.as<slot_claim>();
        if (tag == tags[2])
            return body.as<slot_release>();
        why = {reason_code::edit_invalid, "record of an unknown kind", tag};
    }
    catch (std::exception const& error)
    {
        why = {reason_code::edit_invalid, error.what(), {}};
    }
    return std::nullopt;
}

} // namespace jujubestand::orders
