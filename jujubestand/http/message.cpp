#include <jujubestand/http/message.hpp>

#include <algorithm>
#include <array>

namespace jujubestand::http
{

namespace
{

char to_lower(char letter) noexcept
{
    bool const is_upper = letter >= 'A' && letter <= 'Z';
    return is_upper ? static_cast<char>(letter - 'A' + 'a') : letter;
}

constexpr std::array<std::string_view, 9> hop_by_hop{
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
};

} // namespace

bool same_name(std::string_view left, std::string_view right) noexcept
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char a, char b)
                      {
                          return to_lower(a) == to_lower(b);
                      });
}

std::optional<std::string_view> find_header(std::vector<field> const& headers,
                                            std::string_view name) noexcept
{
    for (auto const& header : headers)
    {
        if (same_name(header.name, name))
            return header.value;
    }
    return std::nullopt;
}

std::size_t count_headers(std::vector<field> const& headers,
                          std::string_view name) noexcept
{
    auto const count = std::count_if(headers.begin(), headers.end(),
                                     [name](field const& header)
                                     {
                                         return same_name(header.name, name);
                                     });
    return static_cast<std::size_t>(count);
}

bool is_hop_by_hop(std::string_view name) noexcept
{
    return std::any_of(hop_by_hop.begin(), hop_by_hop.end(),
                       [name](std::string_view other)
                       {
                           return same_name(name, other);
                       });
}

} // namespace jujubestand::http
