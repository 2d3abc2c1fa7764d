// Which upstream a request goes to, and what follows when it fails there.

#include <jujubestand/entry/entry_state.hpp>

#include <algorithm>
#include <jujubestand/core/failure_point.hpp>

namespace jujubestand::entry
{

namespace
{

constexpr std::size_t body_frame_bytes = 64U << 10U;

std::uint64_t time_left_us(call const& of, mono_time now)
{
    auto const left = (of.deadline - now).count();
    return left > 0 ? static_cast<std::uint64_t>(left) : 0;
}

/// Time left of a limit that began with the request's arrival; 0: no limit.
std::uint64_t first_token_left_us(call const& of, mono_time now)
{
    std::chrono::milliseconds const limit{
        of.request.route.first_token_deadline_ms};
    if (limit.count() == 0)
        return 0;
    auto const left = (of.arrived + limit - now).count();
    return left > 0 ? static_cast<std::uint64_t>(left) : 1;
}

retries::request_progress progress_of(call const& of)
{
    retries::request_progress progress;
    progress.attempts = static_cast<std::uint32_t>(of.tried.size());
    progress.worst = of.outcome;
    progress.is_idempotent = of.request.route.is_idempotent;
    progress.has_output =
        of.relay.is_started && !streams::can_repeat(of.relay.received);
    progress.deadline = of.deadline;
    return progress;
}

/// Faults for which an upstream is left alone; refusals are not among them.
bool is_fault_of_upstream(reason_code code)
{
    switch (code)
    {
    case reason_code::link_unreachable:
    case reason_code::link_cut_before_send:
    case reason_code::link_cut_after_send:
    case reason_code::upstream_unreachable:
    case reason_code::upstream_write_cut:
    case reason_code::upstream_read_cut:
    case reason_code::upstream_timeout:
        return true;
    default:
        return false;
    }
}

} // namespace

void entry::state::send(call_id id, upstream_place const& place)
{
    call& from = *this->calls.find(id);
    mono_time const now = mono_now();
    attempt next;
    next.upstream = place.upstream;
    next.link = place.link;
    next.started = now;
    next.stream = this->links.open(place.link);
    link::call message = from.request.message;
    message.entry = this->shared->incarnation;
    message.attempt = static_cast<std::uint32_t>(from.tried.size());
    message.deadline_us = time_left_us(from, now);
    message.first_token_deadline_us = first_token_left_us(from, now);
    this->links.send(next.stream, link::to_frame(message));
    for (std::size_t at = 0; at < from.body.size(); at += body_frame_bytes)
        this->links.send(
            next.stream,
            link::to_frame(link::body{from.body.substr(at, body_frame_bytes)}));
    process::note(*this->shared, event_number::upstream_chosen, message.request,
                  message.team,
                  {{"upstream", place.upstream.text},
                   {"attempt", std::to_string(message.attempt)}});
    this->by_stream[key_of(next.stream)] = id;
    from.tried.push_back(place.upstream);
    from.current = next;
}

void entry::state::end_attempt(call& of)
{
    if (!of.current)
        return;
    link::stream_id const stream = of.current->stream;
    this->by_stream.erase(key_of(stream));
    // The sidecar takes the stream's reset for a cancel.
    this->links.reset(stream);
    of.current.reset();
}

// A refusal of older tables is no try of that upstream. The newer ones came
// before it; if they did not, the next try meets them.
bool entry::state::take_newer_tables(call& of)
{
    if (of.request.message.tables == this->tables.in_force().version)
        return true;
    if (!reroute(this->tables.store(), of.request, of.why))
        return false;
    of.tried.clear();
    return true;
}

void entry::state::on_attempt_failed(call_id id, link::failure const& failed)
{
    call& of = *this->calls.find(id);
    of.outcome = worst(of.outcome, failed.outcome);
    of.why = failed.why;
    of.retry_after_us = failed.retry_after_us;
    this->counts.attempt_failed(of.request.message.pool, failed.why.code);
    process::note(
        *this->shared, event_number::attempt_failed, of.request.message.request,
        of.request.message.team,
        {{"upstream", of.current ? of.current->upstream.text : ""},
         {"verdict", std::string(to_name(verdict_names, failed.outcome))},
         {"reason", to_text(failed.why)}});
    this->end_attempt(of);
    if (failed.why.code == reason_code::tables_stale &&
        !this->take_newer_tables(of))
    {
        this->answer_problem(id);
        return;
    }
    if (!of.tried.empty())
        this->note_outcome(of, failed);
    this->retry(id, failed);
}

void entry::state::note_outcome(call const& of, link::failure const& failed)
{
    auto const& upstream = of.tried.back();
    if (is_fault_of_upstream(failed.why.code))
        this->note_failure(upstream);
    else
        this->note_success(upstream);
    placement::record_refusal(this->placement_of(of), upstream, failed.leaving,
                              mono_now());
}

void entry::state::retry(call_id id, link::failure const& failed)
{
    call& of = *this->calls.find(id);
    mono_time const now = mono_now();
    bool const has_alternative =
        of.tried.size() < of.request.pool.upstreams.size();
    auto const decision =
        retries::decide(this->budget, this->retry_options, progress_of(of),
                        {failed.outcome, failed.why,
                         microseconds(failed.retry_after_us), has_alternative},
                        now, this->shared->random());
    if (!decision.is_retry)
    {
        this->answer_problem(id);
        return;
    }
    process::note(*this->shared, event_number::retry_scheduled,
                  of.request.message.request, of.request.message.team,
                  {{"in_us", std::to_string((decision.at - now).count())}});
    this->rewind_relay(of);
    of.retry_timer.emplace(this->shared->base,
                           [this, id]
                           {
                               this->try_next(id);
                           });
    of.retry_timer->start(decision.at - now);
}

void entry::state::on_deadline(call_id id)
{
    call* found = this->calls.find(id);
    if (found == nullptr)
        return;
    auto const& row =
        row_of(found->current ? failure_point::link_deadline_after_send
                              : failure_point::entry_deadline_before_send);
    found->outcome = worst(found->outcome, row.outcome);
    found->why = {row.code, "the route's deadline has passed", {}};
    found->retry_after_us = 0;
    this->end_probes(*found);
    this->end_attempt(*found);
    this->answer_problem(id);
}

void entry::state::on_stream_closed(link::stream_id stream,
                                    link::stream_end const& end)
{
    process::take_closed(this->crashes.targets, stream);
    if (this->by_probe.contains(key_of(stream)))
    {
        this->on_probe_closed(stream);
        return;
    }
    auto const found = this->by_stream.find(key_of(stream));
    if (found == this->by_stream.end())
        return;
    if (this->resume_later(found->second, end))
        return;
    // A resume that was not sent does not undo the call that was.
    call const& of = *this->calls.find(found->second);
    bool const was_sent =
        end.may_have_sent || (of.current && of.current->resumes > 0);
    auto const& row = row_of(was_sent ? failure_point::link_cut_after_send
                                      : failure_point::link_cut_before_send);
    link::failure failed;
    failed.outcome = row.outcome;
    failed.why = {row.code, to_text(end.why), {}};
    this->on_attempt_failed(found->second, failed);
}

} // namespace jujubestand::entry
