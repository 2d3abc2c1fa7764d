// A call's way from the link's frames to the upstream.

#include <algorithm>
#include <jujubestand/sidecar/sidecar_state.hpp>
#include <jujubestand/sidecar/upstream_request.hpp>

namespace jujubestand::sidecar
{

namespace
{

std::uint64_t to_us(microseconds time)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(time.count(), 0));
}

} // namespace

void sidecar::state::on_frame(link::stream_id stream, link::frame const& frame)
{
    bool const is_of_tables = this->tables.on_frame(stream, frame);
    process::take_answer(this->news_targets, this->links, stream, frame);
    if (is_of_tables)
        return;
    this->links.consume(stream, frame.payload.size());
    switch (frame.kind)
    {
    case link::frame_kind::probe:
        this->on_probe(stream, frame);
        break;
    case link::frame_kind::call:
        this->on_call(stream, frame);
        break;
    case link::frame_kind::body:
        this->on_body(stream, frame);
        break;
    case link::frame_kind::resume:
        this->on_resume(stream, frame);
        break;
    case link::frame_kind::cancel:
        this->on_stream_closed(stream);
        this->links.reset(stream);
        break;
    default:
        this->links.reset(stream);
        break;
    }
}

void sidecar::state::on_call(link::stream_id stream, link::frame const& frame)
{
    reason why;
    auto message = link::from_frame<link::call>(frame, why);
    auto const limit =
        static_cast<std::uint64_t>(this->shared->settings.body_limit_bytes);
    bool const is_first = !this->by_stream.contains(key_of(stream));
    if (!message || !is_first || message->body_bytes > limit)
    {
        this->links.reset(stream);
        this->on_stream_closed(stream);
        return;
    }
    call next;
    next.stream = stream;
    next.arrived = mono_now();
    next.deadline = next.arrived + microseconds(message->deadline_us);
    next.message = std::move(*message);
    next.body.reserve(next.message.body_bytes);
    process::note(*this->shared, event_number::call_received,
                  next.message.request, next.message.team,
                  {{"attempt", std::to_string(next.message.attempt)}});
    call_id const id = this->calls.insert(std::move(next));
    this->by_stream[key_of(stream)] = id;
    if (this->calls.find(id)->message.body_bytes == 0)
        this->admit(id);
}

void sidecar::state::on_body(link::stream_id stream, link::frame const& frame)
{
    auto const found = this->by_stream.find(key_of(stream));
    reason why;
    auto const part = link::from_frame<link::body>(frame, why);
    if (found == this->by_stream.end() || !part)
        return;
    call& into = *this->calls.find(found->second);
    into.body += part->bytes;
    if (into.stage == call_stage::receiving &&
        into.body.size() >= into.message.body_bytes)
        this->admit(found->second);
}

void sidecar::state::admit(call_id id)
{
    call& next = *this->calls.find(id);
    if (this->is_draining)
    {
        this->refuse(id, failure_point::sidecar_refused,
                     {reason_code::draining, "this upstream is leaving", {}},
                     0);
        return;
    }
    // The newer tables go out on the stream before the refusal does.
    if (this->tables.on_version(next.stream, next.message.tables) ==
        config::tables_age::older)
    {
        this->refuse(
            id, failure_point::sidecar_refused,
            {reason_code::tables_stale, "routed under older tables", {}}, 0);
        return;
    }
    next.deadline_timer.emplace(this->shared->base,
                                [this, id]
                                {
                                    this->on_deadline(id);
                                });
    next.deadline_timer->start(next.deadline - next.arrived);
    if (next.message.is_idempotent)
        this->enqueue(id);
    else if (!this->refuse_if_full(id))
        this->claim(id);
}

// Spares a claim that could only be given up.
bool sidecar::state::refuse_if_full(call_id id)
{
    if (this->queue.waiting.size() < this->queue.options.waiting_limit)
        return false;
    this->refuse(id, failure_point::sidecar_refused,
                 {reason_code::queue_full, "the queue is full", {}}, 0);
    return true;
}

// The queue may have filled up while the call was claimed.
void sidecar::state::enqueue(call_id id)
{
    call& next = *this->calls.find(id);
    admission::offer_result const offered =
        admission::offer(this->queue, this->item_of(next), mono_now());
    if (!offered.is_accepted)
    {
        this->refuse(id, failure_point::sidecar_refused, offered.why,
                     to_us(offered.retry_after));
        return;
    }
    next.stage = call_stage::waiting;
    this->by_request[next.message.request] = id;
    for (auto const& request : offered.displaced)
        this->refuse_dropped(
            {request,
             {reason_code::queue_full, "a more urgent request came", {}},
             offered.retry_after});
    this->pump();
}

admission::queue_item sidecar::state::item_of(call const& of) const
{
    admission::queue_item item;
    item.request = of.message.request;
    item.team = of.message.team;
    item.priority = of.message.priority;
    item.deadline = of.deadline;
    if (of.message.first_token_deadline_us > 0)
        item.first_token_deadline =
            of.arrived + microseconds(of.message.first_token_deadline_us);
    if (of.message.is_completion)
        item.tokens =
            of.message.prompt_tokens -
            std::min(of.message.prompt_tokens,
                     prefix::cached_tokens(this->belief, chain_of(of.message),
                                           of.arrived));
    return item;
}

// Only for calls that the upstream has never been given: they leave the
// queue before their refusal does.
void sidecar::state::refuse(call_id id, failure_point point, reason why,
                            std::uint64_t retry_after_us)
{
    this->end_call(id, event_number::call_refused, row_of(point).outcome,
                   std::move(why), retry_after_us);
}

void sidecar::state::end_call(call_id id, event_number number, verdict outcome,
                              reason why, std::uint64_t retry_after_us)
{
    call const& of = *this->calls.find(id);
    link::failure told;
    told.request = of.message.request;
    told.outcome = outcome;
    told.why = std::move(why);
    told.retry_after_us = retry_after_us;
    told.leaving = this->is_draining;
    told.tables = this->tables.in_force().version;
    process::note(
        *this->shared, number, told.request, of.message.team,
        {{"verdict", std::string(to_name(verdict_names, told.outcome))},
         {"reason", to_text(told.why)}});
    this->settle_claim(id, outcome);
    this->tell_end(id, link::to_frame(told));
}

void sidecar::state::pump()
{
    admission::schedule_result const step =
        admission::schedule(this->queue, mono_now());
    for (auto const& dropped : step.dropped)
        this->refuse_dropped(dropped);
    for (auto const& request : step.started)
    {
        auto const found = this->by_request.find(request);
        if (found != this->by_request.end())
            this->run(found->second);
    }
    this->wait_for_expiry();
}

// Has left the queue already, so that nothing can start it any more.
void sidecar::state::refuse_dropped(admission::dropped_item const& dropped)
{
    auto const found = this->by_request.find(dropped.request);
    if (found == this->by_request.end())
        return;
    auto const point = dropped.why.code == reason_code::deadline_passed
                           ? failure_point::sidecar_deadline_in_queue
                           : failure_point::sidecar_queue_dropped;
    this->refuse(found->second, point, dropped.why, to_us(dropped.retry_after));
}

void sidecar::state::wait_for_expiry()
{
    auto const at = admission::next_schedule(this->queue, mono_now());
    if (!at || *at == mono_time::max())
    {
        this->expiry_timer.stop();
        return;
    }
    this->expiry_timer.start(std::max(*at - mono_now(), microseconds{0}));
}

void sidecar::state::run(call_id id)
{
    call& next = *this->calls.find(id);
    next.stage = call_stage::running;
    next.started = mono_now();
    if (next.message.is_completion)
        prefix::take_start(this->belief, next.message.request,
                           chain_of(next.message), mono_now());
    next.exchange =
        this->upstream.start(*this->shared->settings.upstream_address,
                             upstream_request(next.message, next.body,
                                              this->belief.weights_version));
    this->by_exchange[key_of(next.exchange)] = id;
    std::string().swap(next.body);
    this->answers.begin(next.message.request, next.message.entry, next.stream);
    process::note(*this->shared, event_number::call_started,
                  next.message.request, next.message.team, {});
}

void sidecar::state::on_stream_closed(link::stream_id stream)
{
    auto const found = this->by_stream.find(key_of(stream));
    if (found != this->by_stream.end())
        this->cancel(found->second);
}

void sidecar::state::cancel(call_id id)
{
    if (this->detach(id))
        return;
    call const& gone = *this->calls.find(id);
    process::note(
        *this->shared, event_number::call_cancelled, gone.message.request,
        gone.message.team,
        {{"stage", std::string(to_name(call_stage_names, gone.stage))}});
    bool const is_running = gone.stage == call_stage::running;
    this->settle_claim(id,
                       is_running ? verdict::may_have_run : verdict::not_run);
    this->drop(id);
    this->pump();
}

void sidecar::state::drop(call_id id)
{
    call* found = this->calls.find(id);
    if (found == nullptr)
        return;
    this->by_stream.erase(key_of(found->stream));
    if (found->stage == call_stage::running)
    {
        mono_time const now = mono_now();
        admission::record_finish(this->queue, found->message.request, now);
        prefix::take_failure(this->belief, found->message.request, now);
        this->by_exchange.erase(key_of(found->exchange));
        // Closing the connection cancels at the upstream.
        this->upstream.cancel(found->exchange);
    }
    if (found->stage == call_stage::waiting)
        static_cast<void>(
            admission::cancel(this->queue, found->message.request));
    if (found->stage == call_stage::waiting ||
        found->stage == call_stage::running)
        this->by_request.erase(found->message.request);
    this->calls.erase(id);
}

} // namespace jujubestand::sidecar
