#include <jujubestand/streams/answer_checker.hpp>

#include <string>
#include <utility>

namespace jujubestand::streams
{

namespace
{

constexpr std::string_view done_mark = "[DONE]";

piece_check skip(reason_code code, std::string text)
{
    return {piece_fate::skip, reason{code, std::move(text), ""}};
}

piece_check broken(reason_code code, std::string text)
{
    return {piece_fate::broken, reason{code, std::move(text), ""}};
}

std::string numbers(std::uint64_t found, std::uint64_t expected)
{
    return "event " + std::to_string(found) + " where " +
           std::to_string(expected) + " was due";
}

/// The end carries no request's id. It counts only after a piece of this
/// very answer has named its finish reason, or another request's end could
/// cut this answer short.
piece_check check_done(answer_checker& checker, sse_event const& event)
{
    if (event.id && *event.id < checker.next_event)
        return skip(reason_code::answer_out_of_order,
                    numbers(*event.id, checker.next_event));
    if (event.id && *event.id > checker.next_event)
        return broken(reason_code::answer_out_of_order,
                      numbers(*event.id, checker.next_event));
    if (!checker.has_finish)
        return skip(reason_code::answer_crossed,
                    "end of an answer that has not finished");
    checker.is_done = true;
    return {piece_fate::end, {}};
}

piece_check check_number(answer_checker& checker, sse_event const& event,
                         answer_body const& body)
{
    if (!event.id)
        return broken(reason_code::answer_out_of_order,
                      "event without a number");
    if (*event.id < checker.next_event)
        return skip(reason_code::answer_out_of_order,
                    numbers(*event.id, checker.next_event));
    if (*event.id > checker.next_event)
        return broken(reason_code::answer_out_of_order,
                      numbers(*event.id, checker.next_event));
    ++checker.next_event;
    checker.has_finish = checker.has_finish || body.is_finished;
    if (body.usage)
        checker.usage = body.usage;
    return {piece_fate::relay, {}};
}

} // namespace

piece_check check(answer_checker& checker, sse_event const& event)
{
    if (!event.has_data)
        return skip(reason_code::none, "comment");
    if (checker.is_done)
        return skip(reason_code::answer_crossed, "event after the end");
    if (event.data == done_mark)
        return check_done(checker, event);
    auto const body = read_answer_body(event.data);
    if (!body)
        return skip(reason_code::answer_crossed, "event is no JSON object");
    if (body->is_error && !body->request)
        return broken(reason_code::upstream_error,
                      "engine reported an error in its stream");
    if (body->request != checker.request)
        return skip(reason_code::answer_crossed,
                    "event of another request's answer");
    return check_number(checker, event, *body);
}

std::optional<answer_body> check_whole(request_id const& request,
                                       std::string_view json, reason& why)
{
    auto body = read_answer_body(json);
    if (!body)
    {
        why = reason{reason_code::answer_incomplete,
                     "answer is no whole JSON object", ""};
        return std::nullopt;
    }
    if (body->request != request)
    {
        why =
            reason{reason_code::answer_crossed, "another request's answer", ""};
        return std::nullopt;
    }
    return body;
}

} // namespace jujubestand::streams
