#include <standins/support/http_server.hpp>

#include <charconv>
#include <cstring>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>

namespace jujubestand::standins
{

namespace
{

constexpr ev_ssize_t body_limit_bytes = 64 << 20;
constexpr ev_ssize_t headers_limit_bytes = 64 << 10;

constexpr int all_methods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
                            EVHTTP_REQ_DELETE | EVHTTP_REQ_HEAD |
                            EVHTTP_REQ_PATCH;

std::uint16_t port_of(evhttp_bound_socket* socket)
{
    sockaddr_storage storage{};
    socklen_t length = sizeof(storage);
    ::getsockname(evhttp_bound_socket_get_fd(socket),
                  reinterpret_cast<sockaddr*>(&storage), &length);
    if (storage.ss_family == AF_INET6)
        return ntohs(reinterpret_cast<sockaddr_in6*>(&storage)->sin6_port);
    return ntohs(reinterpret_cast<sockaddr_in*>(&storage)->sin_port);
}

http_call read_call(evhttp_request* request)
{
    http_call call;
    call.request = request;
    auto const* uri = evhttp_request_get_evhttp_uri(request);
    char const* path = evhttp_uri_get_path(uri);
    call.path = path != nullptr ? path : "/";
    char const* query = evhttp_uri_get_query(uri);
    if (query == nullptr)
        return call;
    evkeyvalq fields{};
    if (evhttp_parse_query_str(query, &fields) == 0)
    {
        for (auto* field = fields.tqh_first; field != nullptr;
             field = field->next.tqe_next)
            call.query[field->key] = field->value;
    }
    evhttp_clear_headers(&fields);
    return call;
}

void run_close_watch(evhttp_connection*, void* context)
{
    // The action may drop the place that it is kept in.
    auto const gone = *static_cast<std::function<void()>*>(context);
    gone();
}

} // namespace

void event_deleter::operator()(event_base* base) const noexcept
{
    event_base_free(base);
}

void event_deleter::operator()(evhttp* server) const noexcept
{
    evhttp_free(server);
}

void event_deleter::operator()(event* timer) const noexcept
{
    event_free(timer);
}

std::string http_call::body() const
{
    evbuffer* input = evhttp_request_get_input_buffer(this->request);
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_copyout(input, bytes.data(), bytes.size());
    return bytes;
}

std::string http_call::header(char const* name) const
{
    char const* value = evhttp_find_header(
        evhttp_request_get_input_headers(this->request), name);
    return value != nullptr ? value : "";
}

std::string http_call::text(std::string const& name,
                            std::string const& otherwise) const
{
    auto const found = this->query.find(name);
    return found == this->query.end() ? otherwise : found->second;
}

std::uint64_t http_call::number(std::string const& name,
                                std::uint64_t otherwise) const
{
    auto const found = this->query.find(name);
    if (found == this->query.end())
        return otherwise;
    std::uint64_t value = otherwise;
    std::string const& digits = found->second;
    std::from_chars(digits.data(), digits.data() + digits.size(), value);
    return value;
}

http_server::http_server(event_base* base, address const& listen_at)
    : server(evhttp_new(base))
    , where(listen_at)
{
    evhttp_set_max_body_size(this->server.get(), body_limit_bytes);
    evhttp_set_max_headers_size(this->server.get(), headers_limit_bytes);
    evhttp_set_allowed_methods(this->server.get(), all_methods);
    auto* socket = evhttp_bind_socket_with_handle(
        this->server.get(), listen_at.host.c_str(), listen_at.port);
    if (socket == nullptr)
        throw std::runtime_error("cannot listen at " + to_text(listen_at));
    this->where.port = port_of(socket);
    evhttp_set_gencb(
        this->server.get(),
        [](evhttp_request* request, void* context)
        {
            static_cast<http_server*>(context)->dispatch(request);
        },
        this);
}

void http_server::on(evhttp_cmd_type method, std::string prefix,
                     http_handler handler)
{
    this->rules.push_back(rule{method, std::move(prefix), std::move(handler)});
}

address http_server::bound() const
{
    return this->where;
}

void http_server::dispatch(evhttp_request* request)
{
    http_call const call = read_call(request);
    auto const method = evhttp_request_get_command(request);
    rule const* best = nullptr;
    for (rule const& candidate : this->rules)
    {
        if (candidate.method != method ||
            !call.path.starts_with(candidate.prefix))
            continue;
        if (best == nullptr || candidate.prefix.size() > best->prefix.size())
            best = &candidate;
    }
    if (best == nullptr)
        return reply(request, HTTP_NOTFOUND, R"({"error":"no such path"})");
    best->handler(call);
}

void reply(evhttp_request* request, int status, std::string_view body,
           char const* content_type)
{
    auto* headers = evhttp_request_get_output_headers(request);
    if (evhttp_find_header(headers, "Content-Type") == nullptr)
        evhttp_add_header(headers, "Content-Type", content_type);
    auto* output = evhttp_request_get_output_buffer(request);
    evbuffer_add(output, body.data(), body.size());
    evhttp_send_reply(request, status, nullptr, nullptr);
}

void add_words(evhttp_request* request, upstream_words const& words)
{
    auto* const headers = evhttp_request_get_output_headers(request);
    if (!words.limit.empty())
        evhttp_add_header(headers, "Server-Limit", words.limit.c_str());
    if (words.is_leaving)
        evhttp_add_header(headers, "Server-Leaving", "1");
}

void refuse_for_pause(evhttp_request* request, std::string const& retry_after)
{
    auto* const headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "X-Not-Executed", "1");
    evhttp_add_header(headers, "Retry-After", retry_after.c_str());
    reply(request, HTTP_SERVUNAVAIL, "");
}

// The shutdown makes libevent see the end of the connection by itself, after
// the running callback, and free both ends of its own state.
void cut(evhttp_request* request)
{
    auto* connection = evhttp_request_get_connection(request);
    if (connection == nullptr)
        return;
    auto* buffer = evhttp_connection_get_bufferevent(connection);
    bufferevent_enable(buffer, EV_READ);
    ::shutdown(bufferevent_getfd(buffer), SHUT_RDWR);
}

// evhttp watches an idle reader only if reading stays enabled. Its read
// callback ends the process if bytes come before the answer, so it is taken
// off; the answer's first write does the same.
void watch_close(evhttp_request* request, std::function<void()>* gone)
{
    auto* connection = evhttp_request_get_connection(request);
    evhttp_connection_set_closecb(connection, run_close_watch, gone);
    auto* buffer = evhttp_connection_get_bufferevent(connection);
    bufferevent_data_cb read = nullptr;
    bufferevent_data_cb write = nullptr;
    bufferevent_event_cb event = nullptr;
    void* context = nullptr;
    bufferevent_getcb(buffer, &read, &write, &event, &context);
    bufferevent_setcb(buffer, nullptr, write, event, context);
    bufferevent_enable(buffer, EV_READ);
}

void unwatch_close(evhttp_request* request)
{
    auto* connection = evhttp_request_get_connection(request);
    if (connection != nullptr)
        evhttp_connection_set_closecb(connection, nullptr, nullptr);
}

} // namespace jujubestand::standins
