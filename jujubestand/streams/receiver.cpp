#include <jujubestand/streams/receiver.hpp>

#include <jujubestand/streams/piece_digest.hpp>
#include <string>
#include <utility>

namespace jujubestand::streams
{

namespace
{

piece_check reject(piece_fate fate, reason_code code, std::string text)
{
    return {fate, reason{code, std::move(text), ""}};
}

/// A piece that the caller has: the same again, or the engines differ.
piece_check take_repeated(receiver const& state, link::piece const& arrived)
{
    if (piece_digest(arrived.bytes) == state.digests.at(arrived.sequence))
        return reject(piece_fate::skip, reason_code::none, "repeated");
    return reject(piece_fate::broken, reason_code::answer_out_of_order,
                  "piece " + std::to_string(arrived.sequence) +
                      " differs from the first engine's");
}

} // namespace

piece_check take(receiver& state, link::piece const& arrived)
{
    if (arrived.request != state.request)
        return reject(piece_fate::skip, reason_code::answer_crossed,
                      "piece of another request");
    if (state.is_whole || arrived.sequence < state.attempt_next)
        return reject(piece_fate::skip, reason_code::answer_out_of_order,
                      "piece came before");
    if (arrived.sequence > state.attempt_next)
        return reject(piece_fate::broken, reason_code::answer_out_of_order,
                      "piece " + std::to_string(state.attempt_next) +
                          " is missing");
    ++state.attempt_next;
    if (arrived.sequence < state.next)
        return take_repeated(state, arrived);
    ++state.next;
    if (state.keeps_digests)
        state.digests.push_back(piece_digest(arrived.bytes));
    return {piece_fate::relay, {}};
}

piece_check take(receiver& state, link::last const& arrived)
{
    if (arrived.request != state.request)
        return reject(piece_fate::skip, reason_code::answer_crossed,
                      "end of another request's answer");
    if (arrived.pieces != state.next || state.attempt_next != state.next)
        return reject(piece_fate::broken, reason_code::answer_incomplete,
                      std::to_string(state.attempt_next) + " of " +
                          std::to_string(arrived.pieces) + " pieces came");
    state.is_whole = true;
    return {piece_fate::end, {}};
}

link::resume resume_after_break(receiver const& state, incarnation_id entry)
{
    return link::resume{state.request, entry, state.attempt_next};
}

bool can_repeat(receiver const& state) noexcept
{
    return !state.is_whole &&
           (state.next == 0 || state.digests.size() == state.next);
}

void begin_repeat(receiver& state) noexcept
{
    state.attempt_next = 0;
}

} // namespace jujubestand::streams
