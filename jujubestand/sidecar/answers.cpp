// The answer's way from the upstream to the link's frames.

#include <jujubestand/sidecar/sidecar_state.hpp>
#include <jujubestand/sidecar/usage.hpp>

namespace jujubestand::sidecar
{

namespace
{

// A piece is small enough for every frame and window limit.
constexpr std::size_t piece_limit_bytes = 64U << 10U;

void keep_tail(std::string& tail, std::string const& bytes)
{
    tail += bytes;
    if (tail.size() > 2 * usage_tail_bytes)
        tail.erase(0, tail.size() - usage_tail_bytes);
}

} // namespace

void sidecar::state::on_head(http::exchange_id exchange,
                             http::response_head const& head)
{
    auto const found = this->by_exchange.find(key_of(exchange));
    if (found == this->by_exchange.end())
        return;
    call& of = *this->calls.find(found->second);
    of.has_head = true;
    link::head told;
    told.request = of.message.request;
    told.upstream = this->shared->settings.upstream;
    told.status = head.status;
    if (of.record)
    {
        of.record->status = head.status;
        of.record->content_type = std::string(
            http::find_header(head.headers, "Content-Type").value_or(""));
    }
    for (auto const& header : head.headers)
    {
        if (!http::is_hop_by_hop(header.name))
            told.headers.push_back(link::header{header.name, header.value});
    }
    this->links.send(of.stream, link::to_frame(told));
}

void sidecar::state::on_data(http::exchange_id exchange,
                             std::string const& bytes)
{
    auto const found = this->by_exchange.find(key_of(exchange));
    if (found == this->by_exchange.end())
        return;
    call& of = *this->calls.find(found->second);
    keep_tail(of.tail, bytes);
    this->keep_answer(of, bytes);
    for (std::size_t at = 0; at < bytes.size(); at += piece_limit_bytes)
    {
        link::piece const next{of.message.request, of.next_sequence++,
                               bytes.substr(at, piece_limit_bytes)};
        this->links.send(of.stream, link::to_frame(next));
    }
    auto const window =
        static_cast<std::size_t>(this->shared->settings.stream_window_bytes);
    if (!of.is_paused && this->links.unsent_bytes(of.stream) > window)
    {
        of.is_paused = true;
        this->upstream.pause(exchange);
    }
}

void sidecar::state::on_link_drained(link::stream_id stream)
{
    auto const found = this->by_stream.find(key_of(stream));
    if (found == this->by_stream.end())
        return;
    call& of = *this->calls.find(found->second);
    if (!of.is_paused)
        return;
    of.is_paused = false;
    this->upstream.unpause(of.exchange);
}

void sidecar::state::on_ended(http::exchange_id exchange,
                              http::exchange_end const& end)
{
    auto const found = this->by_exchange.find(key_of(exchange));
    if (found == this->by_exchange.end())
        return;
    call_id const id = found->second;
    if (end.is_complete)
    {
        this->finish_whole(id);
        return;
    }
    auto point = failure_point::upstream_connect_refused;
    if (end.may_have_sent)
        point = end.why.code == reason_code::upstream_timeout
                    ? failure_point::upstream_timeout
                    : failure_point::upstream_read_cut;
    this->fail(id, point, end.why.text);
}

void sidecar::state::finish_whole(call_id id)
{
    call const& of = *this->calls.find(id);
    link::last told;
    told.request = of.message.request;
    told.pieces = of.next_sequence;
    told.tables = this->tables.in_force().version;
    if (auto const counted = read_usage(of.tail))
    {
        told.prompt_tokens = counted->prompt_tokens;
        told.cached_tokens = counted->cached_tokens;
        told.completion_tokens = counted->completion_tokens;
    }
    process::note(*this->shared, event_number::call_finished, told.request,
                  of.message.team,
                  {{"cached_tokens", std::to_string(told.cached_tokens)},
                   {"prompt_tokens", std::to_string(told.prompt_tokens)}});
    link::stream_id const stream = of.stream;
    this->settle_claim(id, verdict::ran);
    this->drop(id);
    this->links.send(stream, link::to_frame(told));
    this->links.finish(stream);
    this->pump();
}

void sidecar::state::fail(call_id id, failure_point point, std::string text)
{
    auto const& row = row_of(point);
    this->end_call(id, event_number::call_failed, row.outcome,
                   {row.code, std::move(text), {}}, 0);
    this->pump();
}

void sidecar::state::on_deadline(call_id id)
{
    call const* found = this->calls.find(id);
    if (found == nullptr)
        return;
    bool const is_running = found->stage == call_stage::running;
    // The entry has answered its caller by now.
    if (this->detach(id))
        return;
    this->fail(id,
               is_running ? failure_point::upstream_timeout
                          : failure_point::sidecar_deadline_in_queue,
               "the deadline has passed");
}

} // namespace jujubestand::sidecar
