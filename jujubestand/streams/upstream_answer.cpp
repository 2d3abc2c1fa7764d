#include <jujubestand/streams/upstream_answer.hpp>

#include <algorithm>
#include <utility>

namespace jujubestand::streams
{

namespace
{

// A piece is small enough for every frame and window limit.
constexpr std::size_t piece_limit_bytes = 64U << 10U;

void cut_into_pieces(upstream_answer& answer, std::string_view bytes,
                     answer_step& step)
{
    for (std::size_t at = 0; at < bytes.size(); at += piece_limit_bytes)
    {
        step.pieces.emplace_back(bytes.substr(at, piece_limit_bytes));
        ++answer.pieces;
    }
}

void take_event(upstream_answer& answer, sse_event& event, answer_step& step)
{
    auto result = check(answer.checker, event);
    switch (result.fate)
    {
    case piece_fate::relay:
    case piece_fate::end:
        step.pieces.push_back(std::move(event.raw));
        ++answer.pieces;
        break;
    case piece_fate::skip:
        if (result.why.code != reason_code::none)
            step.rejected.push_back(std::move(result.why));
        break;
    case piece_fate::broken:
        step.broken = std::move(result.why);
        break;
    }
}

void take_events(upstream_answer& answer, std::string_view bytes,
                 answer_step& step)
{
    std::vector<sse_event> events;
    reason why;
    bool const is_read = feed(answer.splitter, bytes, events, why);
    for (auto& event : events)
    {
        if (!step.broken)
            take_event(answer, event, step);
    }
    if (!is_read && !step.broken)
        step.broken = std::move(why);
    answer.usage = answer.checker.usage;
}

// An event ends with a blank line, whatever its line ends.
bool ends_with_blank_line(std::string_view text)
{
    return text.ends_with("\n\n") || text.ends_with("\r\r") ||
           text.ends_with("\n\r\n");
}

void keep_tail(upstream_answer& answer, std::string_view bytes)
{
    constexpr std::size_t blank_line_bytes = 4;
    answer.tail +=
        bytes.substr(bytes.size() - std::min(bytes.size(), blank_line_bytes));
    if (answer.tail.size() > blank_line_bytes)
        answer.tail.erase(0, answer.tail.size() - blank_line_bytes);
}

} // namespace

upstream_answer begin_answer(answer_form form, request_id const& request)
{
    upstream_answer answer;
    answer.form = form;
    answer.splitter.event_limit_bytes = piece_limit_bytes;
    answer.checker.request = request;
    return answer;
}

answer_step take_bytes(upstream_answer& answer, std::string_view bytes)
{
    answer_step step;
    if (answer.form == answer_form::events)
        take_events(answer, bytes, step);
    else if (answer.form == answer_form::whole)
        answer.held += bytes;
    else
        cut_into_pieces(answer, bytes, step);
    if (answer.form == answer_form::plain_events)
        keep_tail(answer, bytes);
    return step;
}

std::size_t held_bytes(upstream_answer const& answer) noexcept
{
    auto const& splitter = answer.splitter;
    return answer.held.size() + splitter.line.size() +
           splitter.next.data.size();
}

answer_step take_end(upstream_answer& answer)
{
    answer_step step;
    if (answer.form == answer_form::events && !answer.checker.is_done)
        step.broken = reason{reason_code::answer_incomplete,
                             "stream ended without its end mark", ""};
    if (!answer.tail.empty() && !ends_with_blank_line(answer.tail))
        step.broken = reason{reason_code::answer_incomplete,
                             "stream ended inside an event", ""};
    if (answer.form != answer_form::whole)
        return step;
    reason why;
    auto const body = check_whole(answer.checker.request, answer.held, why);
    if (!body)
    {
        step.broken = std::move(why);
        return step;
    }
    answer.usage = body->usage;
    cut_into_pieces(answer, std::exchange(answer.held, {}), step);
    return step;
}

} // namespace jujubestand::streams
