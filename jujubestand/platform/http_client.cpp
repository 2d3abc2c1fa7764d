#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <jujubestand/http/response_end.hpp>
#include <jujubestand/platform/http_client.hpp>
#include <jujubestand/platform/libevent.hpp>
#include <limits>
#include <optional>
#include <strings.h>
#include <sys/queue.h>
#include <utility>

namespace jujubestand::platform
{

namespace
{

constexpr ev_ssize_t header_limit_bytes = 65'536;

struct connection_deleter
{
    void operator()(evhttp_connection* owned) const noexcept
    {
        // Its owner may be on its way out.
        evhttp_connection_set_closecb(owned, nullptr, nullptr);
        evhttp_connection_free(owned);
    }
};

using connection_ptr = std::unique_ptr<evhttp_connection, connection_deleter>;

evhttp_cmd_type command_of(http_method method) noexcept
{
    switch (method)
    {
    case http_method::post:
        return EVHTTP_REQ_POST;
    case http_method::put:
        return EVHTTP_REQ_PUT;
    case http_method::del:
        return EVHTTP_REQ_DELETE;
    case http_method::get:
        break;
    }
    return EVHTTP_REQ_GET;
}

std::string drain_text(evbuffer* buffer)
{
    std::string text(evbuffer_get_length(buffer), '\0');
    evbuffer_remove(buffer, text.data(), text.size());
    return text;
}

reason reason_of(std::optional<evhttp_request_error> error, bool sent,
                 bool has_invalid_status)
{
    if (has_invalid_status)
        return {reason_code::status_invalid, "invalid HTTP status", {}};
    if (error == EVREQ_HTTP_TIMEOUT)
        return {reason_code::upstream_timeout, "no whole answer in time", {}};
    if (error == EVREQ_HTTP_DATA_TOO_LONG)
        return {reason_code::answer_too_large, "answer over its limit", {}};
    if (!sent)
        return {reason_code::upstream_unreachable, "cannot connect", {}};
    return {reason_code::upstream_read_cut, "connection cut", {}};
}

void read_answer(evhttp_request* answer, http_result& result)
{
    result.status = evhttp_request_get_response_code(answer);
    auto const* fields = evhttp_request_get_input_headers(answer);
    for (auto const* at = fields->tqh_first; at != nullptr;
         at = at->next.tqe_next)
        result.headers.push_back(http_header{at->key, at->value});
    result.body = drain_text(evhttp_request_get_input_buffer(answer));
}

} // namespace

struct http_client::state
{
    // What libevent's callbacks hold: lives as long as its connection.
    struct context
    {
        state* owner = nullptr;
        http_call_id id;
    };

    struct call
    {
        std::unique_ptr<context> held;
        connection_ptr connection;
        event_ptr timer;
        http_callback done;
        std::optional<evhttp_request_error> error;
        bool sent = false;
        std::size_t input_limit_bytes = 0;
        /// The server had received all of it when the connection was closed.
        bool is_request_received = true;
        bool has_status = false;
        bool has_invalid_status = false;
    };

    event_base* base = nullptr;
    slot_map<call, http_call_tag> calls;
    std::vector<call> finished;
    event_ptr sweeper;
    std::uint64_t moved_bytes = 0;

    void finish(http_call_id id, http_result result);
    void retire(http_call_id id);
    void fail_soon(http_call_id id);

    static void on_done(evhttp_request* answer, void* argument);
    static void on_error(evhttp_request_error error, void* argument);
    static void on_closing(evhttp_connection* connection, void* argument);
    static void on_output(evbuffer* buffer, evbuffer_cb_info const* info,
                          void* argument);
    static void on_input(evbuffer* buffer, evbuffer_cb_info const* info,
                         void* argument);
    static void on_timeout(evutil_socket_t socket, short what, void* argument);
    static void on_sweep(evutil_socket_t socket, short what, void* argument);
};

// A connection may be on the stack that called us, so it is freed by the
// sweeper in the loop's next turn.
void http_client::state::retire(http_call_id id)
{
    call* found = this->calls.find(id);
    if (found == nullptr)
        return;
    found->timer.reset();
    this->finished.push_back(std::move(*found));
    this->calls.erase(id);
    event_active(this->sweeper.get(), EV_TIMEOUT, 0);
}

void http_client::state::finish(http_call_id id, http_result result)
{
    call* found = this->calls.find(id);
    if (found == nullptr)
        return;
    result.may_have_sent = found->sent;
    if (result.status == 0)
        result.why =
            reason_of(found->error, found->sent, found->has_invalid_status);
    this->moved_bytes += result.body.size();
    http_callback const done = std::move(found->done);
    this->retire(id);
    done(result);
}

void http_client::state::fail_soon(http_call_id id)
{
    call* found = this->calls.find(id);
    if (found == nullptr)
        return;
    found->error = EVREQ_HTTP_BUFFER_ERROR;
    event_active(found->timer.get(), EV_TIMEOUT, 0);
}

void http_client::state::on_done(evhttp_request* answer, void* argument)
{
    auto const* held = static_cast<context*>(argument);
    call* found = held->owner->calls.find(held->id);
    if (found == nullptr)
        return;
    http_result result;
    if (answer != nullptr && !found->error)
    {
        bool const is_whole =
            found->is_request_received || !http::ends_by_close(answer);
        if (is_whole)
            read_answer(answer, result);
    }
    held->owner->finish(held->id, std::move(result));
}

void http_client::state::on_closing(evhttp_connection* connection,
                                    void* argument)
{
    auto const* held = static_cast<context*>(argument);
    call* found = held->owner->calls.find(held->id);
    if (found != nullptr)
        found->is_request_received = http::is_acknowledged(connection);
}

void http_client::state::on_error(evhttp_request_error error, void* argument)
{
    auto const* held = static_cast<context*>(argument);
    call* found = held->owner->calls.find(held->id);
    if (found != nullptr)
        found->error = error;
}

// evhttp fills the output only once connected, and disables writing before it
// drops what was not sent: bytes that leave while writing is enabled went out.
void http_client::state::on_output(evbuffer* /*buffer*/,
                                   evbuffer_cb_info const* info, void* argument)
{
    auto const* held = static_cast<context*>(argument);
    call* found = held->owner->calls.find(held->id);
    if (found == nullptr || info->n_deleted == 0)
        return;
    auto* stream = evhttp_connection_get_bufferevent(found->connection.get());
    if ((bufferevent_get_enabled(stream) & EV_WRITE) != 0)
        found->sent = true;
}

// evhttp reads the line of a chunk's size without a limit.
void http_client::state::on_input(evbuffer* buffer,
                                  evbuffer_cb_info const* /*info*/,
                                  void* argument)
{
    auto const* held = static_cast<context*>(argument);
    call* found = held->owner->calls.find(held->id);
    if (found == nullptr || found->error)
        return;
    if (!found->has_status)
    {
        // While its first line is not whole, the input begins with it.
        auto const is_valid = http::has_valid_status(buffer);
        found->has_status = is_valid == true;
        found->has_invalid_status = is_valid == false;
    }
    if (found->has_invalid_status)
        found->error = EVREQ_HTTP_INVALID_HEADER;
    else if (evbuffer_get_length(buffer) > found->input_limit_bytes)
        found->error = EVREQ_HTTP_DATA_TOO_LONG;
    if (found->error)
        event_active(found->timer.get(), EV_TIMEOUT, 0);
}

void http_client::state::on_timeout(evutil_socket_t /*socket*/, short /*what*/,
                                    void* argument)
{
    auto const* held = static_cast<context*>(argument);
    call* found = held->owner->calls.find(held->id);
    if (found == nullptr)
        return;
    if (!found->error)
        found->error = EVREQ_HTTP_TIMEOUT;
    held->owner->finish(held->id, http_result{});
}

void http_client::state::on_sweep(evutil_socket_t /*socket*/, short /*what*/,
                                  void* argument)
{
    auto* owner = static_cast<state*>(argument);
    std::vector<call> const swept = std::move(owner->finished);
    owner->finished.clear();
}

std::string_view find_header(http_result const& result,
                             std::string_view name) noexcept
{
    for (auto const& field : result.headers)
    {
        if (field.name.size() == name.size() &&
            strncasecmp(field.name.data(), name.data(), name.size()) == 0)
            return field.value;
    }
    return {};
}

http_client::http_client(event_base* base)
    : self(std::make_unique<state>())
{
    this->self->base = base;
    this->self->sweeper.reset(
        event_new(base, -1, 0, state::on_sweep, this->self.get()));
}

http_client::~http_client() = default;

http_call_id http_client::start(http_request const& request, http_callback done)
{
    state& client = *this->self;
    auto held = std::make_unique<state::context>();
    held->owner = &client;
    state::context* const argument = held.get();
    connection_ptr connection(evhttp_connection_base_new(
        client.base, nullptr, request.server.host.c_str(),
        request.server.port));
    evhttp_connection* const raw = connection.get();
    evhttp_connection_set_retries(raw, 0);
    evhttp_connection_set_closecb(raw, state::on_closing, argument);
    evhttp_connection_set_max_headers_size(raw, header_limit_bytes);
    evhttp_connection_set_max_body_size(
        raw, static_cast<ev_ssize_t>(request.answer_limit_bytes));
    timeval const limit = to_timeval(request.timeout);
    evhttp_connection_set_timeout_tv(raw, &limit);
    evbuffer_add_cb(
        bufferevent_get_output(evhttp_connection_get_bufferevent(raw)),
        state::on_output, argument);
    evbuffer_add_cb(
        bufferevent_get_input(evhttp_connection_get_bufferevent(raw)),
        state::on_input, argument);
    event_ptr timer(evtimer_new(client.base, state::on_timeout, argument));
    evtimer_add(timer.get(), &limit);

    auto const id = client.calls.insert(
        state::call{std::move(held), std::move(connection), std::move(timer),
                    std::move(done), std::nullopt, false,
                    request.answer_limit_bytes +
                        static_cast<std::size_t>(header_limit_bytes)});
    argument->id = id;
    evhttp_request* const sent = evhttp_request_new(state::on_done, argument);
    evhttp_request_set_error_cb(sent, state::on_error);
    auto* fields = evhttp_request_get_output_headers(sent);
    evhttp_add_header(fields, "Host", to_text(request.server).c_str());
    evhttp_add_header(fields, "Connection", "close");
    for (auto const& field : request.headers)
        evhttp_add_header(fields, field.name.c_str(), field.value.c_str());
    evbuffer_add(evhttp_request_get_output_buffer(sent), request.body.data(),
                 request.body.size());
    client.moved_bytes += request.body.size() + request.target.size();
    // A failure at once calls nothing back; the timer reports it.
    if (evhttp_make_request(raw, sent, command_of(request.method),
                            request.target.c_str()) != 0)
        client.fail_soon(id);
    return id;
}

void http_client::cancel(http_call_id call)
{
    this->self->retire(call);
}

std::uint64_t http_client::bytes() const noexcept
{
    return this->self->moved_bytes;
}

} // namespace jujubestand::platform
