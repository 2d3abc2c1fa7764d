// A call's way from the link's frames to the upstream.

#include <algorithm>
#include <jujubestand/sidecar/sidecar_state.hpp>
#include <jujubestand/sidecar/upstream_request.hpp>

namespace jujubestand::sidecar
{

void sidecar::state::on_frame(link::stream_id stream, link::frame const& frame)
{
    if (this->tables.on_frame(stream, frame))
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

void sidecar::state::on_probe(link::stream_id stream, link::frame const& frame)
{
    reason why;
    auto const asked = link::from_frame<link::probe>(frame, why);
    if (!asked)
    {
        this->links.reset(stream);
        return;
    }
    link::probe_reply reply;
    reply.upstream = this->shared->settings.upstream;
    reply.incarnation = this->shared->incarnation;
    reply.leaving = this->is_draining;
    reply.ready = !this->is_draining;
    reply.queued_requests = static_cast<std::uint32_t>(this->waiting.size());
    reply.running_requests = static_cast<std::uint32_t>(this->running);
    reply.slots = static_cast<std::uint32_t>(this->shared->settings.slots);
    reply.tables = this->tables.in_force().version;
    this->links.send(stream, link::to_frame(reply));
    this->links.finish(stream);
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
    auto const limit =
        static_cast<std::size_t>(this->shared->settings.queue_requests);
    if (this->waiting.size() >= limit)
    {
        this->refuse(id, failure_point::sidecar_refused,
                     {reason_code::queue_full, "the queue is full", {}}, 0);
        return;
    }
    next.stage = call_stage::waiting;
    next.deadline_timer.emplace(this->shared->base,
                                [this, id]
                                {
                                    this->on_deadline(id);
                                });
    next.deadline_timer->start(next.deadline - next.arrived);
    this->waiting.push_back(id);
    this->pump();
}

// Only for calls that the upstream has never been given: they leave the
// queue before their refusal does.
void sidecar::state::refuse(call_id id, failure_point point, reason why,
                            std::uint64_t retry_after_us)
{
    call& refused = *this->calls.find(id);
    link::failure told;
    told.request = refused.message.request;
    told.outcome = row_of(point).outcome;
    told.why = std::move(why);
    told.retry_after_us = retry_after_us;
    told.leaving = this->is_draining;
    told.tables = this->tables.in_force().version;
    process::note(*this->shared, event_number::call_refused, told.request,
                  refused.message.team, {{"reason", to_text(told.why)}});
    link::stream_id const stream = refused.stream;
    this->drop(id);
    this->links.send(stream, link::to_frame(told));
    this->links.finish(stream);
}

void sidecar::state::pump()
{
    auto const slots = static_cast<std::size_t>(this->shared->settings.slots);
    while (this->running < slots && !this->waiting.empty())
    {
        call_id const id = this->waiting.front();
        this->waiting.pop_front();
        this->run(id);
    }
}

void sidecar::state::run(call_id id)
{
    call& next = *this->calls.find(id);
    next.stage = call_stage::running;
    ++this->running;
    next.exchange =
        this->upstream.start(*this->shared->settings.upstream_address,
                             upstream_request(next.message, next.body, {}));
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
    call const& gone = *this->calls.find(id);
    process::note(
        *this->shared, event_number::call_cancelled, gone.message.request,
        gone.message.team,
        {{"stage", std::string(to_name(call_stage_names, gone.stage))}});
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
        --this->running;
        this->by_exchange.erase(key_of(found->exchange));
        // Closing the connection cancels at the upstream.
        this->upstream.cancel(found->exchange);
    }
    if (found->stage == call_stage::waiting)
        std::erase(this->waiting, id);
    this->calls.erase(id);
}

} // namespace jujubestand::sidecar
