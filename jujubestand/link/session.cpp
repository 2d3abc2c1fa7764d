#include <jujubestand/link/session.hpp>

#include <array>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <jujubestand/link/socket_address.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nghttp2/nghttp2.h>
#include <string_view>
#include <sys/socket.h>
#include <utility>

namespace jujubestand::link
{

namespace
{

// What waits in the socket's buffer; more stays in the streams' own queues,
// where it can still be dropped.
constexpr std::size_t buffer_high_bytes = 256U << 10U;
constexpr std::size_t buffer_low_bytes = 64U << 10U;

// Peers have proved who they are; many cancelled streams are no attack.
constexpr std::uint64_t resets_burst = 1'000'000;
constexpr std::uint64_t resets_per_s = 100'000;

nghttp2_nv field(std::string_view name, std::string_view value)
{
    // nghttp2 copies both; its type has no const for C's sake.
    auto const bytes = [](std::string_view text)
    {
        return const_cast<std::uint8_t*>(
            reinterpret_cast<std::uint8_t const*>(text.data()));
    };
    return nghttp2_nv{bytes(name), bytes(value), name.size(), value.size(),
                      NGHTTP2_NV_FLAG_NONE};
}

void set_no_delay(int socket)
{
    int const on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

nghttp2_option* make_options()
{
    nghttp2_option* options = nullptr;
    nghttp2_option_new(&options);
    nghttp2_option_set_no_auto_window_update(options, 1);
    nghttp2_option_set_stream_reset_rate_limit(options, resets_burst,
                                               resets_per_s);
    return options;
}

} // namespace

/// The C callbacks; each finds its session in the last argument.
struct session::callbacks
{
    static session& of(void* context)
    {
        return *static_cast<session*>(context);
    }

    static void put(void* context, session_event event)
    {
        of(context).inbox.push_back(std::move(event));
    }

    static int on_begin_headers(nghttp2_session*, nghttp2_frame const* frame,
                                void* context)
    {
        if (frame->headers.cat == NGHTTP2_HCAT_REQUEST)
            put(context,
                {session_event::kind_type::opened, frame->hd.stream_id, 0, ""});
        return 0;
    }

    static int on_frame(nghttp2_session*, nghttp2_frame const* frame,
                        void* context)
    {
        bool const has_end =
            frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
        if (has_end && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0)
            put(context, {session_event::kind_type::peer_ended,
                          frame->hd.stream_id, 0, ""});
        return 0;
    }

    static int on_data(nghttp2_session* protocol, std::uint8_t,
                       std::int32_t stream, std::uint8_t const* bytes,
                       std::size_t length, void* context)
    {
        // A stalled stream holds its own window only, never the link's.
        nghttp2_session_consume_connection(protocol, length);
        auto const* text = reinterpret_cast<char const*>(bytes);
        put(context, {session_event::kind_type::data, stream, 0,
                      std::string(text, length)});
        return 0;
    }

    static int on_close(nghttp2_session*, std::int32_t stream,
                        std::uint32_t error_code, void* context)
    {
        put(context, {session_event::kind_type::ended, stream, error_code, ""});
        return 0;
    }

    static ssize_t on_read(nghttp2_session*, std::int32_t stream,
                           std::uint8_t* into, std::size_t limit,
                           std::uint32_t* flags, nghttp2_data_source*,
                           void* context)
    {
        auto const output =
            of(context).source(stream, {reinterpret_cast<char*>(into), limit});
        if (output.is_last)
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        else if (output.bytes == 0)
            return NGHTTP2_ERR_DEFERRED;
        return static_cast<ssize_t>(output.bytes);
    }

    static nghttp2_data_provider provider()
    {
        nghttp2_data_provider made{};
        made.read_callback = on_read;
        return made;
    }

    static void on_readable(bufferevent* buffer, void* context)
    {
        session& self = of(context);
        evbuffer* const input = bufferevent_get_input(buffer);
        std::size_t const length = evbuffer_get_length(input);
        self.last_read = mono_now();
        self.read += length;
        auto const taken = nghttp2_session_mem_recv(
            self.protocol, evbuffer_pullup(input, -1), length);
        evbuffer_drain(input, length);
        self.deliver();
        if (taken < 0)
            self.fail(reason_code::link_malformed,
                      nghttp2_strerror(static_cast<int>(taken)));
        self.flush();
    }

    static void on_writable(bufferevent*, void* context)
    {
        of(context).flush();
    }

    static void on_change(bufferevent* buffer, short what, void* context)
    {
        session& self = of(context);
        if ((what & BEV_EVENT_CONNECTED) != 0)
        {
            set_no_delay(bufferevent_getfd(buffer));
            self.last_read = mono_now();
            self.up.emit();
            self.flush();
            return;
        }
        if ((what & BEV_EVENT_EOF) != 0)
            self.fail(reason_code::link_unreachable, "peer closed the link");
        else
            self.fail(reason_code::link_unreachable,
                      evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
    }
};

std::unique_ptr<session> session::connect(event_base* base,
                                          address const& where,
                                          session_limits const& limits,
                                          reason& why)
{
    auto wanted = to_socket_address(where);
    std::unique_ptr<session> made(new session);
    made->buffer = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    made->start(true, limits);
    if (wanted &&
        bufferevent_socket_connect(made->buffer, wanted->get(),
                                   static_cast<int>(wanted->length)) == 0)
        return made;
    why =
        reason{reason_code::link_unreachable, "cannot connect", to_text(where)};
    return nullptr;
}

std::unique_ptr<session> session::adopt(event_base* base, int socket,
                                        session_limits const& limits)
{
    std::unique_ptr<session> made(new session);
    set_no_delay(socket);
    made->buffer = bufferevent_socket_new(base, socket, BEV_OPT_CLOSE_ON_FREE);
    made->start(false, limits);
    return made;
}

void session::start(bool is_client, session_limits const& limits)
{
    this->last_read = mono_now();
    bufferevent_setcb(this->buffer, callbacks::on_readable,
                      callbacks::on_writable, callbacks::on_change, this);
    bufferevent_setwatermark(this->buffer, EV_WRITE, buffer_low_bytes, 0);
    bufferevent_enable(this->buffer, EV_READ | EV_WRITE);

    nghttp2_session_callbacks* table = nullptr;
    nghttp2_session_callbacks_new(&table);
    nghttp2_session_callbacks_set_on_begin_headers_callback(
        table, callbacks::on_begin_headers);
    nghttp2_session_callbacks_set_on_frame_recv_callback(table,
                                                         callbacks::on_frame);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
        table, callbacks::on_data);
    nghttp2_session_callbacks_set_on_stream_close_callback(table,
                                                           callbacks::on_close);
    nghttp2_option* const options = make_options();
    if (is_client)
        nghttp2_session_client_new2(&this->protocol, table, this, options);
    else
        nghttp2_session_server_new2(&this->protocol, table, this, options);
    nghttp2_option_del(options);
    nghttp2_session_callbacks_del(table);

    std::array<nghttp2_settings_entry, 2> const settings{{
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, limits.streams_limit},
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE,
         static_cast<std::uint32_t>(limits.stream_window_bytes)},
    }};
    nghttp2_submit_settings(this->protocol, NGHTTP2_FLAG_NONE, settings.data(),
                            settings.size());
    nghttp2_session_set_local_window_size(
        this->protocol, NGHTTP2_FLAG_NONE, 0,
        static_cast<std::int32_t>(limits.connection_window_bytes));
}

session::~session()
{
    // What waits in the buffer must not leave any more: its streams are
    // reported as unsent.
    bufferevent_disable(this->buffer, EV_READ | EV_WRITE);
    bufferevent_free(this->buffer);
    nghttp2_session_del(this->protocol);
}

std::optional<std::int32_t> session::open()
{
    std::array const fields{field(":method", "POST"), field(":scheme", "http"),
                            field(":authority", "link"), field(":path", "/")};
    auto const provider = callbacks::provider();
    auto const stream =
        nghttp2_submit_request(this->protocol, nullptr, fields.data(),
                               fields.size(), &provider, nullptr);
    if (stream < 0)
        return std::nullopt;
    return stream;
}

void session::accept(std::int32_t stream)
{
    std::array const fields{field(":status", "200")};
    auto const provider = callbacks::provider();
    nghttp2_submit_response(this->protocol, stream, fields.data(),
                            fields.size(), &provider);
}

void session::resume(std::int32_t stream)
{
    nghttp2_session_resume_data(this->protocol, stream);
}

void session::reset(std::int32_t stream, std::uint32_t error_code)
{
    nghttp2_submit_rst_stream(this->protocol, NGHTTP2_FLAG_NONE, stream,
                              error_code);
}

void session::consume(std::int32_t stream, std::size_t bytes)
{
    nghttp2_session_consume_stream(this->protocol, stream, bytes);
}

void session::ping()
{
    nghttp2_submit_ping(this->protocol, NGHTTP2_FLAG_NONE, nullptr);
}

void session::flush()
{
    evbuffer* const output = bufferevent_get_output(this->buffer);
    while (!this->is_failed && evbuffer_get_length(output) < buffer_high_bytes)
    {
        std::uint8_t const* bytes = nullptr;
        auto const length = nghttp2_session_mem_send(this->protocol, &bytes);
        if (length < 0)
            this->fail(reason_code::link_malformed,
                       nghttp2_strerror(static_cast<int>(length)));
        if (length <= 0)
            break;
        evbuffer_add(output, bytes, static_cast<std::size_t>(length));
        this->buffered += static_cast<std::uint64_t>(length);
    }
    this->deliver();
    bool const is_over = nghttp2_session_want_read(this->protocol) == 0 &&
                         nghttp2_session_want_write(this->protocol) == 0;
    if (is_over)
        this->fail(reason_code::link_malformed, "session was terminated");
}

std::uint64_t session::buffered_bytes() const noexcept
{
    return this->buffered;
}

std::uint64_t session::written_bytes() const noexcept
{
    return this->buffered -
           evbuffer_get_length(bufferevent_get_output(this->buffer));
}

std::uint64_t session::read_bytes() const noexcept
{
    return this->read;
}

mono_time session::heard() const noexcept
{
    return this->last_read;
}

void session::deliver()
{
    while (!this->inbox.empty())
    {
        auto const batch = std::exchange(this->inbox, {});
        this->arrived.emit(batch);
    }
}

void session::fail(reason_code code, std::string text)
{
    if (std::exchange(this->is_failed, true))
        return;
    this->down.emit(reason{code, std::move(text), ""});
}

} // namespace jujubestand::link
