#include <standins/engine/completion_body.hpp>

#include <simdjson.h>

namespace jujubestand::standins
{

namespace
{

using simdjson::dom::element;

std::string text_of(element const& object, std::string_view key)
{
    std::string_view text;
    if (object[key].get(text) != simdjson::SUCCESS)
        return {};
    return std::string(text);
}

/// A message's content is a text or a list of text parts.
std::string content_of(element const& message)
{
    std::string_view text;
    if (message["content"].get(text) == simdjson::SUCCESS)
        return std::string(text);
    std::string joined;
    simdjson::dom::array parts;
    if (message["content"].get(parts) != simdjson::SUCCESS)
        return joined;
    for (element const part : parts)
        joined += text_of(part, "text");
    return joined;
}

bool read_messages(element const& body, std::string& prompt)
{
    simdjson::dom::array messages;
    if (body["messages"].get(messages) != simdjson::SUCCESS)
        return false;
    std::string begun;
    for (element const message : messages)
    {
        if (!begun.empty())
            append_message(prompt, "assistant", begun);
        begun.clear();
        if (text_of(message, "role") == "assistant")
            begun = content_of(message);
        else
            append_message(prompt, text_of(message, "role"),
                           content_of(message));
    }
    append_answer_prompt(prompt);
    prompt += begun;
    return true;
}

void read_limits(element const& body, completion_body& result)
{
    std::uint64_t tokens = 0;
    if (body["max_tokens"].get(tokens) == simdjson::SUCCESS ||
        body["max_completion_tokens"].get(tokens) == simdjson::SUCCESS)
        result.max_tokens = tokens;
    bool is_stream = false;
    if (body["stream"].get(is_stream) == simdjson::SUCCESS)
        result.is_stream = is_stream;
}

} // namespace

void append_message(std::string& prompt, std::string_view role,
                    std::string_view content)
{
    prompt += "<|";
    prompt += role;
    prompt += "|>";
    prompt += content;
    prompt += '\n';
}

void append_answer_prompt(std::string& prompt)
{
    prompt += "<|assistant|>";
}

std::optional<completion_body> read_completion(std::string_view body,
                                               bool is_chat, std::string& error)
{
    simdjson::dom::parser parser;
    element root;
    auto const failed = parser.parse(body.data(), body.size()).get(root);
    if (failed != simdjson::SUCCESS)
    {
        error = simdjson::error_message(failed);
        return std::nullopt;
    }
    completion_body result;
    result.is_chat = is_chat;
    result.model = text_of(root, "model");
    result.cache_salt = text_of(root, "cache_salt");
    read_limits(root, result);
    if (!is_chat)
        result.prompt = text_of(root, "prompt");
    else if (!read_messages(root, result.prompt))
    {
        error = "no messages";
        return std::nullopt;
    }
    return result;
}

} // namespace jujubestand::standins
