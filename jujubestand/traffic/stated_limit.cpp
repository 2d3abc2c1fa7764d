#include <jujubestand/traffic/stated_limit.hpp>

#include <array>
#include <charconv>

namespace jujubestand::traffic
{

namespace
{

// Empty if the text is not a decimal number without sign or exponent.
std::optional<double> parse_decimal(std::string_view text)
{
    constexpr std::string_view digits = "0123456789";
    auto const point = text.find('.');
    auto const whole = text.substr(0, point);
    bool const has_fraction = point != std::string_view::npos;
    auto const fraction =
        has_fraction ? text.substr(point + 1) : std::string_view{};
    if (whole.empty() || (has_fraction && fraction.empty()) ||
        whole.find_first_not_of(digits) != std::string_view::npos ||
        fraction.find_first_not_of(digits) != std::string_view::npos)
        return std::nullopt;
    double value = 0;
    auto const read =
        std::from_chars(text.data(), text.data() + text.size(), value);
    if (read.ec != std::errc{} || read.ptr != text.data() + text.size())
        return std::nullopt;
    return value;
}

} // namespace

stated_limit read_limit(std::vector<http::field> const& fields,
                        std::string_view name)
{
    auto const count = http::count_headers(fields, name);
    if (count == 0)
        return {};
    auto const value =
        parse_decimal(http::find_header(fields, name).value_or(""));
    if (!value || count > 1)
        return {limit_statement::malformed, 0};
    return {limit_statement::named, *value};
}

stated_pause read_pause(std::vector<http::field> const& fields,
                        std::string_view name)
{
    auto const count = http::count_headers(fields, name);
    if (count == 0)
        return {};
    auto const seconds =
        parse_decimal(http::find_header(fields, name).value_or(""));
    if (!seconds || count > 1)
        return {std::nullopt, true};
    std::chrono::duration<double> const stated{*seconds};
    if (stated >= pause_limit)
        return {pause_limit, false};
    return {std::chrono::ceil<std::chrono::milliseconds>(stated), false};
}

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
