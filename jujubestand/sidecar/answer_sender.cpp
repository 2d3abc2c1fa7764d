#include <jujubestand/sidecar/answer_sender.hpp>

#include <jujubestand/core/failure_point.hpp>

namespace jujubestand::sidecar
{

namespace
{

constexpr std::chrono::milliseconds expiry_period{500};

// Handed to the link ahead of its window; the rest stays in the store, where
// it is counted once.
constexpr std::size_t link_ahead_bytes = 32U << 10U;

std::uint64_t key_of(link::stream_id stream) noexcept
{
    return (static_cast<std::uint64_t>(stream.generation) << 32U) | stream.slot;
}

link::frame not_kept(request_id const& request, reason const& why)
{
    link::failure told;
    told.request = request;
    told.outcome = row_of(failure_point::link_cut_after_send).outcome;
    told.why = why;
    return link::to_frame(told);
}

} // namespace

answer_sender::answer_sender(event_base* base, link::node& node,
                             streams::replay_limits const& limits)
    : links(&node)
    , expiry(base,
             [this]
             {
                 this->expire();
             })
{
    this->store.limits = limits;
    this->expiry.start_every(expiry_period);
}

void answer_sender::begin(request_id const& request, incarnation_id entry,
                          link::stream_id stream)
{
    this->erase(request);
    streams::begin(this->store, request, entry);
    this->stream_of[request] = stream;
    this->by_stream[key_of(stream)] = request;
}

void answer_sender::set_head(request_id const& request, link::frame head)
{
    streams::set_head(this->store, request, std::move(head));
    this->pump(request);
}

void answer_sender::append(request_id const& request, std::string bytes)
{
    streams::append(this->store, request, std::move(bytes));
    this->pump(request);
}

void answer_sender::conclude(request_id const& request, link::frame ending)
{
    streams::conclude(this->store, request, std::move(ending));
    this->pump(request);
}

bool answer_sender::must_hold_back(request_id const& request)
{
    bool const is_full = streams::is_full(this->store, request);
    if (is_full)
        this->held_back.insert(request);
    return is_full;
}

bool answer_sender::carries(link::stream_id stream) const
{
    return this->by_stream.contains(key_of(stream));
}

void answer_sender::resume(link::stream_id stream, link::resume const& wanted)
{
    reason why;
    if (!streams::attach(this->store, wanted, why))
    {
        this->links->send(stream, not_kept(wanted.request, why));
        this->links->finish(stream);
        return;
    }
    // The entry may see a broken link before we do.
    auto const old = this->stream_of.find(wanted.request);
    if (old != this->stream_of.end())
    {
        this->by_stream.erase(key_of(old->second));
        this->links->reset(old->second);
    }
    this->stream_of[wanted.request] = stream;
    this->by_stream[key_of(stream)] = wanted.request;
    this->pump(wanted.request);
    this->make_room(wanted.request);
}

void answer_sender::pump(request_id const& request)
{
    auto const known = this->stream_of.find(request);
    if (known == this->stream_of.end())
        return;
    link::stream_id const stream = known->second;
    while (this->links->unsent_bytes(stream) < link_ahead_bytes)
    {
        auto next = streams::next_frame(this->store, request);
        if (!next)
            break;
        this->links->send(stream, std::move(*next));
    }
    if (streams::is_handed_over(this->store, request))
        this->links->finish(stream);
}

void answer_sender::go_on(link::stream_id stream)
{
    auto const known = this->by_stream.find(key_of(stream));
    if (known == this->by_stream.end())
        return;
    request_id const request = known->second;
    this->pump(request);
    this->make_room(request);
}

std::optional<request_id>
answer_sender::take_closed(link::stream_id stream, link::stream_end const& how)
{
    auto const known = this->by_stream.find(key_of(stream));
    if (known == this->by_stream.end())
        return std::nullopt;
    request_id const request = known->second;
    if (how.clean || how.is_reset)
    {
        this->erase(request);
        return request;
    }
    this->by_stream.erase(known);
    this->stream_of.erase(request);
    streams::detach(this->store, request, mono_now());
    return std::nullopt;
}

std::size_t answer_sender::open_answers() const noexcept
{
    return this->store.windows.size();
}

void answer_sender::make_room(request_id const& request)
{
    if (streams::is_full(this->store, request) ||
        this->held_back.erase(request) == 0)
        return;
    this->has_room.emit(request);
}

void answer_sender::erase(request_id const& request)
{
    auto const known = this->stream_of.find(request);
    if (known != this->stream_of.end())
    {
        this->by_stream.erase(key_of(known->second));
        this->stream_of.erase(known);
    }
    this->held_back.erase(request);
    streams::erase(this->store, request);
}

void answer_sender::expire()
{
    for (auto const& request : streams::expire(this->store, mono_now()))
        this->abandoned.emit(request);
}

} // namespace jujubestand::sidecar
