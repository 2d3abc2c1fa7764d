// Which upstream a request goes to: probes, the choice, and what is learned.

#include <algorithm>
#include <jujubestand/entry/entry_state.hpp>

namespace jujubestand::entry
{

namespace
{

/// What a frame costs on the wire beside its payload: headers of stream and
/// frames, and the ends of both halves.
constexpr std::size_t frame_overhead_bytes = 64;

link::probe probe_of(call const& from)
{
    link::call const& message = from.request.message;
    link::probe asked;
    asked.request = message.request;
    asked.pool = message.pool;
    asked.team = message.team;
    asked.model = message.model;
    asked.adapter = message.adapter;
    asked.chain_high = message.chain_high;
    asked.chain_low = message.chain_low;
    asked.chain_tokens = message.chain_tokens;
    asked.priority = message.priority;
    return asked;
}

std::vector<placement::member>
members_of(config::pool const& pool,
           std::map<upstream_id, upstream_place> const& places)
{
    std::vector<placement::member> members;
    for (auto const& name : pool.upstreams)
    {
        auto const found = places.find(name);
        if (found == places.end())
            continue;
        members.push_back({name, found->second.data_centre, microseconds{0},
                           found->second.is_leaving, false});
    }
    return members;
}

open_probe take_open_probe(probing& probes, link::stream_id stream)
{
    auto const place = std::find_if(probes.open.begin(), probes.open.end(),
                                    [&stream](open_probe const& each)
                                    {
                                        return each.stream == stream;
                                    });
    open_probe taken = *place;
    probes.open.erase(place);
    return taken;
}

} // namespace

placement::placement_state& entry::state::placement_of(call const& from)
{
    pool_placement& known = this->placements[from.request.pool.id];
    bool const is_current = known.tables == from.request.message.tables &&
                            known.list_version == this->list_version;
    if (!is_current)
    {
        placement::set_members(known.state,
                               members_of(from.request.pool, this->upstreams));
        known.tables = from.request.message.tables;
        known.list_version = this->list_version;
    }
    return known.state;
}

// Where all have refused, they may be asked again; one that may have run the
// request never is. Broken upstreams are left out only while they are few: with
// most of a pool out, the fault is more likely here than there.
std::vector<upstream_id> entry::state::excluded_for(call const& from) const
{
    mono_time const now = mono_now();
    auto const& pool = from.request.pool.upstreams;
    std::vector<upstream_id> broken;
    for (auto const& [upstream, circuit] : this->circuits)
    {
        if (retries::is_open(circuit, now))
            broken.push_back(upstream);
    }
    if (broken.size() * 2 > pool.size())
        broken.clear();
    bool const may_ask_again =
        from.outcome == verdict::not_run && from.tried.size() >= pool.size();
    if (!may_ask_again)
        broken.insert(broken.end(), from.tried.begin(), from.tried.end());
    return broken;
}

placement::placement_request entry::state::request_of(call const& from)
{
    placement::placement_request request;
    request.pool = from.request.pool.id;
    request.adapter = from.request.message.adapter;
    request.weights_version = from.request.pool.weights_version;
    request.tail_weight = from.request.pool.tail_weight;
    request.prompt = from.request.prompt;
    request.excluded = this->excluded_for(from);
    return request;
}

void entry::state::try_next(call_id id)
{
    call* found = this->calls.find(id);
    if (found == nullptr || this->refuse_quarantined(id))
        return;
    if (found->request.pinned)
    {
        this->send_pinned(id);
        return;
    }
    auto const plan = placement::plan_probes(
        this->placement_of(*found), this->request_of(*found), mono_now(),
        this->shared->random());
    if (plan.probes.empty())
        this->decide(id);
    else
        this->start_probes(id, plan);
}

void entry::state::send_pinned(call_id id)
{
    call& of = *this->calls.find(id);
    auto const place = this->upstreams.find(*of.request.pinned);
    if (place != this->upstreams.end() && of.tried.empty())
    {
        this->send(id, place->second);
        return;
    }
    if (of.why.code == reason_code::none)
        of.why = {reason_code::no_upstream, "no such upstream", {}};
    this->answer_problem(id);
}

void entry::state::start_probes(call_id id, placement::probe_plan const& plan)
{
    call& of = *this->calls.find(id);
    link::frame const asked = link::to_frame(probe_of(of));
    mono_time const now = mono_now();
    of.probes.emplace();
    for (auto const& upstream : plan.probes)
    {
        auto const place = this->upstreams.find(upstream);
        if (place == this->upstreams.end())
            continue;
        link::stream_id const stream = this->links.open(place->second.link);
        this->links.send(stream, asked);
        this->links.finish(stream);
        this->by_probe[key_of(stream)] = id;
        of.probes->open.push_back({upstream, stream, now});
        this->counts.probe_sent(asked.payload.size() + frame_overhead_bytes);
    }
    of.probes->timer.emplace(this->shared->base,
                             [this, id]
                             {
                                 this->decide(id);
                             });
    of.probes->timer->start(
        std::chrono::milliseconds(this->shared->settings.probe_timeout_ms));
}

call_id entry::state::take_probe_call(link::stream_id stream)
{
    auto const found = this->by_probe.find(key_of(stream));
    call_id const id = found->second;
    this->by_probe.erase(found);
    return id;
}

void entry::state::on_probe_reply(link::stream_id stream,
                                  link::frame const& frame)
{
    this->links.consume(stream, frame.payload.size());
    this->counts.probe_answered(frame.payload.size() + frame_overhead_bytes);
    call_id const id = this->take_probe_call(stream);
    call& of = *this->calls.find(id);
    open_probe const asked = take_open_probe(*of.probes, stream);
    reason why;
    auto reply = link::from_frame<link::probe_reply>(frame, why);
    if (reply)
    {
        of.probes->replies.push_back(
            {asked.upstream, asked.sent_at, std::move(*reply)});
        placement::record_reply(this->placement_of(of),
                                of.probes->replies.back(), mono_now());
    }
    if (of.probes->open.empty())
        this->decide(id);
}

void entry::state::on_probe_closed(link::stream_id stream)
{
    call_id const id = this->take_probe_call(stream);
    call& of = *this->calls.find(id);
    this->note_failure(take_open_probe(*of.probes, stream).upstream);
    if (of.probes->open.empty())
        this->decide(id);
}

void entry::state::end_probes(call& of)
{
    if (!of.probes)
        return;
    for (auto const& each : of.probes->open)
    {
        this->by_probe.erase(key_of(each.stream));
        this->links.reset(each.stream);
    }
    of.probes.reset();
}

void entry::state::decide(call_id id)
{
    call& of = *this->calls.find(id);
    std::vector<placement::probe_outcome> replies;
    if (of.probes)
    {
        replies = std::move(of.probes->replies);
        for (auto const& each : of.probes->open)
            this->note_failure(each.upstream);
    }
    this->end_probes(of);
    mono_time const now = mono_now();
    auto& placed = this->placement_of(of);
    auto const request = this->request_of(of);
    auto const chosen = placement::choose(placed, request, replies, now,
                                          this->shared->random());
    auto const place =
        chosen ? this->upstreams.find(chosen->upstream) : this->upstreams.end();
    if (place == this->upstreams.end())
    {
        if (of.why.code == reason_code::none)
            of.why = {
                reason_code::no_upstream_ready, "no upstream can take it", {}};
        this->answer_problem(id);
        return;
    }
    placement::record_sent(placed, request, *chosen, now);
    static_cast<void>(retries::try_admit(this->circuits[chosen->upstream],
                                         this->circuit_options, now));
    this->send(id, place->second);
}

void entry::state::note_failure(upstream_id const& upstream)
{
    bool const is_opened =
        retries::record_failure(this->circuits[upstream], this->circuit_options,
                                mono_now(), this->shared->random());
    if (is_opened)
        process::note(*this->shared, event_number::circuit_opened, {}, {},
                      {{"upstream", upstream.text}});
}

void entry::state::note_success(upstream_id const& upstream)
{
    auto const found = this->circuits.find(upstream);
    if (found == this->circuits.end())
        return;
    if (retries::record_success(found->second))
        process::note(*this->shared, event_number::circuit_closed, {}, {},
                      {{"upstream", upstream.text}});
}

} // namespace jujubestand::entry
