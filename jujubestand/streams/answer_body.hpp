#ifndef JUJUBESTAND_STREAMS_ANSWER_BODY_HPP
#define JUJUBESTAND_STREAMS_ANSWER_BODY_HPP

#include <cstdint>
#include <jujubestand/core/ids.hpp>
#include <optional>
#include <string_view>

namespace jujubestand::streams
{

/// \brief Token counts of an answer.
struct answer_usage
{
    std::uint32_t prompt_tokens = 0;
    std::uint32_t cached_tokens = 0;
    std::uint32_t completion_tokens = 0;
};

/// \brief What we read of a completion or of one piece of it.
struct answer_body
{
    /// The request it answers, by its `"id":"cmpl-..."`.
    std::optional<request_id> request;
    /// Some choice names its finish reason.
    bool is_finished = false;
    bool is_error = false;
    std::optional<answer_usage> usage;
    /// Hash of the choices alone: the same for the same text, whatever the
    /// time stamps beside it.
    std::uint64_t choices_digest = 0;
};

/// \brief Reads a completion's JSON; nothing if it is not an object.
[[nodiscard]] std::optional<answer_body>
read_answer_body(std::string_view json);

} // namespace jujubestand::streams

#endif
