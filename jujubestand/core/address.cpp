#include <jujubestand/core/address.hpp>

#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <sys/socket.h>
#include <system_error>

namespace jujubestand
{

namespace
{

bool is_numeric_host(std::string const& host)
{
    std::array<unsigned char, sizeof(in6_addr)> parsed{};
    return ::inet_pton(AF_INET, host.c_str(), parsed.data()) == 1 ||
           ::inet_pton(AF_INET6, host.c_str(), parsed.data()) == 1;
}

std::optional<address> fail(std::string_view text, reason& why)
{
    why = reason{reason_code::settings_invalid,
                 "expected IP:PORT, got \"" + std::string(text) + '"',
                 {}};
    return std::nullopt;
}

} // namespace

std::optional<address> parse_address(std::string_view text, reason& why)
{
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return fail(text, why);
    std::string_view host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    std::string_view const digits = text.substr(colon + 1);
    address where{std::string(host), 0};
    auto const* end = digits.data() + digits.size();
    auto const parsed = std::from_chars(digits.data(), end, where.port);
    if (digits.empty() || parsed.ec != std::errc{} || parsed.ptr != end)
        return fail(text, why);
    if (!is_numeric_host(where.host))
        return fail(text, why);
    return where;
}

std::string to_text(address const& where)
{
    bool const is_v6 = where.host.find(':') != std::string::npos;
    std::string host = is_v6 ? '[' + where.host + ']' : where.host;
    return host + ':' + std::to_string(where.port);
}

} // namespace jujubestand
