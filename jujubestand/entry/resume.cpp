// What follows a broken link: the same answer again from where it stood, or
// another engine's answer from its start.

#include <jujubestand/entry/entry_state.hpp>
#include <jujubestand/streams/piece_digest.hpp>

namespace jujubestand::entry
{

namespace
{

constexpr std::uint32_t resumes_limit = 3;
constexpr std::chrono::milliseconds first_resume_delay{20};

std::chrono::milliseconds delay_of(std::uint32_t resumes)
{
    return first_resume_delay * (1U << resumes);
}

} // namespace

void entry::state::begin_relay(call& of)
{
    auto const& message = of.request.message;
    of.relay.received.request = message.request;
    of.relay.received.keeps_digests = message.is_stream &&
                                      message.is_idempotent &&
                                      streams::is_repeatable(of.body);
}

void entry::state::rewind_relay(call& of)
{
    if (of.relay.is_started)
    {
        streams::begin_repeat(of.relay.received);
        of.relay.unconsumed_bytes = 0;
        return;
    }
    of.relay = relay_state{};
    this->begin_relay(of);
}

bool entry::state::resume_later(call_id id, link::stream_end const& end)
{
    call& of = *this->calls.find(id);
    bool const was_sent = end.may_have_sent || of.current->resumes > 0;
    if (end.clean || end.is_reset || !was_sent ||
        of.current->resumes >= resumes_limit)
        return false;
    this->by_stream.erase(key_of(of.current->stream));
    of.relay.unconsumed_bytes = 0;
    of.resume_timer.emplace(this->shared->base,
                            [this, id]
                            {
                                this->resume(id);
                            });
    of.resume_timer->start(delay_of(of.current->resumes));
    ++of.current->resumes;
    return true;
}

void entry::state::resume(call_id id)
{
    call* found = this->calls.find(id);
    if (found == nullptr || !found->current)
        return;
    attempt& current = *found->current;
    current.stream = this->links.open(current.link);
    this->by_stream[key_of(current.stream)] = id;
    auto const wanted = streams::resume_after_break(found->relay.received,
                                                    this->shared->incarnation);
    this->links.send(current.stream, link::to_frame(wanted));
    process::note(*this->shared, event_number::stream_resumed,
                  found->request.message.request, found->request.message.team,
                  {{"from", std::to_string(wanted.next_sequence)},
                   {"upstream", current.upstream.text}});
}

} // namespace jujubestand::entry
