#ifndef JUJUBESTAND_STREAMS_ANSWER_CHECKER_HPP
#define JUJUBESTAND_STREAMS_ANSWER_CHECKER_HPP

#include <array>
#include <cstdint>
#include <jujubestand/core/enum_table.hpp>
#include <jujubestand/core/ids.hpp>
#include <jujubestand/core/reason.hpp>
#include <jujubestand/streams/answer_body.hpp>
#include <jujubestand/streams/sse.hpp>
#include <optional>
#include <string_view>

namespace jujubestand::streams
{

/// \brief What to do with a piece of an answer.
enum class piece_fate : std::uint8_t
{
    relay,  ///< it is the next of this answer
    end,    ///< it ends this answer; relay it too
    skip,   ///< it is not of this answer, or came before
    broken, ///< what comes next is lost: the answer cannot go on from here
};

/// \brief Names of the fates.
inline constexpr std::array<enum_name<piece_fate>, 4> piece_fate_names{{
    {piece_fate::relay, "relay"},
    {piece_fate::end, "end"},
    {piece_fate::skip, "skip"},
    {piece_fate::broken, "broken"},
}};

/// \brief A fate and, where it is neither relay nor end, why.
struct piece_check
{
    piece_fate fate = piece_fate::relay;
    reason why;
};

/// \brief Follows one streamed answer from the engine.
struct answer_checker
{
    request_id request;
    /// Number that the next event must have.
    std::uint64_t next_event = 0;
    /// A piece of this answer has named its finish reason.
    bool has_finish = false;
    bool is_done = false;
    std::optional<answer_usage> usage;
};

/// \brief Judges the engine's next event.
[[nodiscard]] piece_check check(answer_checker& checker,
                                sse_event const& event);

/// \brief Judges a whole JSON answer.
/// \returns what was read of it, or nothing with `why` set if it is not
/// this request's
[[nodiscard]] std::optional<answer_body>
check_whole(request_id const& request, std::string_view json, reason& why);

} // namespace jujubestand::streams

#endif
