#include <jujubestand/traffic/stated_limit.hpp>

#include <array>
#include <charconv>

namespace jujubestand::traffic
{

std::string to_text(stated_limit const& limit)
{
    if (limit.statement != limit_statement::named)
        return std::string(to_name(limit_statement_names, limit.statement));
    constexpr std::size_t digits_limit = 32;
    std::array<char, digits_limit> digits{};
    auto const end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                   limit.calls_per_second)
                         .ptr;
    return {digits.data(), end};
}

} // namespace jujubestand::traffic
