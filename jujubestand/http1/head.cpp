#include <jujubestand/http1/head.hpp>

#include <algorithm>

namespace jujubestand::http1
{

namespace
{

constexpr std::string_view line_end = "\r\n";

bool is_token_character(char letter) noexcept
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    bool const is_alphanumeric = (letter >= 'a' && letter <= 'z') ||
                                 (letter >= 'A' && letter <= 'Z') ||
                                 (letter >= '0' && letter <= '9');
    return is_alphanumeric || marks.find(letter) != std::string_view::npos;
}

bool is_control(char letter) noexcept
{
    auto const code = static_cast<unsigned char>(letter);
    return (code < 0x20 && letter != '\t') || code == 0x7f;
}

bool is_digits(std::string_view text) noexcept
{
    return !text.empty() && std::all_of(text.begin(), text.end(),
                                        [](char letter)
                                        {
                                            return letter >= '0' &&
                                                   letter <= '9';
                                        });
}

std::string_view trimmed(std::string_view text) noexcept
{
    constexpr std::string_view blanks = " \t";
    auto const first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
        return {};
    auto const last = text.find_last_not_of(blanks);
    return text.substr(first, last - first + 1);
}

bool refuse(reason& why, char const* text)
{
    why = reason{reason_code::malformed_request, text, {}};
    return false;
}

/// What the fields seen so far say of the body's length.
struct framing
{
    bool has_length = false;
    bool has_coding = false;
    bool has_host = false;
};

bool check_framing(std::string_view name, std::string_view value, framing& seen,
                   reason& why)
{
    if (http::same_name(name, "Content-Length"))
    {
        if (seen.has_length)
        {
            why = reason{reason_code::conflicting_length,
                         "more than one Content-Length",
                         {}};
            return false;
        }
        if (!is_digits(value))
            return refuse(why, "Content-Length is not a number");
        seen.has_length = true;
    }
    if (http::same_name(name, "Transfer-Encoding"))
    {
        if (seen.has_coding)
            return refuse(why, "more than one Transfer-Encoding");
        if (!http::same_name(value, "chunked"))
            return refuse(why, "Transfer-Encoding other than chunked");
        seen.has_coding = true;
    }
    if (http::same_name(name, "Host"))
    {
        if (seen.has_host)
            return refuse(why, "more than one Host");
        seen.has_host = true;
    }
    if (seen.has_length && seen.has_coding)
        return refuse(why, "Content-Length beside Transfer-Encoding");
    return true;
}

bool check_field(std::string_view line, framing& seen, reason& why)
{
    if (line.front() == ' ' || line.front() == '\t')
        return refuse(why, "folded field line");
    auto const colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0)
        return refuse(why, "field line without a name");
    auto const name = line.substr(0, colon);
    if (!std::all_of(name.begin(), name.end(), is_token_character))
        return refuse(why, "field name is not a token");
    return check_framing(name, trimmed(line.substr(colon + 1)), seen, why);
}

} // namespace

bool is_unambiguous(std::string_view head, reason& why)
{
    framing seen;
    bool is_start_line = true;
    while (!head.empty())
    {
        auto const end = head.find(line_end);
        if (end == std::string_view::npos)
            return refuse(why, "line without CRLF");
        auto const line = head.substr(0, end);
        head.remove_prefix(end + line_end.size());
        if (std::any_of(line.begin(), line.end(), is_control))
            return refuse(why, "control character in the head");
        if (line.empty())
            return is_start_line ? refuse(why, "no start line") : true;
        if (!is_start_line && !check_field(line, seen, why))
            return false;
        is_start_line = false;
    }
    return refuse(why, "head without an end");
}

} // namespace jujubestand::http1
