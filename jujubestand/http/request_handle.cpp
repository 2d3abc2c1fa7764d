#include <jujubestand/http/request_handle.hpp>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

namespace jujubestand::http
{

namespace
{

// What a caller may send ahead while its answer is pending.
constexpr std::size_t pipelined_limit_bytes = 16U << 10U;

std::string_view method_name(evhttp_cmd_type method)
{
    switch (method)
    {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_HEAD:
        return "HEAD";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    case EVHTTP_REQ_OPTIONS:
        return "OPTIONS";
    case EVHTTP_REQ_PATCH:
        return "PATCH";
    default:
        return "OTHER";
    }
}

std::string take_all(evbuffer* buffer)
{
    std::string bytes(evbuffer_get_length(buffer), '\0');
    evbuffer_remove(buffer, bytes.data(), bytes.size());
    return bytes;
}

} // namespace

request read_request(evhttp_request* handle)
{
    request result;
    result.method = method_name(evhttp_request_get_command(handle));
    auto const* uri = evhttp_request_get_evhttp_uri(handle);
    char const* path = uri != nullptr ? evhttp_uri_get_path(uri) : nullptr;
    char const* query = uri != nullptr ? evhttp_uri_get_query(uri) : nullptr;
    result.path = path != nullptr ? path : "";
    result.query = query != nullptr ? query : "";
    auto const* headers = evhttp_request_get_input_headers(handle);
    for (auto const* row = headers->tqh_first; row != nullptr;
         row = row->next.tqe_next)
        result.headers.push_back(field{row->key, row->value});
    result.body = take_all(evhttp_request_get_input_buffer(handle));
    char* host = nullptr;
    ev_uint16_t port = 0;
    evhttp_connection_get_peer(evhttp_request_get_connection(handle), &host,
                               &port);
    result.remote_host = host != nullptr ? host : "";
    return result;
}

bufferevent* buffer_of(evhttp_request* handle)
{
    auto* connection = evhttp_request_get_connection(handle);
    if (connection == nullptr)
        return nullptr;
    return evhttp_connection_get_bufferevent(connection);
}

// Makes evhttp notice that the caller goes away while its answer is pending.
// The read callback has to be off: evhttp ends the process when bytes of a
// next request arrive in that state. The watermark bounds those bytes.
void watch_for_close(evhttp_request* handle)
{
    bufferevent* buffer = buffer_of(handle);
    bufferevent_data_cb on_write = nullptr;
    bufferevent_event_cb on_event = nullptr;
    void* argument = nullptr;
    bufferevent_getcb(buffer, nullptr, &on_write, &on_event, &argument);
    bufferevent_setcb(buffer, nullptr, on_write, on_event, argument);
    bufferevent_setwatermark(buffer, EV_READ, 0, pipelined_limit_bytes);
    bufferevent_enable(buffer, EV_READ);
}

// The next request on the connection may be larger than the watermark.
void unwatch(evhttp_request* handle)
{
    auto* connection = evhttp_request_get_connection(handle);
    if (connection == nullptr)
        return;
    bufferevent_setwatermark(buffer_of(handle), EV_READ, 0, 0);
}

void set_headers(evhttp_request* handle, std::vector<field> const& headers)
{
    auto* output = evhttp_request_get_output_headers(handle);
    for (auto const& header : headers)
        evhttp_add_header(output, header.name.c_str(), header.value.c_str());
}

} // namespace jujubestand::http
