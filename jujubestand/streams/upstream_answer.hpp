#ifndef JUJUBESTAND_STREAMS_UPSTREAM_ANSWER_HPP
#define JUJUBESTAND_STREAMS_UPSTREAM_ANSWER_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <jujubestand/core/enum_table.hpp>
#include <jujubestand/core/ids.hpp>
#include <jujubestand/core/reason.hpp>
#include <jujubestand/streams/answer_checker.hpp>
#include <jujubestand/streams/sse.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujubestand::streams
{

/// \brief How an upstream's answer is to be judged.
enum class answer_form : std::uint8_t
{
    opaque, ///< a plain service's, or an engine's refusal: passed on
    events, ///< a streamed completion
    whole,  ///< a completion in one JSON object
    /// A plain service's stream of events: passed on, but incomplete if it
    /// ends inside an event.
    plain_events,
};

/// \brief Names of the forms.
inline constexpr std::array<enum_name<answer_form>, 4> answer_form_names{{
    {answer_form::opaque, "opaque"},
    {answer_form::events, "events"},
    {answer_form::whole, "whole"},
    {answer_form::plain_events, "plain_events"},
}};

/// \brief An upstream's answer on its way into pieces.
struct upstream_answer
{
    answer_form form = answer_form::opaque;
    sse_splitter splitter;
    answer_checker checker;
    /// A whole answer is held until its id was read.
    std::string held;
    /// Last bytes of a plain service's stream of events.
    std::string tail;
    std::uint64_t pieces = 0;
    std::optional<answer_usage> usage;
};

/// \brief What bytes of an answer led to.
struct answer_step
{
    std::vector<std::string> pieces;
    /// Events that were not this answer's next.
    std::vector<reason> rejected;
    /// Set if the answer cannot go on.
    std::optional<reason> broken;
};

/// \brief Begins an answer.
[[nodiscard]] upstream_answer begin_answer(answer_form form,
                                           request_id const& request);

/// \brief Takes the next bytes of the upstream's body.
[[nodiscard]] answer_step take_bytes(upstream_answer& answer,
                                     std::string_view bytes);

/// \brief Bytes that are kept until more of the answer has come.
[[nodiscard]] std::size_t held_bytes(upstream_answer const& answer) noexcept;

/// \brief The upstream's body came to its regular end.
[[nodiscard]] answer_step take_end(upstream_answer& answer);

} // namespace jujubestand::streams

#endif
