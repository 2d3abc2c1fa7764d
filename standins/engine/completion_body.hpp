#ifndef JUJUBESTAND_STANDINS_ENGINE_COMPLETION_BODY_HPP
#define JUJUBESTAND_STANDINS_ENGINE_COMPLETION_BODY_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jujubestand::standins
{

/// \brief The fields of a completion request that the engine reads.
struct completion_body
{
    std::string model;
    /// The whole prompt as the engine sees it.
    std::string prompt;
    std::string cache_salt;
    std::size_t max_tokens = 16;
    bool is_chat = false;
    bool is_stream = false;
};

/// \brief Reads a body of either completion call.
/// \returns nothing, with `error` set, if it is malformed
[[nodiscard]] std::optional<completion_body>
read_completion(std::string_view body, bool is_chat, std::string& error);

/// \brief One message as the engine's chat template writes it.
void append_message(std::string& prompt, std::string_view role,
                    std::string_view content);

/// \brief What the template writes before an answer. A last message of the
/// assistant follows it bare, so that an answer begun elsewhere goes on.
void append_answer_prompt(std::string& prompt);

} // namespace jujubestand::standins

#endif
