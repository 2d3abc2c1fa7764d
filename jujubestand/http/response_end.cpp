#include <jujubestand/http/response_end.hpp>

#include <array>
#include <cerrno>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <linux/sockios.h>
#include <string_view>
#include <sys/ioctl.h>

namespace jujubestand::http
{

namespace
{

// Responses with these statuses have no body.
bool has_no_body(int status) noexcept
{
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    return status == no_content || status == not_modified;
}

} // namespace

std::optional<bool> has_valid_status(evbuffer* input)
{
    // As in "HTTP/1.1 200 ".
    constexpr std::string_view beginning = "HTTP/1.";
    constexpr std::size_t first_digit = 9;
    constexpr std::size_t after_digits = 12;
    std::array<char, after_digits + 1> line{};
    auto const size = evbuffer_copyout(input, line.data(), line.size());
    if (size < static_cast<ev_ssize_t>(line.size()) ||
        !std::string_view(line.data(), line.size()).starts_with(beginning))
        return std::nullopt;
    auto const is_between = [&line](std::size_t at, char first, char last)
    {
        return line.at(at) >= first && line.at(at) <= last;
    };
    char const next = line.at(after_digits);
    return line.at(first_digit - 1) == ' ' &&
           is_between(first_digit, '1', '5') &&
           is_between(first_digit + 1, '0', '9') &&
           is_between(first_digit + 2, '0', '9') &&
           (next == ' ' || next == '\r' || next == '\n');
}

// A FIN acknowledges what its sender had received, so that a server that reads
// the whole request before it ends its response leaves nothing here. Where the
// system can't tell, a response without a length would never be whole.
bool is_acknowledged(std::intptr_t socket) noexcept
{
    int unacknowledged = 0;
    if (::ioctl(static_cast<int>(socket), SIOCOUTQ, &unacknowledged) != 0)
        return errno != EBADF;
    return unacknowledged == 0;
}

bool is_acknowledged(evhttp_connection* connection) noexcept
{
    return is_acknowledged(
        bufferevent_getfd(evhttp_connection_get_bufferevent(connection)));
}

bool ends_by_close(evhttp_request* response) noexcept
{
    auto const* const fields = evhttp_request_get_input_headers(response);
    return evhttp_find_header(fields, "Content-Length") == nullptr &&
           evhttp_find_header(fields, "Transfer-Encoding") == nullptr &&
           !has_no_body(evhttp_request_get_response_code(response));
}

} // namespace jujubestand::http
