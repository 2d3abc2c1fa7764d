#include <standins/engine/answer_format.hpp>

#include <nlohmann/json.hpp>

namespace jujubestand::standins
{

namespace
{

/// A piece's beginning, up to its choices.
void append_head(std::string& out, answer_frame const& frame,
                 std::size_t number)
{
    out += "id: ";
    out += std::to_string(number);
    out += "\ndata: {\"id\":\"cmpl-";
    out += frame.name;
    out += frame.is_chat ? R"(","object":"chat.completion.chunk","model":")"
                         : R"(","object":"text_completion","model":")";
    out += frame.model;
    out += R"(","system_fingerprint":")";
    out += frame.weights_version;
    out += R"(","choices":[)";
}

void append_usage(std::string& out, answer_usage const& usage)
{
    out += R"("usage":{"prompt_tokens":)";
    out += std::to_string(usage.prompt_tokens);
    out += R"(,"completion_tokens":)";
    out += std::to_string(usage.completion_tokens);
    out += R"(,"total_tokens":)";
    out += std::to_string(usage.prompt_tokens + usage.completion_tokens);
    out += R"(,"prompt_tokens_details":{"cached_tokens":)";
    out += std::to_string(usage.cached_tokens);
    out += "}}";
}

} // namespace

void append_token_event(std::string& out, answer_frame const& frame,
                        std::size_t number, std::string_view token,
                        bool is_last)
{
    append_head(out, frame, number);
    out += R"({"index":0,)";
    if (frame.is_chat && number == 0)
        out += R"("delta":{"role":"assistant","content":")";
    else
        out += frame.is_chat ? R"("delta":{"content":")" : R"("text":")";
    out += token;
    out += frame.is_chat ? "\"}" : "\"";
    out += is_last ? R"(,"finish_reason":"length"}]})"
                   : R"(,"finish_reason":null}]})";
    out += "\n\n";
}

void append_usage_event(std::string& out, answer_frame const& frame,
                        std::size_t number, answer_usage const& usage)
{
    append_head(out, frame, number);
    out += "],";
    append_usage(out, usage);
    out += "}\n\n";
}

void append_done_event(std::string& out, std::size_t number)
{
    out += "id: ";
    out += std::to_string(number);
    out += "\ndata: [DONE]\n\n";
}

std::string json_answer(answer_frame const& frame, std::string_view text,
                        answer_usage const& usage)
{
    std::string out = R"({"id":"cmpl-)" + frame.name + R"(","object":")";
    out += frame.is_chat ? "chat.completion" : "text_completion";
    out += R"(","model":")" + frame.model + R"(","system_fingerprint":")" +
           frame.weights_version + R"(","choices":[{"index":0,)";
    std::string const quoted = nlohmann::json(text).dump();
    out += frame.is_chat
               ? R"("message":{"role":"assistant","content":)" + quoted + '}'
               : R"("text":)" + quoted;
    out += R"(,"finish_reason":"length"}],)";
    append_usage(out, usage);
    out += '}';
    return out;
}

} // namespace jujubestand::standins
