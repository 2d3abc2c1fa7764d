#include <jujubestand/http/client.hpp>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <jujubestand/core/byte_ledger.hpp>
#include <jujubestand/http/response_end.hpp>
#include <sys/socket.h>
#include <utility>
#include <vector>

namespace jujubestand::http
{

namespace
{

/// Bytes of framing beside a body of one-byte chunks.
constexpr std::size_t framing_factor = 8;

evhttp_cmd_type method_of(std::string const& name)
{
    if (name == "POST")
        return EVHTTP_REQ_POST;
    if (name == "PUT")
        return EVHTTP_REQ_PUT;
    if (name == "DELETE")
        return EVHTTP_REQ_DELETE;
    if (name == "HEAD")
        return EVHTTP_REQ_HEAD;
    if (name == "OPTIONS")
        return EVHTTP_REQ_OPTIONS;
    if (name == "PATCH")
        return EVHTTP_REQ_PATCH;
    return EVHTTP_REQ_GET;
}

std::string target_of(request const& sent)
{
    std::string const path = sent.path.empty() ? "/" : sent.path;
    return sent.query.empty() ? path : path + '?' + sent.query;
}

timeval to_timeval(std::chrono::milliseconds duration)
{
    auto const whole =
        std::chrono::duration_cast<std::chrono::seconds>(duration);
    std::chrono::microseconds const rest = duration - whole;
    return timeval{whole.count(), rest.count()};
}

} // namespace

struct client::state
{
    // One row per request; `owner` and `id` lead evhttp's callbacks back.
    struct exchange
    {
        state* owner = nullptr;
        exchange_id id;
        evhttp_connection* connection = nullptr;
        /// All that came, with framing.
        std::size_t received_bytes = 0;
        /// What the owner keeps of it.
        std::size_t kept_bytes = 0;
        bool has_status = false;
        bool has_head = false;
        bool has_sent = false;
        bool is_over = false;
        bool is_cancelled = false;
        /// The server had received all of it when the connection was closed.
        bool is_request_received = true;
        exchange_end end;
    };

    client* owner = nullptr;
    event_base* base = nullptr;
    client_options options;
    event* reap_event = nullptr;
    byte_ledger<exchange_id> kept;
    std::vector<exchange_id> over;
    // evhttp keeps the pointer that it is given; it points to the heap so
    // that growth of the map does not move it.
    slot_map<std::unique_ptr<exchange>, struct exchange_tag> exchanges;

    static void on_sent(evbuffer*, evbuffer_cb_info const* info, void* argument)
    {
        auto& row = *static_cast<exchange*>(argument);
        if (info->n_deleted == 0 || row.has_sent)
            return;
        row.has_sent = true;
        timeval const limit = to_timeval(row.owner->options.read_timeout);
        evhttp_connection_set_timeout_tv(row.connection, &limit);
    }

    bool is_within_limits(exchange const& row, std::size_t unparsed) const
    {
        auto const& limits = this->options;
        if (unparsed > limits.header_limit_bytes + limits.part_limit_bytes)
            return false;
        return limits.is_endless ||
               row.received_bytes / framing_factor <=
                   limits.header_limit_bytes + limits.body_limit_bytes;
    }

    // evhttp reads the line of a chunk's size, and heads before the last one,
    // without a limit.
    static void on_received(evbuffer* input, evbuffer_cb_info const* info,
                            void* argument)
    {
        auto& row = *static_cast<exchange*>(argument);
        auto const unparsed = evbuffer_get_length(input);
        row.received_bytes += info->n_added;
        if (row.is_over)
            return;
        if (!row.has_status && !check_status(row, input))
            row.owner->end_invalid(row);
        else if (!row.owner->is_within_limits(row, unparsed))
            row.owner->end_too_large(row, "answer without end");
        else
        {
            row.owner->kept.set(row.id, row.kept_bytes + unparsed);
            row.owner->end_excess();
        }
    }

    void end_too_large(exchange& row, char const* why)
    {
        row.end.why = reason{reason_code::answer_too_large, why, {}};
        this->finish(row, false);
    }

    // While its first line is not whole, the input begins with it.
    static bool check_status(exchange& row, evbuffer* input)
    {
        auto const is_valid = has_valid_status(input);
        row.has_status = is_valid == true;
        return is_valid != false;
    }

    void end_invalid(exchange& row)
    {
        row.end.why =
            reason{reason_code::status_invalid, "invalid HTTP status", {}};
        this->finish(row, false);
    }

    void end_excess()
    {
        for (auto const id : this->kept.excess())
            this->end_too_large(**this->exchanges.find(id),
                                "answers are too large together");
    }

    static int on_head(evhttp_request* handle, void* argument)
    {
        auto& row = *static_cast<exchange*>(argument);
        row.has_head = true;
        if (row.is_over)
            return 0;
        response_head head;
        head.status = evhttp_request_get_response_code(handle);
        auto const* headers = evhttp_request_get_input_headers(handle);
        for (auto const* line = headers->tqh_first; line != nullptr;
             line = line->next.tqe_next)
            head.headers.push_back(field{line->key, line->value});
        row.owner->owner->head.emit(row.id, head);
        return 0;
    }

    static void on_data(evhttp_request* handle, void* argument)
    {
        auto& row = *static_cast<exchange*>(argument);
        if (row.is_over)
            return;
        evbuffer* input = evhttp_request_get_input_buffer(handle);
        std::string bytes(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, bytes.data(), bytes.size());
        if (bytes.empty())
            return;
        row.kept_bytes += bytes.size();
        row.owner->owner->data.emit(row.id, bytes);
    }

    static void on_error(evhttp_request_error error, void* argument)
    {
        auto& row = *static_cast<exchange*>(argument);
        if (error == EVREQ_HTTP_TIMEOUT)
            row.end.why = reason{reason_code::upstream_timeout, "timeout", {}};
        else if (error == EVREQ_HTTP_DATA_TOO_LONG)
            row.end.why =
                reason{reason_code::answer_too_large, "answer too large", {}};
        else
            row.end.why =
                reason{reason_code::upstream_read_cut, "connection cut", {}};
    }

    static void on_closing(evhttp_connection* connection, void* argument)
    {
        auto& row = *static_cast<exchange*>(argument);
        row.is_request_received = is_acknowledged(connection);
    }

    static void on_done(evhttp_request* handle, void* argument)
    {
        auto& row = *static_cast<exchange*>(argument);
        if (row.is_over)
            return;
        bool const is_whole =
            handle != nullptr && row.has_head &&
            row.end.why.code == reason_code::none &&
            (row.is_request_received || !ends_by_close(handle));
        row.owner->finish(row, is_whole);
    }

    void finish(exchange& row, bool is_whole)
    {
        if (row.is_over)
            return;
        row.is_over = true;
        this->kept.erase(row.id);
        row.end.is_complete = is_whole;
        row.end.may_have_sent = row.has_sent;
        if (!is_whole && row.end.why.code == reason_code::none)
        {
            row.end.why.code = row.has_sent ? reason_code::upstream_read_cut
                                            : reason_code::upstream_unreachable;
            row.end.why.text = "connection cut";
        }
        this->reap_later(row.id);
    }

    void reap_later(exchange_id id)
    {
        this->over.push_back(id);
        event_active(this->reap_event, EV_TIMEOUT, 0);
    }

    // Ends are told and connections freed outside of evhttp's callbacks.
    static void on_reap(evutil_socket_t, short, void* argument)
    {
        auto* self = static_cast<state*>(argument);
        for (exchange_id const id : std::exchange(self->over, {}))
        {
            auto const* found = self->exchanges.find(id);
            if (found == nullptr)
                continue;
            exchange_end const end = (*found)->end;
            bool const is_told = !(*found)->is_cancelled;
            self->drop(id);
            if (is_told)
                self->owner->ended.emit(id, end);
        }
    }

    void drop(exchange_id id)
    {
        auto* found = this->exchanges.find(id);
        if (found == nullptr)
            return;
        (*found)->is_over = true;
        this->kept.erase(id);
        evhttp_connection* connection = (*found)->connection;
        if (connection != nullptr)
            evhttp_connection_free(connection);
        this->exchanges.erase(id);
    }

    evhttp_connection* connect(exchange& row, address const& where)
    {
        auto* buffer =
            bufferevent_socket_new(this->base, -1, BEV_OPT_CLOSE_ON_FREE);
        auto* connection = evhttp_connection_base_bufferevent_new(
            this->base, nullptr, buffer, where.host.c_str(), where.port);
        evbuffer_add_cb(bufferevent_get_output(buffer), on_sent, &row);
        evbuffer_add_cb(bufferevent_get_input(buffer), on_received, &row);
        evhttp_connection_set_retries(connection, 0);
        evhttp_connection_set_closecb(connection, on_closing, &row);
        evhttp_connection_set_max_headers_size(
            connection,
            static_cast<ev_ssize_t>(this->options.header_limit_bytes));
        if (!this->options.is_endless)
            evhttp_connection_set_max_body_size(
                connection,
                static_cast<ev_ssize_t>(this->options.body_limit_bytes));
        timeval const limit = to_timeval(this->options.connect_timeout);
        evhttp_connection_set_timeout_tv(connection, &limit);
        return connection;
    }

    void send(exchange& row, address const& where, request const& sent)
    {
        row.connection = this->connect(row, where);
        auto* handle = evhttp_request_new(on_done, &row);
        evhttp_request_set_header_cb(handle, on_head);
        evhttp_request_set_chunked_cb(handle, on_data);
        evhttp_request_set_error_cb(handle, on_error);
        auto* output = evhttp_request_get_output_headers(handle);
        bool const has_host = find_header(sent.headers, "Host").has_value();
        if (!has_host)
            evhttp_add_header(output, "Host", to_text(where).c_str());
        evhttp_add_header(output, "Connection", "close");
        for (auto const& header : sent.headers)
            evhttp_add_header(output, header.name.c_str(),
                              header.value.c_str());
        evbuffer_add(evhttp_request_get_output_buffer(handle), sent.body.data(),
                     sent.body.size());
        int const begun =
            evhttp_make_request(row.connection, handle, method_of(sent.method),
                                target_of(sent).c_str());
        if (begun != 0)
            this->finish(row, false);
    }
};

client::client(event_base* base, client_options options)
    : self(std::make_unique<state>())
{
    this->self->owner = this;
    this->self->base = base;
    this->self->options = options;
    this->self->kept.set_limit(options.kept_limit_bytes);
    this->self->reap_event =
        event_new(base, -1, 0, state::on_reap, this->self.get());
}

client::~client()
{
    for (exchange_id const id : this->self->exchanges.ids())
        this->self->drop(id);
    event_free(this->self->reap_event);
}

exchange_id client::start(address const& where, request sent)
{
    auto row = std::make_unique<state::exchange>();
    auto* fixed = row.get();
    fixed->owner = this->self.get();
    exchange_id const id = this->self->exchanges.insert(std::move(row));
    fixed->id = id;
    this->self->send(*fixed, where, sent);
    return id;
}

void client::cancel(exchange_id exchange)
{
    auto* found = this->self->exchanges.find(exchange);
    if (found == nullptr)
        return;
    (*found)->is_cancelled = true;
    if ((*found)->is_over)
        return;
    (*found)->is_over = true;
    this->self->kept.erase(exchange);
    this->self->reap_later(exchange);
}

void client::set_kept(exchange_id exchange, std::size_t bytes)
{
    auto* found = this->self->exchanges.find(exchange);
    if (found != nullptr)
        (*found)->kept_bytes = bytes;
}

void client::pause(exchange_id exchange)
{
    auto* found = this->self->exchanges.find(exchange);
    if (found != nullptr && (*found)->connection != nullptr)
        bufferevent_disable(
            evhttp_connection_get_bufferevent((*found)->connection), EV_READ);
}

void client::unpause(exchange_id exchange)
{
    auto* found = this->self->exchanges.find(exchange);
    if (found != nullptr && (*found)->connection != nullptr)
        bufferevent_enable(
            evhttp_connection_get_bufferevent((*found)->connection), EV_READ);
}

bool client::may_have_sent(exchange_id exchange)
{
    auto* found = this->self->exchanges.find(exchange);
    return found != nullptr && (*found)->has_sent;
}

std::size_t client::open_exchanges() const noexcept
{
    return this->self->exchanges.size();
}

} // namespace jujubestand::http
