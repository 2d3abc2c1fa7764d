#include <jujubestand/sidecar/claim_desk.hpp>

#include <algorithm>
#include <jujubestand/claims/refusal.hpp>

namespace jujubestand::sidecar
{

namespace
{

claims::moment now()
{
    return {mono_now(), wall_now()};
}

request_id id_of(claim_number claim)
{
    return {0, claim};
}

// A repeat must ask for the same thing at the same place.
digest body_of(link::call const& message)
{
    std::string bytes;
    append_part(bytes, message.method);
    append_part(bytes, message.path);
    append_part(bytes, message.body_digest);
    return digest_of(bytes);
}

} // namespace

claims::claim_options claim_options_of(process::context& shared)
{
    settings::settings const& read = shared.settings;
    claims::claim_options options;
    // Wider than an incarnation's random bits: two sidecars with one nonce
    // would both take a claim for their own.
    options.claimant = incarnation_id(shared.random());
    options.accepted_age = std::chrono::milliseconds(read.key_age_limit_ms);
    options.retention = std::chrono::milliseconds(read.log_retention_ms);
    options.answer_limit_bytes =
        static_cast<std::size_t>(read.outcome_limit_bytes);
    return options;
}

claim_desk::claim_desk(process::context& context, platform::log_client& client,
                       claims::claim_options const& limits)
    : shared(&context)
    , log(&client)
    , options(limits)
{
    client.received.connect(sigc::mem_fun(*this, &claim_desk::on_batch));
    client.gap.connect(sigc::mem_fun(*this, &claim_desk::on_gap));
    client.noted.connect(sigc::mem_fun(*this, &claim_desk::on_log_event));
}

void claim_desk::follow(pool_id const& pool, std::uint32_t claim_streams)
{
    std::uint32_t const count = std::max<std::uint32_t>(claim_streams, 1);
    for (std::uint32_t index = 0; index < count; ++index)
        this->shard_of(claims::stream_name(pool, index));
}

claim_desk::shard& claim_desk::shard_of(std::string const& stream)
{
    auto const [at, is_new] = this->shards.try_emplace(stream);
    if (!is_new)
        return at->second;
    at->second.state.options = this->options;
    at->second.tail = this->log->tail(stream, log_offset{});
    at->second.timer.emplace(this->shared->base,
                             [this, stream]
                             {
                                 auto& due = this->shards.at(stream).state;
                                 this->perform(stream,
                                               claims::tick(due, now()));
                             });
    return at->second;
}

claim_desk::shard* claim_desk::shard_of_claim(claim_number claim)
{
    auto const known = this->claims_known.find(claim);
    if (known == this->claims_known.end())
        return nullptr;
    return &this->shards.at(known->second.stream);
}

void claim_desk::offer(claim_number claim, link::call const& message,
                       std::uint32_t claim_streams, mono_time deadline)
{
    auto const time = claims::key_time(message.idempotency_key);
    if (!time)
    {
        this->answered.emit(
            claim, claims::refusal(id_of(claim), reason_code::malformed_key));
        return;
    }
    digest const key = claims::scoped_key(message.team, message.route,
                                          message.idempotency_key);
    std::string const stream = claims::stream_name(
        message.pool, claims::stream_index(key, claim_streams));
    this->claims_known[claim] =
        known_claim{stream, message.request, message.team};
    claims::call_offered const offered{id_of(claim), key, body_of(message),
                                       *time, deadline};
    this->perform(stream,
                  claims::offer(this->shard_of(stream).state, offered, now()));
}

void claim_desk::end(claim_number claim, claims::call_outcome const& outcome)
{
    shard* found = this->shard_of_claim(claim);
    if (found == nullptr)
        return;
    known_claim const known = this->claims_known.at(claim);
    this->claims_known.erase(claim);
    bool const is_unrun = outcome.result == verdict::not_run;
    this->note(is_unrun ? event_number::claim_abandoned
                        : event_number::outcome_recorded,
               known, std::string(to_name(verdict_names, outcome.result)));
    this->perform(known.stream,
                  claims::end(found->state, {id_of(claim), outcome}, now()));
}

void claim_desk::cancel(claim_number claim)
{
    shard* found = this->shard_of_claim(claim);
    if (found == nullptr)
        return;
    known_claim const known = this->claims_known.at(claim);
    this->claims_known.erase(claim);
    this->note(event_number::claim_abandoned, known, "caller gone");
    this->perform(known.stream,
                  claims::cancel(found->state, {id_of(claim)}, now()));
}

bool claim_desk::has_unwritten() const
{
    return std::any_of(this->shards.begin(), this->shards.end(),
                       [](auto const& row)
                       {
                           return claims::has_unwritten(row.second.state);
                       });
}

std::size_t claim_desk::memory_bytes() const
{
    std::size_t total = 0;
    for (auto const& [stream, held] : this->shards)
        total += claims::memory_bytes(held.state.window);
    return total;
}

void claim_desk::on_batch(platform::tail_id tail,
                          platform::log_batch const& batch)
{
    for (auto& [stream, held] : this->shards)
    {
        if (held.tail != tail)
            continue;
        claims::records_read message{batch.first_kept, batch.next, {}};
        for (auto const& record : batch.records)
            message.records.push_back(
                {record.offset, record.appended, record.bytes});
        this->perform(stream, claims::read(held.state, message, now()));
        return;
    }
}

void claim_desk::on_gap(platform::tail_id tail, log_offset first)
{
    platform::log_batch lost;
    lost.first_kept = first;
    // Nothing is known of the stream's end before the next answer.
    lost.next = log_offset{first.value + 1};
    this->on_batch(tail, lost);
}

void claim_desk::on_log_event(event_note const& what)
{
    if (what.number != event_number::log_unreachable)
        return;
    for (auto& [stream, held] : this->shards)
        this->perform(stream, claims::fail_read(held.state, {}, now()));
}

void claim_desk::perform(std::string const& stream,
                         claims::claim_effects const& effects)
{
    for (auto const& effect : effects)
    {
        if (auto const* wanted = std::get_if<claims::append_wanted>(&effect))
            this->append(stream, *wanted);
        else if (auto const* begun = std::get_if<claims::start_wanted>(&effect))
            this->start(begun->request);
        else
            this->answer(std::get<claims::answer_wanted>(effect));
    }
    this->schedule(stream);
}

void claim_desk::append(std::string const& stream,
                        claims::append_wanted const& wanted)
{
    auto const answered_as =
        [this, stream, id = wanted.id](std::optional<log_offset> offset)
    {
        auto& state = this->shards.at(stream).state;
        this->perform(stream, claims::answer(state, {id, offset}, now()));
    };
    reason why;
    bool const is_sent = this->log->append(
        stream, platform::append_kind::claims, wanted.bytes,
        [answered_as](platform::append_result const& result)
        {
            bool const is_done =
                result.outcome == platform::append_outcome::done;
            answered_as(is_done ? std::optional(result.offset) : std::nullopt);
        },
        why);
    if (!is_sent)
        answered_as(std::nullopt);
}

void claim_desk::start(request_id const& claim)
{
    auto const known = this->claims_known.find(claim.low);
    if (known == this->claims_known.end())
        return;
    this->note(event_number::claim_won, known->second, {});
    this->won.emit(claim.low);
}

void claim_desk::answer(claims::answer_wanted const& wanted)
{
    auto const known = this->claims_known.find(wanted.request.low);
    if (known == this->claims_known.end())
        return;
    this->note(event_number::claim_refused, known->second, to_text(wanted.why));
    this->claims_known.erase(known);
    this->answered.emit(wanted.request.low, wanted);
}

void claim_desk::schedule(std::string const& stream)
{
    shard& held = this->shards.at(stream);
    auto const due = claims::next_tick(held.state);
    if (!due)
    {
        held.timer->stop();
        return;
    }
    held.timer->start(std::max(*due - mono_now(), microseconds{0}));
}

void claim_desk::note(event_number number, known_claim const& claim,
                      std::string const& why)
{
    std::vector<event_field> fields{{"stream", claim.stream}};
    if (!why.empty())
        fields.push_back({"why", why});
    process::note(*this->shared, number, claim.request, claim.team,
                  std::move(fields));
}

} // namespace jujubestand::sidecar
