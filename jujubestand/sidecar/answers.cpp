// The answer's way from the upstream to the link's frames.

#include <jujubestand/sidecar/sidecar_state.hpp>

namespace jujubestand::sidecar
{

namespace
{

constexpr int status_ok = 200;

bool is_event_stream(http::response_head const& head)
{
    auto const type = http::find_header(head.headers, "Content-Type");
    return type && type->starts_with("text/event-stream");
}

streams::answer_form form_of(link::call const& message,
                             http::response_head const& head)
{
    if (!message.is_completion || head.status != status_ok)
        return is_event_stream(head) ? streams::answer_form::plain_events
                                     : streams::answer_form::opaque;
    return message.is_stream ? streams::answer_form::events
                             : streams::answer_form::whole;
}

} // namespace

void sidecar::state::on_head(http::exchange_id exchange,
                             http::response_head const& head)
{
    auto const found = this->by_exchange.find(key_of(exchange));
    if (found == this->by_exchange.end())
        return;
    this->note_limit(head, false);
    this->record_engine_alive(false);
    call& of = *this->calls.find(found->second);
    of.has_head = true;
    of.answer =
        streams::begin_answer(form_of(of.message, head), of.message.request);
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
    this->answers.set_head(told.request, link::to_frame(told));
}

void sidecar::state::on_data(http::exchange_id exchange,
                             std::string const& bytes)
{
    auto const found = this->by_exchange.find(key_of(exchange));
    if (found == this->by_exchange.end())
        return;
    call_id const id = found->second;
    call& taken = *this->calls.find(id);
    if (!taken.output_since)
        taken.output_since = mono_now();
    this->note_progress(id);
    this->keep_answer(*this->calls.find(id), bytes);
    this->take_step(id,
                    streams::take_bytes(this->calls.find(id)->answer, bytes));
    call* const of = this->calls.find(id);
    if (of != nullptr)
        this->upstream.set_kept(exchange, streams::held_bytes(of->answer));
    if (of == nullptr || of->is_paused || of->is_detached ||
        !this->answers.must_hold_back(of->message.request))
        return;
    of->is_paused = true;
    this->upstream.pause(exchange);
}

/// A first token frees room at the engine for the next request's prompt.
void sidecar::state::note_progress(call_id id)
{
    call const& of = *this->calls.find(id);
    mono_time const now = mono_now();
    admission::record_progress(this->queue, now);
    if (of.answer.pieces > 0)
        return;
    admission::record_first_token(this->queue, of.message.request, now);
    this->pump();
}

void sidecar::state::take_step(call_id id, streams::answer_step step)
{
    call const& of = *this->calls.find(id);
    for (auto const& why : step.rejected)
        process::note(*this->shared, event_number::answer_rejected,
                      of.message.request, of.message.team,
                      {{"reason", to_text(why)}});
    for (auto& piece : step.pieces)
        this->answers.append(of.message.request, std::move(piece));
    if (step.broken)
        this->fail_answer(id, std::move(*step.broken));
}

std::optional<call_id> sidecar::state::running_call(request_id const& of)
{
    for (auto const& [exchange, id] : this->by_exchange)
    {
        if (this->calls.find(id)->message.request == of)
            return id;
    }
    return std::nullopt;
}

void sidecar::state::on_room(request_id const& request)
{
    auto const id = this->running_call(request);
    call* const of = id ? this->calls.find(*id) : nullptr;
    if (of == nullptr || !of->is_paused)
        return;
    of->is_paused = false;
    this->upstream.unpause(of->exchange);
}

void sidecar::state::on_link_closed(link::stream_id stream,
                                    link::stream_end const& how)
{
    process::take_closed(this->news_targets, stream);
    bool const is_answering = this->answers.carries(stream);
    bool const is_over =
        this->answers.take_closed(stream, how).has_value() || !is_answering;
    if (is_over)
        this->on_stream_closed(stream);
    else
        this->by_stream.erase(key_of(stream));
}

void sidecar::state::on_resume(link::stream_id stream, link::frame const& frame)
{
    reason why;
    auto const wanted = link::from_frame<link::resume>(frame, why);
    if (!wanted)
    {
        this->links.reset(stream);
        return;
    }
    this->answers.resume(stream, *wanted);
    if (!this->answers.carries(stream))
        return;
    process::note(*this->shared, event_number::stream_resumed, wanted->request,
                  {}, {{"from", std::to_string(wanted->next_sequence)}});
    auto const id = this->running_call(wanted->request);
    if (!id)
        return;
    call& of = *this->calls.find(*id);
    this->by_stream.erase(key_of(of.stream));
    of.stream = stream;
    this->by_stream[key_of(stream)] = *id;
}

void sidecar::state::on_abandoned(request_id const& request)
{
    if (auto const id = this->running_call(request))
        this->cancel(*id);
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
        call& of = *this->calls.find(id);
        auto step = streams::take_end(of.answer);
        // An unframed answer ends in order when its engine crashes.
        if (step.broken)
            this->record_cut(of);
        this->take_step(id, std::move(step));
        if (this->calls.find(id) != nullptr)
            this->finish_whole(id);
        return;
    }
    if (end.why.code == reason_code::status_invalid)
    {
        this->fail_answer(id, end.why);
        return;
    }
    auto point = failure_point::upstream_connect_refused;
    if (end.may_have_sent)
        point = end.why.code == reason_code::upstream_timeout
                    ? failure_point::upstream_timeout
                    : failure_point::upstream_read_cut;
    if (point == failure_point::upstream_read_cut)
        this->record_cut(*this->calls.find(id));
    if (point == failure_point::upstream_connect_refused)
        this->record_engine_lost();
    this->fail(id, point, end.why.text);
}

void sidecar::state::finish_whole(call_id id)
{
    call const& of = *this->calls.find(id);
    link::last told;
    told.request = of.message.request;
    told.pieces = of.answer.pieces;
    told.tables = this->tables.in_force().version;
    if (auto const& counted = of.answer.usage)
    {
        told.prompt_tokens = counted->prompt_tokens;
        told.cached_tokens = counted->cached_tokens;
        told.completion_tokens = counted->completion_tokens;
        prefix::take_answer(
            this->belief,
            {told.request, told.prompt_tokens, told.cached_tokens}, mono_now());
    }
    process::note(*this->shared, event_number::call_finished, told.request,
                  of.message.team,
                  {{"cached_tokens", std::to_string(told.cached_tokens)},
                   {"prompt_tokens", std::to_string(told.prompt_tokens)}});
    this->settle_claim(id, verdict::ran);
    this->tell_end(id, link::to_frame(told));
}

void sidecar::state::fail(call_id id, failure_point point, std::string text)
{
    auto const& row = row_of(point);
    this->end_call(id, event_number::call_failed, row.outcome,
                   {row.code, std::move(text), {}}, 0);
}

// The upstream has run it, or still does, and the answer is of no use.
void sidecar::state::fail_answer(call_id id, reason why)
{
    this->end_call(id, event_number::call_failed,
                   row_of(failure_point::answer_invalid).outcome,
                   std::move(why), 0);
}

void sidecar::state::tell_end(call_id id, link::frame ending)
{
    call const& of = *this->calls.find(id);
    link::stream_id const stream = of.stream;
    request_id const request = of.message.request;
    bool const is_answering = of.stage == call_stage::running;
    this->drop(id);
    if (is_answering)
    {
        this->answers.conclude(request, std::move(ending));
    }
    else
    {
        this->links.send(stream, std::move(ending));
        this->links.finish(stream);
    }
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
