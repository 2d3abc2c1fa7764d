// The answer's way from the sidecar's frames to the caller.

#include <jujubestand/entry/entry_state.hpp>

namespace jujubestand::entry
{

namespace
{

constexpr int status_ok = 200;

std::vector<http::field> answer_headers(call const& of)
{
    std::vector<http::field> headers;
    for (auto const& header : of.relay.head->headers)
    {
        bool const is_ours = http::is_hop_by_hop(header.name) ||
                             http::same_name(header.name, "Content-Length") ||
                             http::same_name(header.name, request_header) ||
                             http::same_name(header.name, verdict_header);
        if (!is_ours)
            headers.push_back({header.name, header.value});
    }
    headers.push_back({request_header, to_text(of.request.message.request)});
    return headers;
}

} // namespace

void entry::state::on_frame(link::stream_id stream, link::frame const& frame)
{
    if (auto const news = process::read_news(this->links, stream, frame))
    {
        this->on_crash_news(*news);
        return;
    }
    bool const is_of_tables = this->tables.on_frame(stream, frame);
    process::take_answer(this->crashes.targets, this->links, stream, frame);
    if (is_of_tables)
        return;
    if (this->by_probe.contains(key_of(stream)))
    {
        this->on_probe_reply(stream, frame);
        return;
    }
    auto const found = this->by_stream.find(key_of(stream));
    if (found == this->by_stream.end())
    {
        this->links.consume(stream, frame.payload.size());
        return;
    }
    call_id const id = found->second;
    call& of = *this->calls.find(id);
    of.relay.unconsumed_bytes += frame.payload.size();
    switch (frame.kind)
    {
    case link::frame_kind::head:
        this->on_head(id, frame);
        break;
    case link::frame_kind::piece:
        this->on_piece(id, frame);
        break;
    case link::frame_kind::last:
        this->on_last(id, frame);
        break;
    case link::frame_kind::failure:
        this->on_failure(id, frame);
        break;
    default:
        this->fail_malformed(
            id, {reason_code::link_malformed, "unexpected frame", {}});
        break;
    }
}

void entry::state::fail_malformed(call_id id, reason why)
{
    link::failure failed;
    failed.outcome = verdict::may_have_run;
    failed.why = std::move(why);
    this->on_attempt_failed(id, failed);
}

void entry::state::saw_tables(call const& of, log_offset version)
{
    if (!of.current)
        return;
    auto const found = this->upstreams.find(of.current->upstream);
    if (found != this->upstreams.end())
        this->tables.on_peer_version(found->second.link, version);
}

void entry::state::on_head(call_id id, link::frame const& frame)
{
    call& of = *this->calls.find(id);
    reason why;
    auto head = link::from_frame<link::head>(frame, why);
    if (!head || head->request != of.request.message.request)
    {
        this->fail_malformed(
            id,
            {reason_code::answer_crossed, "the head is another request's", {}});
        return;
    }
    if (of.relay.is_started && head->status != of.relay.head->status)
    {
        this->fail_malformed(id, {reason_code::answer_incomplete,
                                  "the second upstream's status differs",
                                  {}});
        return;
    }
    of.relay.head = std::move(*head);
    bool const is_event_stream =
        of.request.message.is_stream && of.relay.head->status == status_ok;
    if (is_event_stream && !of.relay.is_started)
        this->start_answer(of);
    this->give_back(of);
}

void entry::state::start_answer(call& of)
{
    of.relay.is_started = true;
    this->front.start(of.caller, of.relay.head->status, answer_headers(of));
}

void entry::state::on_piece(call_id id, link::frame const& frame)
{
    call& of = *this->calls.find(id);
    reason why;
    auto const piece = link::from_frame<link::piece>(frame, why);
    if (!piece || !of.relay.head)
    {
        this->fail_malformed(
            id,
            {reason_code::answer_out_of_order, "a piece without a head", {}});
        return;
    }
    this->record_output(of);
    auto const result = streams::take(of.relay.received, *piece);
    if (result.fate == streams::piece_fate::broken)
    {
        this->fail_malformed(id, result.why);
        return;
    }
    if (result.fate == streams::piece_fate::relay)
    {
        if (!std::exchange(of.relay.has_first_token, true))
            this->counts.first_token(of.request.message.pool,
                                     mono_now() - of.arrived);
        this->relay_piece(of, *piece);
    }
    this->give_back(of);
}

void entry::state::relay_piece(call& of, link::piece const& piece)
{
    if (!of.relay.is_started)
    {
        of.relay.held += piece.bytes;
        auto const limit = static_cast<std::size_t>(
            this->shared->settings.caller_buffer_bytes);
        if (of.relay.held.size() > limit)
        {
            this->start_answer(of);
            this->front.write(of.caller, std::exchange(of.relay.held, {}));
        }
    }
    else
    {
        // No further attempt can be made: the prompt is of no more use.
        if (!of.relay.received.keeps_digests)
            std::string().swap(of.body);
        this->front.write(of.caller, piece.bytes);
    }
}

// A caller that reads slowly holds back its own stream: the window is given
// back only while little is buffered for it.
void entry::state::give_back(call& of)
{
    if (!of.current)
        return;
    auto const limit =
        static_cast<std::size_t>(this->shared->settings.caller_buffer_bytes);
    bool const is_slow =
        of.relay.is_started && this->front.buffered_bytes(of.caller) > limit;
    if (is_slow)
        return;
    this->links.consume(of.current->stream,
                        std::exchange(of.relay.unconsumed_bytes, 0));
}

void entry::state::on_caller_drained(http::caller_id caller)
{
    auto const found = this->by_caller.find(key_of(caller));
    if (found != this->by_caller.end())
        this->give_back(*this->calls.find(found->second));
}

void entry::state::on_last(call_id id, link::frame const& frame)
{
    call& of = *this->calls.find(id);
    reason why;
    auto const last = link::from_frame<link::last>(frame, why);
    if (!last || !of.relay.head)
    {
        this->fail_malformed(id, {reason_code::answer_incomplete,
                                  "the end of an answer without a head",
                                  {}});
        return;
    }
    auto const result = streams::take(of.relay.received, *last);
    if (result.fate != streams::piece_fate::end)
    {
        this->fail_malformed(id, result.why);
        return;
    }
    this->saw_tables(of, last->tables);
    this->answer_whole(id, *last);
}

void entry::state::answer_whole(call_id id, link::last const& last)
{
    call& of = *this->calls.find(id);
    if (of.relay.is_started)
        this->front.finish(of.caller);
    else
    {
        auto headers = answer_headers(of);
        headers.push_back({verdict_header,
                           std::string(to_name(verdict_names, verdict::ran))});
        this->front.reply(of.caller, of.relay.head->status, headers,
                          of.relay.held);
    }
    this->note_success(of.current->upstream);
    this->record_whole_answer(of);
    if (last.prompt_tokens > 0)
        placement::record_usage(this->placement_of(of), this->request_of(of),
                                of.current->upstream, last.cached_tokens,
                                mono_now());
    auto const took = mono_now() - of.arrived;
    this->counts.used(of.request.message.pool, last);
    this->counts.ended(of.request.message.pool, verdict::ran, true, took);
    process::note(*this->shared, event_number::request_finished,
                  of.request.message.request, of.request.message.team,
                  {{"upstream", of.current->upstream.text},
                   {"status", std::to_string(of.relay.head->status)},
                   {"cached_tokens", std::to_string(last.cached_tokens)},
                   {"prompt_tokens", std::to_string(last.prompt_tokens)},
                   {"took_us", std::to_string(took.count())}});
    this->drop(id);
}

void entry::state::on_failure(call_id id, link::frame const& frame)
{
    reason why;
    auto const failed = link::from_frame<link::failure>(frame, why);
    if (!failed)
    {
        this->fail_malformed(id, why);
        return;
    }
    this->saw_tables(*this->calls.find(id), failed->tables);
    this->on_attempt_failed(id, *failed);
}

void entry::state::answer_problem(call_id id)
{
    call& of = *this->calls.find(id);
    problem told;
    told.request = of.request.message.request;
    told.outcome = of.outcome;
    told.why = of.why;
    told.retry_after_us = of.retry_after_us;
    process::note(
        *this->shared, event_number::request_failed, told.request,
        of.request.message.team,
        {{"verdict", std::string(to_name(verdict_names, told.outcome))},
         {"reason", to_text(told.why)}});
    this->counts.ended(of.request.message.pool, told.outcome, false,
                       mono_now() - of.arrived);
    if (of.relay.is_started)
    {
        // The caller sees the error and never the end of a whole answer.
        this->front.write(of.caller, to_stream_event(told));
        this->front.abort(of.caller);
    }
    else
    {
        auto const answer = to_answer(told);
        this->front.reply(of.caller, answer.status, answer.headers,
                          answer.body);
    }
    this->drop(id);
}

} // namespace jujubestand::entry
