#ifndef JUJUBESTAND_STANDINS_ENGINE_ANSWER_FORMAT_HPP
#define JUJUBESTAND_STANDINS_ENGINE_ANSWER_FORMAT_HPP

#include <cstddef>
#include <string>
#include <string_view>

namespace jujubestand::standins
{

/// \brief What is the same in all pieces of one answer.
struct answer_frame
{
    std::string name;
    std::string model;
    std::string weights_version;
    bool is_chat = false;
};

/// \brief Tokens that an answer cost.
struct answer_usage
{
    std::size_t prompt_tokens = 0;
    std::size_t completion_tokens = 0;
    std::size_t cached_tokens = 0;
};

/// \brief Appends one SSE event that carries one token.
void append_token_event(std::string& out, answer_frame const& frame,
                        std::size_t number, std::string_view token,
                        bool is_last);

/// \brief Appends the SSE event with the usage, the last but one.
void append_usage_event(std::string& out, answer_frame const& frame,
                        std::size_t number, answer_usage const& usage);

/// \brief Appends the last event, `[DONE]`.
void append_done_event(std::string& out, std::size_t number);

/// \brief A whole answer as JSON.
[[nodiscard]] std::string json_answer(answer_frame const& frame,
                                      std::string_view text,
                                      answer_usage const& usage);

} // namespace jujubestand::standins

#endif
