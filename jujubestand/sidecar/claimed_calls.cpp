// What a call that may run once only does more than others.

#include <algorithm>
#include <jujubestand/claims/record.hpp>
#include <jujubestand/sidecar/sidecar_state.hpp>

namespace jujubestand::sidecar
{

namespace
{

constexpr char const* replayed_header = "Idempotent-Replayed";

bool serves(config::pool const& pool, upstream_id const& upstream)
{
    return std::find(pool.upstreams.begin(), pool.upstreams.end(), upstream) !=
           pool.upstreams.end();
}

std::string describe(claims::call_outcome const& outcome)
{
    return "it ran before: status " + std::to_string(outcome.status) + ", " +
           std::to_string(outcome.answer_bytes) +
           " bytes, SHA-256 begins with " + to_text(outcome.answer_digest);
}

claims::call_outcome to_outcome(answer_record& record, verdict result)
{
    claims::call_outcome outcome;
    outcome.result = result;
    outcome.status = record.status;
    outcome.content_type = std::move(record.content_type);
    outcome.answer_digest = record.sum.finish();
    outcome.answer_bytes = record.bytes;
    if (record.start.size() == record.bytes)
        outcome.answer = std::move(record.start);
    return outcome;
}

} // namespace

void sidecar::state::connect_claims()
{
    this->claims.won.connect(sigc::mem_fun(*this, &state::on_claim_won));
    this->claims.answered.connect(
        sigc::mem_fun(*this, &state::on_claim_answered));
    this->tables.applied.connect(sigc::mem_fun(*this, &state::follow_claims));
}

// Streams are followed from the tables on, so that the window has been read
// when the first call comes.
void sidecar::state::follow_claims()
{
    auto const& current = this->tables.in_force();
    for (auto const& [id, route] : current.routes)
    {
        auto const pool = current.pools.find(route.pool);
        bool const is_ours =
            !route.is_idempotent && pool != current.pools.end() &&
            serves(pool->second, this->shared->settings.upstream);
        if (is_ours)
            this->claims.follow(pool->first, pool->second.claim_streams);
    }
}

void sidecar::state::claim(call_id id)
{
    call& next = *this->calls.find(id);
    auto const& pools = this->tables.in_force().pools;
    auto const pool = pools.find(next.message.pool);
    if (pool == pools.end())
    {
        this->refuse(id, failure_point::sidecar_refused,
                     {reason_code::tables_missing, "the pool is not known", {}},
                     0);
        return;
    }
    next.stage = call_stage::claiming;
    // Both may end the call from within.
    this->claims.offer(key_of(id), next.message, pool->second.claim_streams,
                       next.deadline);
}

void sidecar::state::on_claim_won(claim_number claim)
{
    call_id const id = id_of<call_id>(claim);
    call* found = this->calls.find(id);
    if (found == nullptr)
    {
        claims::call_outcome unrun;
        unrun.result = verdict::not_run;
        this->claims.end(claim, unrun);
        return;
    }
    found->record.emplace();
    this->enqueue(id);
}

void sidecar::state::on_claim_answered(claim_number claim,
                                       claims::answer_wanted const& told)
{
    call_id const id = id_of<call_id>(claim);
    if (this->calls.find(id) == nullptr)
        return;
    if (told.recorded && claims::has_whole_answer(*told.recorded))
    {
        this->replay(id, *told.recorded);
        return;
    }
    reason why = told.why;
    if (told.recorded)
        why.text = describe(*told.recorded);
    auto const pause = std::chrono::microseconds(told.retry_after).count();
    this->end_call(id, event_number::call_refused, told.result, std::move(why),
                   static_cast<std::uint64_t>(pause));
}

void sidecar::state::replay(call_id id, claims::call_outcome const& recorded)
{
    call const& of = *this->calls.find(id);
    request_id const request = of.message.request;
    link::stream_id const stream = of.stream;
    link::head head;
    head.request = request;
    head.upstream = this->shared->settings.upstream;
    head.status = recorded.status;
    if (!recorded.content_type.empty())
        head.headers.push_back({"Content-Type", recorded.content_type});
    head.headers.push_back({replayed_header, "true"});
    link::last last;
    last.request = request;
    last.pieces = recorded.answer.empty() ? 0 : 1;
    last.tables = this->tables.in_force().version;
    this->drop(id);
    this->links.send(stream, link::to_frame(head));
    if (!recorded.answer.empty())
        this->links.send(
            stream, link::to_frame(link::piece{request, 0, recorded.answer}));
    this->links.send(stream, link::to_frame(last));
    this->links.finish(stream);
}

void sidecar::state::settle_claim(call_id id, verdict outcome)
{
    call& of = *this->calls.find(id);
    if (of.record)
        this->claims.end(key_of(id), to_outcome(*of.record, outcome));
    else if (of.stage == call_stage::claiming)
        this->claims.cancel(key_of(id));
}

// A claimed call that has begun is not cut when its entry or caller goes
// away: its outcome is what a repeat will ask for.
bool sidecar::state::detach(call_id id)
{
    call& of = *this->calls.find(id);
    if (!of.record || of.stage != call_stage::running)
        return false;
    this->by_stream.erase(key_of(of.stream));
    of.stream = {};
    of.is_detached = true;
    if (of.is_paused)
        this->upstream.unpause(of.exchange);
    of.is_paused = false;
    return true;
}

void sidecar::state::keep_answer(call& of, std::string const& bytes)
{
    if (!of.record)
        return;
    auto const limit =
        static_cast<std::size_t>(this->shared->settings.outcome_limit_bytes);
    answer_record& record = *of.record;
    record.sum.add(bytes);
    record.bytes += bytes.size();
    if (record.start.size() < limit)
        record.start += bytes.substr(0, limit - record.start.size());
}

} // namespace jujubestand::sidecar
