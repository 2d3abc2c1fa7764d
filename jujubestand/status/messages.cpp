#include <jujubestand/status/messages.hpp>

#include <jujubestand/core/bounded_unpack.hpp>
#include <xxhash.h>

namespace jujubestand::status
{

std::uint64_t hash_of(std::vector<std::string> const& gateways) noexcept
{
    std::uint64_t hash = 0;
    for (auto const& host : gateways)
        hash = XXH3_64bits_withSeed(host.data(), host.size(), hash);
    return hash;
}

template <class Message>
std::optional<Message> from_datagram(std::string_view bytes)
{
    if (bytes.empty() || bytes.front() != static_cast<char>(kind_of<Message>))
        return std::nullopt;
    try
    {
        auto message = bounded_unpack(bytes.substr(1))->template as<Message>();
        if (message.format == format_version)
            return message;
    }
    catch (std::exception const&)
    {
        // Any host can send a datagram; malformed ones are ignored.
        return std::nullopt;
    }
    return std::nullopt;
}

template std::optional<status_request> from_datagram(std::string_view);
template std::optional<status_response> from_datagram(std::string_view);
template std::optional<peer_request> from_datagram(std::string_view);
template std::optional<peer_response> from_datagram(std::string_view);
template std::optional<origin_notice> from_datagram(std::string_view);
template std::optional<origin_query> from_datagram(std::string_view);
template std::optional<origin_response> from_datagram(std::string_view);
template std::optional<crash_notice> from_datagram(std::string_view);
template std::optional<limit_notice> from_datagram(std::string_view);
template std::optional<limit_query> from_datagram(std::string_view);
template std::optional<limit_response> from_datagram(std::string_view);
template std::optional<permit_query> from_datagram(std::string_view);
template std::optional<permit_response> from_datagram(std::string_view);
template std::optional<engine_notice> from_datagram(std::string_view);
template std::optional<quota_query> from_datagram(std::string_view);
template std::optional<quota_response> from_datagram(std::string_view);
template std::optional<gateway_end_notice> from_datagram(std::string_view);

} // namespace jujubestand::status
