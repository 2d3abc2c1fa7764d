#include <jujubestand/http1/writer.hpp>

#include <array>
#include <charconv>
#include <http_parser.h>

namespace jujubestand::http1
{

namespace
{

void add_fields(std::string& head, std::vector<http::field> const& fields,
                body_framing framing, std::size_t body_bytes)
{
    for (auto const& field : fields)
    {
        head += field.name;
        head += ": ";
        head += field.value;
        head += "\r\n";
    }
    if (framing == body_framing::length)
        head += "Content-Length: " + std::to_string(body_bytes) + "\r\n";
    if (framing == body_framing::chunked)
        head += "Transfer-Encoding: chunked\r\n";
    head += "\r\n";
}

} // namespace

std::string request_head(std::string_view method, std::string_view target,
                         std::vector<http::field> const& fields,
                         body_framing framing, std::size_t body_bytes)
{
    std::string head(method);
    head += ' ';
    head += target;
    head += " HTTP/1.1\r\n";
    add_fields(head, fields, framing, body_bytes);
    return head;
}

std::string response_head(int status, std::vector<http::field> const& fields,
                          body_framing framing, std::size_t body_bytes)
{
    std::string head = "HTTP/1.1 " + std::to_string(status) + ' ';
    head += http_status_str(static_cast<http_status>(status));
    head += "\r\n";
    add_fields(head, fields, framing, body_bytes);
    return head;
}

std::string chunk(std::string_view bytes)
{
    if (bytes.empty())
        return {};
    constexpr int hexadecimal = 16;
    std::array<char, 2 * sizeof(std::size_t)> digits{};
    auto const end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                   bytes.size(), hexadecimal)
                         .ptr;
    std::string result(digits.data(), end);
    result += "\r\n";
    result += bytes;
    result += "\r\n";
    return result;
}

} // namespace jujubestand::http1
