// Which upstream a request goes to, and what follows when it fails there.

#include <jujubestand/entry/entry_state.hpp>

#include <algorithm>
#include <jujubestand/core/failure_point.hpp>

namespace jujubestand::entry
{

namespace
{

constexpr std::size_t body_frame_bytes = 64U << 10U;
constexpr std::size_t attempts_limit = 3;

std::uint64_t time_left_us(call const& of, mono_time now)
{
    auto const left = (of.deadline - now).count();
    return left > 0 ? static_cast<std::uint64_t>(left) : 0;
}

bool may_try_again(call const& of)
{
    bool const is_safe =
        of.outcome == verdict::not_run || of.request.route.is_idempotent;
    bool const is_open =
        !of.relay.is_started || streams::can_repeat(of.relay.received);
    return is_safe && is_open && of.tried.size() < attempts_limit;
}

} // namespace

std::optional<upstream_place> entry::state::choose(call const& from)
{
    std::vector<upstream_place> fit;
    for (auto const& name : from.request.pool.upstreams)
    {
        bool const is_tried = std::find(from.tried.begin(), from.tried.end(),
                                        name) != from.tried.end();
        auto const found = this->upstreams.find(name);
        if (!is_tried && found != this->upstreams.end() &&
            !found->second.is_leaving)
            fit.push_back(found->second);
    }
    if (fit.empty())
        return std::nullopt;
    std::uniform_int_distribution<std::size_t> pick(0, fit.size() - 1);
    return fit.at(pick(this->shared->random));
}

void entry::state::try_next(call_id id)
{
    call* found = this->calls.find(id);
    if (found == nullptr)
        return;
    auto const place = this->choose(*found);
    if (place)
    {
        this->send(id, *place);
        return;
    }
    if (found->why.code == reason_code::none)
        found->why = {reason_code::no_upstream, "no upstream can take it", {}};
    this->answer_problem(id);
}

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
    if (!may_try_again(of))
    {
        this->answer_problem(id);
        return;
    }
    this->rewind_relay(of);
    this->try_next(id);
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
    this->end_attempt(*found);
    this->answer_problem(id);
}

void entry::state::on_stream_closed(link::stream_id stream,
                                    link::stream_end const& end)
{
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
