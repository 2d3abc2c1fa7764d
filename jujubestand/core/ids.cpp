#include <jujubestand/core/ids.hpp>

#include <charconv>
#include <system_error>

namespace jujubestand
{

namespace
{

constexpr std::size_t half_digits = 16;

std::string hex_half(std::uint64_t value)
{
    std::string digits(half_digits, '0');
    for (std::size_t at = half_digits; at > 0; --at)
    {
        digits[at - 1] = "0123456789abcdef"[value & 0xF];
        value >>= 4;
    }
    return digits;
}

std::optional<std::uint64_t> parse_half(std::string_view text)
{
    std::uint64_t value = 0;
    auto const* end = text.data() + text.size();
    auto const result = std::from_chars(text.data(), end, value, 16);
    if (result.ec != std::errc{} || result.ptr != end)
        return std::nullopt;
    return value;
}

} // namespace

std::string to_text(request_id const& id)
{
    return hex_half(id.high) + hex_half(id.low);
}

std::optional<request_id> request_id_from_text(std::string_view text)
{
    if (text.size() != 2 * half_digits)
        return std::nullopt;
    auto const high = parse_half(text.substr(0, half_digits));
    auto const low = parse_half(text.substr(half_digits));
    if (!high || !low)
        return std::nullopt;
    return request_id{*high, *low};
}

} // namespace jujubestand
