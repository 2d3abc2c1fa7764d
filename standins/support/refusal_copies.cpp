#include <standins/support/refusal_copies.hpp>

#include <event2/bufferevent.h>
#include <jujubestand/core/address.hpp>
#include <standins/support/http_server.hpp>
#include <standins/support/stray_answers.hpp>
#include <sys/socket.h>

namespace jujubestand::standins
{

namespace
{

std::string connection_of(evhttp_request* request)
{
    char* host = nullptr;
    ev_uint16_t port = 0;
    evhttp_connection_get_peer(evhttp_request_get_connection(request), &host,
                               &port);
    return to_text({host, port});
}

} // namespace

void refuse(refusal_copies& copies, evhttp_request* request,
            std::string const& id)
{
    copies.calls.insert(id);
    copies.calls_by_connection.emplace(connection_of(request), id);
    auto* const headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "X-Request-Id", id.c_str());
    evhttp_add_header(headers, "X-Response-Stamp", "books");
    evhttp_add_header(headers, "X-Not-Executed", "1");
    reply(request, HTTP_SERVUNAVAIL, "");
}

bool may_copy(refusal_copies const& copies, evhttp_request* request,
              std::string const& id)
{
    return copies.scope == copy_scope::any_connection
               ? copies.calls.contains(id)
               : copies.calls_by_connection.contains(
                     {connection_of(request), id});
}

// libevent writes nothing from its own buffer before the answer.
void write_copy(evhttp_request* request, std::string const& id)
{
    std::string const bytes = refusal_of(id);
    auto* const connection = evhttp_request_get_connection(request);
    auto* const buffer = evhttp_connection_get_bufferevent(connection);
    ::send(bufferevent_getfd(buffer), bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

} // namespace jujubestand::standins
