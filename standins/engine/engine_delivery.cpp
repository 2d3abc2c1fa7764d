#include <algorithm>
#include <event2/buffer.h>
#include <standins/engine/engine_service.hpp>

namespace jujubestand::standins
{

void engine_service::deliver(std::uint64_t id)
{
    answer& target = this->answers.at(id);
    if (target.request == nullptr || target.is_cut)
    {
        if (target.request == nullptr && target.is_finished &&
            target.keep_seconds == 0)
            this->drop_answer(id);
        return;
    }
    if (target.is_stream)
        this->send_stream(target);
    else if (target.is_finished)
        this->send_json(target);
    if (target.is_finished && !target.is_cut)
        this->answer_sent(id);
}

void engine_service::answer_sent(std::uint64_t id)
{
    answer& target = this->answers.at(id);
    unwatch_close(target.request);
    if (target.is_stream)
        evhttp_send_reply_end(target.request);
    target.request = nullptr;
    if (target.keep_seconds > 0)
        return this->keep_for_resume(id);
    this->drop_answer(id);
}

void engine_service::send_stream(answer& target)
{
    std::string out;
    std::size_t const tokens = target.text.size() / token_bytes;
    while (target.next_event < tokens)
        this->append_piece(target, out);
    if (target.is_finished)
        this->append_end(target, out);
    evbuffer* const chunk = evbuffer_new();
    evbuffer_add(chunk, out.data(), out.size());
    if (!out.empty())
        evhttp_send_reply_chunk(target.request, chunk);
    evbuffer_free(chunk);
    if (target.cut_after > 0 && target.next_event >= target.cut_after)
    {
        target.is_cut = true;
        cut(target.request);
    }
}

void engine_service::append_piece(answer& target, std::string& out)
{
    std::size_t const number = target.next_event++;
    std::string_view const text = target.text;
    auto const token = text.substr(number * token_bytes, token_bytes);
    bool const is_last =
        target.is_finished && (number + 1) * token_bytes == target.text.size();
    if (this->switches.skip_pieces > 0)
    {
        --this->switches.skip_pieces;
        return;
    }
    append_token_event(out, this->crossed(target).frame, number, token,
                       is_last);
    if (this->switches.duplicate_pieces > 0)
    {
        --this->switches.duplicate_pieces;
        append_token_event(out, target.frame, number, token, is_last);
    }
}

void engine_service::append_end(answer& target, std::string& out)
{
    std::size_t const tokens = target.text.size() / token_bytes;
    if (target.next_event <= tokens)
        append_usage_event(out, target.frame, tokens, target.usage);
    append_done_event(out, tokens + 1);
}

void engine_service::send_json(answer& target)
{
    answer const& shown = this->crossed(target);
    reply(target.request, HTTP_OK,
          json_answer(shown.frame, shown.text, shown.usage));
}

engine_service::answer const& engine_service::crossed(answer const& target)
{
    if (this->switches.cross_answers == 0)
        return target;
    for (auto const& [id, candidate] : this->answers)
    {
        if (candidate.frame.name == target.frame.name)
            continue;
        --this->switches.cross_answers;
        return candidate;
    }
    return target;
}

} // namespace jujubestand::standins
