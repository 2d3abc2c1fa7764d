#include <jujubestand/http/server.hpp>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <jujubestand/http/request_handle.hpp>
#include <sys/socket.h>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace jujubestand::http
{

namespace
{

struct pending
{
    evhttp_request* handle = nullptr;
    bool is_started = false;
    bool is_aborting = false;
};

} // namespace

struct server::state
{
    server* owner = nullptr;
    event_base* base = nullptr;
    evhttp* http = nullptr;
    evhttp_bound_socket* socket = nullptr;
    event* cut_event = nullptr;
    std::vector<caller_id> to_cut;
    slot_map<pending, struct caller_tag> callers;
    std::unordered_map<evhttp_connection*, caller_id> by_connection;
    // Answered, but their last bytes are not at the socket yet.
    std::unordered_set<evhttp_connection*> unflushed;

    static void on_request(evhttp_request* handle, void* argument)
    {
        auto* self = static_cast<state*>(argument);
        caller_id const caller = self->callers.insert(pending{handle, false});
        auto* connection = evhttp_request_get_connection(handle);
        self->by_connection[connection] = caller;
        request const received = read_request(handle);
        watch_for_close(handle);
        evhttp_connection_set_closecb(connection, on_close, self);
        self->owner->requested.emit(caller, received);
    }

    static void on_flushed(evhttp_request* handle, void* argument)
    {
        auto* connection = evhttp_request_get_connection(handle);
        static_cast<state*>(argument)->unflushed.erase(connection);
        evhttp_connection_set_closecb(connection, nullptr, nullptr);
    }

    static void on_close(evhttp_connection* connection, void* argument)
    {
        auto* self = static_cast<state*>(argument);
        self->unflushed.erase(connection);
        auto const found = self->by_connection.find(connection);
        if (found == self->by_connection.end())
            return;
        caller_id const caller = found->second;
        pending const gone = *self->callers.find(caller);
        self->forget(caller, connection);
        // Without a connection the request is ours to free.
        if (evhttp_request_get_connection(gone.handle) == nullptr)
            evhttp_request_free(gone.handle);
        if (!gone.is_aborting)
            self->owner->closed.emit(caller);
    }

    static void on_written(evhttp_connection* connection, void* argument)
    {
        auto* self = static_cast<state*>(argument);
        auto const found = self->by_connection.find(connection);
        if (found == self->by_connection.end())
            return;
        caller_id const caller = found->second;
        if (!self->callers.find(caller)->is_aborting)
            self->owner->drained.emit(caller);
    }

    // A connection is never freed from within evhttp's callback on it.
    static void on_output(evbuffer* output, evbuffer_cb_info const*,
                          void* argument)
    {
        auto* self = static_cast<state*>(argument);
        if (evbuffer_get_length(output) == 0)
            event_active(self->cut_event, EV_TIMEOUT, 0);
    }

    static void on_cut(evutil_socket_t, short, void* argument)
    {
        auto* self = static_cast<state*>(argument);
        for (caller_id const caller : std::exchange(self->to_cut, {}))
        {
            pending const* found = self->callers.find(caller);
            if (found == nullptr)
                continue;
            if (self->owner->buffered_bytes(caller) == 0)
                evhttp_connection_free(
                    evhttp_request_get_connection(found->handle));
            else
                self->to_cut.push_back(caller);
        }
    }

    void forget(caller_id caller, evhttp_connection* connection)
    {
        this->by_connection.erase(connection);
        this->callers.erase(caller);
    }

    // Takes a caller out before its last write.
    evhttp_request* release(caller_id caller)
    {
        pending const* found = this->callers.find(caller);
        if (found == nullptr)
            return nullptr;
        evhttp_request* handle = found->handle;
        auto* connection = evhttp_request_get_connection(handle);
        unwatch(handle);
        this->forget(caller, connection);
        this->unflushed.insert(connection);
        evhttp_request_set_on_complete_cb(handle, on_flushed, this);
        return handle;
    }
};

server::server(event_base* base, server_options options)
    : self(std::make_unique<state>())
{
    this->self->owner = this;
    this->self->base = base;
    this->self->http = evhttp_new(base);
    this->self->cut_event =
        event_new(base, -1, 0, state::on_cut, this->self.get());
    evhttp_set_max_headers_size(
        this->self->http, static_cast<ev_ssize_t>(options.header_limit_bytes));
    evhttp_set_max_body_size(this->self->http,
                             static_cast<ev_ssize_t>(options.body_limit_bytes));
    evhttp_set_timeout(this->self->http,
                       static_cast<int>(options.read_timeout.count()));
    evhttp_set_allowed_methods(
        this->self->http, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD |
                              EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE |
                              EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH);
    evhttp_set_gencb(this->self->http, state::on_request, this->self.get());
}

server::~server()
{
    for (auto const& row : this->self->by_connection)
        evhttp_connection_set_closecb(row.first, nullptr, nullptr);
    for (auto* connection : this->self->unflushed)
        evhttp_connection_set_closecb(connection, nullptr, nullptr);
    evhttp_free(this->self->http);
    event_free(this->self->cut_event);
}

std::optional<address> server::listen(address const& where, reason& why)
{
    auto* socket = evhttp_bind_socket_with_handle(
        this->self->http, where.host.c_str(), where.port);
    if (socket == nullptr)
    {
        why = reason{reason_code::settings_invalid, "cannot listen",
                     to_text(where)};
        return std::nullopt;
    }
    this->self->socket = socket;
    sockaddr_storage bound{};
    socklen_t size = sizeof(bound);
    ::getsockname(evhttp_bound_socket_get_fd(socket),
                  reinterpret_cast<sockaddr*>(&bound), &size);
    auto const port = bound.ss_family == AF_INET6
                          ? reinterpret_cast<sockaddr_in6*>(&bound)->sin6_port
                          : reinterpret_cast<sockaddr_in*>(&bound)->sin_port;
    return address{where.host, ntohs(port)};
}

void server::stop_accepting()
{
    if (this->self->socket == nullptr)
        return;
    evhttp_del_accept_socket(this->self->http, this->self->socket);
    this->self->socket = nullptr;
}

void server::reply(caller_id caller, int status,
                   std::vector<field> const& headers, std::string_view body)
{
    evhttp_request* handle = this->self->release(caller);
    if (handle == nullptr)
        return;
    set_headers(handle, headers);
    evbuffer* bytes = evbuffer_new();
    evbuffer_add(bytes, body.data(), body.size());
    evhttp_send_reply(handle, status, nullptr, bytes);
    evbuffer_free(bytes);
}

void server::start(caller_id caller, int status,
                   std::vector<field> const& headers)
{
    pending* found = this->self->callers.find(caller);
    if (found == nullptr || found->is_started)
        return;
    found->is_started = true;
    set_headers(found->handle, headers);
    evhttp_send_reply_start(found->handle, status, nullptr);
}

void server::write(caller_id caller, std::string_view bytes)
{
    pending const* found = this->self->callers.find(caller);
    if (found == nullptr || !found->is_started || found->is_aborting ||
        bytes.empty())
        return;
    evbuffer* chunk = evbuffer_new();
    evbuffer_add(chunk, bytes.data(), bytes.size());
    evhttp_send_reply_chunk_with_cb(found->handle, chunk, state::on_written,
                                    this->self.get());
    evbuffer_free(chunk);
}

void server::finish(caller_id caller)
{
    evhttp_request* handle = this->self->release(caller);
    if (handle != nullptr)
        evhttp_send_reply_end(handle);
}

void server::abort(caller_id caller)
{
    pending* found = this->self->callers.find(caller);
    if (found == nullptr || found->is_aborting)
        return;
    found->is_aborting = true;
    // What was written still goes out; the cut follows it.
    evbuffer_add_cb(bufferevent_get_output(buffer_of(found->handle)),
                    state::on_output, this->self.get());
    this->self->to_cut.push_back(caller);
    event_active(this->self->cut_event, EV_TIMEOUT, 0);
}

std::size_t server::buffered_bytes(caller_id caller)
{
    pending const* found = this->self->callers.find(caller);
    if (found == nullptr)
        return 0;
    bufferevent* buffer = buffer_of(found->handle);
    return buffer == nullptr
               ? 0
               : evbuffer_get_length(bufferevent_get_output(buffer));
}

std::size_t server::open_callers() const noexcept
{
    return this->self->callers.size() + this->self->unflushed.size();
}

} // namespace jujubestand::http
