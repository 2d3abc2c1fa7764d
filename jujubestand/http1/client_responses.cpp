#include <jujubestand/http1/client_state.hpp>

#include <charconv>
#include <event2/buffer.h>
#include <jujubestand/http/response_end.hpp>
#include <string_view>
#include <utility>

// How responses are read, and when they are whole.
namespace jujubestand::http1
{

namespace
{

/// Answers to other requests that are read before ours is given up.
constexpr unsigned foreign_limit = 3;
constexpr std::size_t foreign_bytes_limit = 256U << 10U;

/// How long the server keeps an idle connection, by its answer's field
/// `Keep-Alive: timeout=SECONDS`.
std::optional<std::chrono::milliseconds>
keep_alive_of(std::vector<http::field> const& fields)
{
    constexpr std::string_view key = "timeout=";
    auto const value = http::find_header(fields, "Keep-Alive");
    if (!value)
        return std::nullopt;
    auto const at = value->find(key);
    if (at == std::string_view::npos)
        return std::nullopt;
    unsigned seconds = 0;
    auto const* const first = value->data() + at + key.size();
    auto const* const last = value->data() + value->size();
    if (std::from_chars(first, last, seconds).ec != std::errc{})
        return std::nullopt;
    return std::chrono::seconds{seconds};
}

std::size_t size_of(message_head const& head)
{
    std::size_t result = 0;
    for (auto const& field : head.fields)
        result += field.name.size() + field.value.size();
    return result;
}

// Bytes of a response, unless its status is none.
read_result read_response(reader& from, evbuffer* input)
{
    // Before its head is whole the input begins with it.
    if (from.is_within_message() || http::has_valid_status(input) != false)
        return from.read(input);
    read_result result;
    result.failure =
        reason{reason_code::status_invalid, "invalid HTTP status", {}};
    return result;
}

} // namespace

void client::state::on_input(connection_id id)
{
    while (this->take_answer(id))
    {
    }
    this->end_excess();
}

void client::state::set_kept(call_id id, kept_bytes const& next)
{
    this->calls.find(id)->kept = next;
    this->kept.set(id, next.total());
}

void client::state::end_excess()
{
    for (auto const id : this->kept.excess())
    {
        call const* const found = this->calls.find(id);
        if (found == nullptr)
            continue;
        call_end end;
        end.may_have_sent = true;
        end.why = reason{reason_code::answer_too_large,
                         "answers are too large together",
                         {}};
        this->reset(found->connection);
        this->end_call(id, end);
    }
}

// \returns whether more of the input belongs to the call under way
bool client::state::take_answer(connection_id id)
{
    connection* open = this->connections.find(id);
    if (open == nullptr)
        return false;
    call* found = this->calls.find(open->call);
    if (found == nullptr)
    {
        // Bytes that no request waits for.
        this->drop(id);
        return false;
    }
    auto const of = open->call;
    auto result =
        read_response(open->input, bufferevent_get_input(open->stream.get()));
    auto const events = found->events;
    if (result.head)
    {
        found->is_keep_alive = result.head->is_keep_alive;
        found->is_skipping =
            events->is_foreign && events->is_foreign(*result.head);
        found->foreign += found->is_skipping ? 1 : 0;
        open->keep_alive = keep_alive_of(result.head->fields);
        auto next = found->kept;
        next.head = size_of(*result.head);
        this->set_kept(of, next);
        if (!found->is_skipping)
            events->on_head(*result.head);
    }
    found = this->calls.find(of);
    open = this->connections.find(id);
    if (found == nullptr || open == nullptr)
        return false;
    auto next = found->kept;
    next.body += found->is_skipping ? 0 : result.body.size();
    next.unparsed =
        evbuffer_get_length(bufferevent_get_input(open->stream.get()));
    this->set_kept(of, next);
    if (!result.body.empty() && !found->is_skipping)
    {
        if (!std::exchange(found->has_output, true) &&
            found->request.output_timeout.count() > 0)
            this->start_timer(*found);
        events->on_body(result.body);
    }
    found = this->calls.find(of);
    open = this->connections.find(id);
    if (found == nullptr || open == nullptr)
        return false;
    if (found->is_skipping)
        found->foreign_bytes += result.body.size();
    if (!result.failure && found->foreign_bytes > foreign_bytes_limit)
        result.failure = reason{
            reason_code::answer_crossed, "answer of another call is large", {}};
    if (result.failure)
    {
        call_end end;
        end.may_have_sent = true;
        end.why = std::move(*result.failure);
        this->drop(id);
        this->end_call(of, end);
        return false;
    }
    if (!result.is_complete)
        return false;
    if (found->is_skipping && found->foreign < foreign_limit)
    {
        open->input.reset();
        return evbuffer_get_length(bufferevent_get_input(open->stream.get())) >
               0;
    }
    call_end end;
    end.is_complete = !found->is_skipping;
    end.may_have_sent = true;
    if (found->is_skipping)
        end.why =
            reason{reason_code::answer_crossed, "answer of another call", {}};
    this->keep(id);
    this->end_call(of, end);
    return false;
}

// A connection on which anything is out of order is not used again: a body
// that was not taken whole, bytes after the answer, an answer too many.
void client::state::keep(connection_id id)
{
    connection* open = this->connections.find(id);
    call const* found = this->calls.find(open->call);
    auto* const stream = open->stream.get();
    bool const is_clean =
        found->is_keep_alive && found->foreign == 0 && !found->is_skipping &&
        evbuffer_get_length(bufferevent_get_input(stream)) == 0 &&
        evbuffer_get_length(bufferevent_get_output(stream)) == 0;
    if (!is_clean)
    {
        this->drop(id);
        return;
    }
    open->call = call_id{};
    open->input.reset();
    open->idle_since = mono_now();
    this->idle[open->server].push_back(id);
}

// A response without a length is whole only if the server ended it in order
// and had received the whole request. A reset while the request is written may
// come as an error and as an end in one call: the write takes the error, and
// the next read finds nothing but the end.
bool client::state::is_completed_by_close(connection& closed, short what)
{
    auto* const stream = closed.stream.get();
    bool const is_orderly =
        (what & BEV_EVENT_EOF) != 0 && (what & BEV_EVENT_ERROR) == 0;
    return is_orderly &&
           evbuffer_get_length(bufferevent_get_output(stream)) == 0 &&
           http::is_acknowledged(bufferevent_getfd(stream)) &&
           closed.input.is_completed_by_close();
}

void client::state::on_close(connection_id id, short what)
{
    connection* open = this->connections.find(id);
    if (open == nullptr)
        return;
    auto const of = open->call;
    call const* found = this->calls.find(of);
    if (found == nullptr)
    {
        this->drop(id);
        return;
    }
    call_end end;
    end.may_have_sent = found->has_sent;
    end.is_cut = found->has_sent;
    end.is_complete = !found->is_skipping && is_completed_by_close(*open, what);
    if (!end.is_complete)
        end.why = found->has_sent
                      ? reason{reason_code::upstream_read_cut, "cut", {}}
                      : reason{reason_code::upstream_unreachable,
                               "cannot connect",
                               {}};
    this->drop(id);
    this->end_call(of, end);
}

} // namespace jujubestand::http1
