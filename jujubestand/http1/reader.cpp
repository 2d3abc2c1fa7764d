#include <jujubestand/http1/reader.hpp>

#include <array>
#include <event2/buffer.h>
#include <http_parser.h>
#include <limits>
#include <string_view>
#include <utility>

namespace jujubestand::http1
{

namespace
{

constexpr std::string_view head_end = "\r\n\r\n";

/// Bytes of framing beside a body of one-byte chunks.
constexpr std::size_t framing_factor = 8;

reason too_large(reason_code code, char const* text)
{
    return reason{code, text, {}};
}

} // namespace

// Whether the first bytes are those of a response, as far as they came.
bool may_begin_response(evbuffer* input)
{
    constexpr std::string_view beginning = "HTTP/1.";
    std::array<char, beginning.size()> first{};
    auto const size = evbuffer_copyout(input, first.data(), first.size());
    return size >= 0 && beginning.starts_with(std::string_view(
                            first.data(), static_cast<std::size_t>(size)));
}

// A response whose head marks no end of its body may still have none, as one
// with status 204 has.
body_framing framing_of(http_parser const& parser)
{
    if ((parser.flags & F_CHUNKED) != 0)
        return body_framing::chunked;
    if (parser.content_length != std::numeric_limits<std::uint64_t>::max())
        return body_framing::length;
    return body_framing::close;
}

// On the heap, since the parser's callbacks keep its address.
struct reader::state
{
    message_kind kind = message_kind::request;
    reader_limits limits;
    http_parser parser{};
    message_head head;
    std::string body;
    std::size_t body_bytes = 0;
    /// Bytes of the body with its chunks' sizes and extensions.
    std::size_t framed_bytes = 0;
    bool has_head = false;
    bool is_complete = false;
    bool is_value = false;

    void start();
    [[nodiscard]] bool is_too_long() const;
    std::optional<reason> take_head(evbuffer* input);
    std::optional<reason> take_body(evbuffer* input);

    static state* of(http_parser* parser)
    {
        return static_cast<state*>(parser->data);
    }
    static int on_target(http_parser* parser, char const* at, size_t size);
    static int on_name(http_parser* parser, char const* at, size_t size);
    static int on_value(http_parser* parser, char const* at, size_t size);
    static int on_head(http_parser* parser);
    static int on_body(http_parser* parser, char const* at, size_t size);
    static int on_complete(http_parser* parser);
    static http_parser_settings const& callbacks();
};

int reader::state::on_target(http_parser* parser, char const* at, size_t size)
{
    of(parser)->head.target.append(at, size);
    return 0;
}

int reader::state::on_name(http_parser* parser, char const* at, size_t size)
{
    state* const self = of(parser);
    // Fields after a chunked body (trailers) are not passed on.
    if (self->has_head)
        return 0;
    if (self->is_value || self->head.fields.empty())
        self->head.fields.emplace_back();
    self->is_value = false;
    self->head.fields.back().name.append(at, size);
    return 0;
}

int reader::state::on_value(http_parser* parser, char const* at, size_t size)
{
    state* const self = of(parser);
    if (self->has_head)
        return 0;
    self->is_value = true;
    self->head.fields.back().value.append(at, size);
    return 0;
}

int reader::state::on_head(http_parser* parser)
{
    state* const self = of(parser);
    self->has_head = true;
    for (auto& field : self->head.fields)
        field.value.erase(field.value.find_last_not_of(" \t") + 1);
    self->head.status = static_cast<int>(parser->status_code);
    if (self->kind == message_kind::request)
        self->head.method =
            http_method_str(static_cast<http_method>(parser->method));
    if (self->kind == message_kind::response)
        self->head.framing = framing_of(*parser);
    self->head.is_keep_alive = http_should_keep_alive(parser) != 0;
    self->head.takes_chunks = parser->http_major > 1 || parser->http_minor >= 1;
    // No other protocol is offered: a request to upgrade is an ordinary one.
    parser->upgrade = 0;
    return 0;
}

int reader::state::on_body(http_parser* parser, char const* at, size_t size)
{
    of(parser)->body.append(at, size);
    return 0;
}

int reader::state::on_complete(http_parser* parser)
{
    of(parser)->is_complete = true;
    // Stops here: what follows belongs to the next message.
    http_parser_pause(parser, 1);
    return 0;
}

http_parser_settings const& reader::state::callbacks()
{
    static http_parser_settings const settings = []
    {
        http_parser_settings made;
        http_parser_settings_init(&made);
        made.on_url = on_target;
        made.on_header_field = on_name;
        made.on_header_value = on_value;
        made.on_headers_complete = on_head;
        made.on_body = on_body;
        made.on_message_complete = on_complete;
        return made;
    }();
    return settings;
}

void reader::state::start()
{
    http_parser_init(&this->parser, this->kind == message_kind::request
                                        ? HTTP_REQUEST
                                        : HTTP_RESPONSE);
    this->parser.data = this;
    this->head = message_head{};
    this->body.clear();
    this->body_bytes = 0;
    this->framed_bytes = 0;
    this->has_head = false;
    this->is_complete = false;
    this->is_value = false;
}

// By its length alone, so that a request is refused before its body comes.
bool reader::state::is_too_long() const
{
    return this->kind == message_kind::request &&
           framing_of(this->parser) == body_framing::length &&
           this->parser.content_length > this->limits.body_bytes;
}

std::optional<reason> reader::state::take_head(evbuffer* input)
{
    auto const found =
        evbuffer_search(input, head_end.data(), head_end.size(), nullptr);
    std::size_t const available = evbuffer_get_length(input);
    if (this->kind == message_kind::response && !may_begin_response(input))
        return reason{
            reason_code::malformed_request, "bytes are no response", {}};
    if (found.pos < 0)
    {
        if (available > this->limits.head_bytes)
            return too_large(reason_code::malformed_request, "head too large");
        return std::nullopt;
    }
    std::size_t const size =
        static_cast<std::size_t>(found.pos) + head_end.size();
    if (size > this->limits.head_bytes)
        return too_large(reason_code::malformed_request, "head too large");
    auto const* bytes = reinterpret_cast<char const*>(
        evbuffer_pullup(input, static_cast<ev_ssize_t>(size)));
    reason why;
    if (!is_unambiguous({bytes, size}, why))
        return why;
    std::size_t const used =
        http_parser_execute(&this->parser, &callbacks(), bytes, size);
    auto const error = HTTP_PARSER_ERRNO(&this->parser);
    if (error != HPE_OK && error != HPE_PAUSED)
        return reason{
            reason_code::malformed_request, http_errno_description(error), {}};
    evbuffer_drain(input, error == HPE_PAUSED ? size : used);
    return std::nullopt;
}

std::optional<reason> reader::state::take_body(evbuffer* input)
{
    while (!this->is_complete && evbuffer_get_length(input) > 0)
    {
        std::size_t const size = evbuffer_get_contiguous_space(input);
        auto const* bytes = reinterpret_cast<char const*>(
            evbuffer_pullup(input, static_cast<ev_ssize_t>(size)));
        std::size_t const before = this->body.size();
        std::size_t const used =
            http_parser_execute(&this->parser, &callbacks(), bytes, size);
        auto const error = HTTP_PARSER_ERRNO(&this->parser);
        if (error != HPE_OK && error != HPE_PAUSED)
            return reason{reason_code::malformed_request,
                          http_errno_description(error),
                          {}};
        evbuffer_drain(input, used);
        this->body_bytes += this->body.size() - before;
        this->framed_bytes += used;
        if (this->body_bytes > this->limits.body_bytes ||
            this->framed_bytes > this->limits.head_bytes +
                                     framing_factor * this->limits.body_bytes)
            return too_large(reason_code::body_too_large, "body too large");
        if (used < size && !this->is_complete)
            return reason{reason_code::malformed_request, "unread bytes", {}};
    }
    return std::nullopt;
}

reader::reader(message_kind kind, reader_limits limits)
    : self(std::make_unique<state>())
{
    this->self->kind = kind;
    this->self->limits = limits;
    this->self->start();
}

reader::~reader() = default;
reader::reader(reader&&) noexcept = default;
reader& reader::operator=(reader&&) noexcept = default;

read_result reader::read(evbuffer* input)
{
    read_result result;
    if (!this->self->has_head)
    {
        result.failure = this->self->take_head(input);
        if (result.failure || !this->self->has_head)
            return result;
        result.head = std::move(this->self->head);
        if (this->self->is_too_long())
            result.failure =
                too_large(reason_code::body_too_large, "body too large");
    }
    if (!result.failure && !this->self->is_complete)
        result.failure = this->self->take_body(input);
    result.body = std::exchange(this->self->body, {});
    result.is_complete = !result.failure && this->self->is_complete;
    return result;
}

bool reader::is_completed_by_close()
{
    if (!this->self->has_head || this->self->is_complete)
        return this->self->is_complete;
    http_parser_execute(&this->self->parser, &state::callbacks(), nullptr, 0);
    return this->self->is_complete;
}

void reader::reset()
{
    this->self->start();
}

bool reader::is_within_message() const noexcept
{
    return this->self->has_head && !this->self->is_complete;
}

} // namespace jujubestand::http1
