#include <standins/support/stray_answers.hpp>

#include <event2/bufferevent.h>

namespace jujubestand::standins
{

void write_raw(evhttp_request* request, std::string_view bytes)
{
    auto* const connection = evhttp_request_get_connection(request);
    bufferevent_write(evhttp_connection_get_bufferevent(connection),
                      bytes.data(), bytes.size());
}

std::string refusal_of(std::string const& id)
{
    return "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
           "X-Request-Id: " +
           id + "\r\nX-Response-Stamp: books\r\nContent-Length: 0\r\n\r\n";
}

} // namespace jujubestand::standins
