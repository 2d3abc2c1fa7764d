#include <jujubestand/claims/key.hpp>

#include <array>
#include <charconv>

namespace jujubestand::claims
{

namespace
{

constexpr std::size_t uuid_length = 36;
constexpr std::size_t version_at = 14;
constexpr std::size_t variant_at = 19;

bool is_hyphen_place(std::size_t at) noexcept
{
    return at == 8 || at == 13 || at == 18 || at == 23;
}

bool is_hex(char letter) noexcept
{
    return (letter >= '0' && letter <= '9') ||
           (letter >= 'a' && letter <= 'f') || (letter >= 'A' && letter <= 'F');
}

bool is_uuid(std::string_view text) noexcept
{
    if (text.size() != uuid_length)
        return false;
    for (std::size_t at = 0; at < uuid_length; ++at)
    {
        bool const fits =
            is_hyphen_place(at) ? text[at] == '-' : is_hex(text[at]);
        if (!fits)
            return false;
    }
    return true;
}

} // namespace

digest scoped_key(team_id const& team, route_id const& route,
                  std::string_view key)
{
    std::string bytes;
    append_part(bytes, team.text);
    append_part(bytes, route.text);
    append_part(bytes, key);
    return digest_of(bytes);
}

std::optional<wall_time> key_time(std::string_view key) noexcept
{
    constexpr std::string_view variants = "89abAB";
    if (!is_uuid(key) || key[version_at] != '7' ||
        variants.find(key[variant_at]) == std::string_view::npos)
        return std::nullopt;
    std::array<char, 12> digits{};
    key.copy(digits.data(), 8);
    key.copy(digits.data() + 8, 4, 9);
    std::int64_t since_epoch_ms = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(),
                    since_epoch_ms, 16);
    return wall_time{std::chrono::milliseconds{since_epoch_ms}};
}

std::string make_key(wall_time now, request_id const& random)
{
    constexpr std::uint64_t version_bits = 0x7000;
    constexpr std::uint64_t variant_bits = 0x8000000000000000ULL;
    auto const since_epoch_ms =
        static_cast<std::uint64_t>(now.time_since_epoch().count());
    request_id const value{(since_epoch_ms << 16U) | version_bits |
                               (random.high & 0xFFFU),
                           variant_bits | (random.low & 0x3FFFFFFFFFFFFFFFULL)};
    std::string text = to_text(value);
    for (std::size_t const at : {8U, 13U, 18U, 23U})
        text.insert(at, "-");
    return text;
}

std::uint32_t stream_index(digest const& key,
                           std::uint32_t claim_streams) noexcept
{
    if (claim_streams < 2)
        return 0;
    return static_cast<std::uint32_t>(key.high % claim_streams);
}

std::string stream_name(pool_id const& pool, std::uint32_t index)
{
    return "claims." + pool.text + "." + std::to_string(index);
}

} // namespace jujubestand::claims
