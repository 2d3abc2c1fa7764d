#include <jujubestand/streams/answer_body.hpp>

#include <simdjson.h>
#include <string>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace jujubestand::streams
{

namespace
{

constexpr std::string_view id_prefix = "cmpl-";

using simdjson::dom::element;

std::optional<request_id> read_id(element const& document)
{
    std::string_view text;
    if (document["id"].get(text) != simdjson::SUCCESS ||
        !text.starts_with(id_prefix))
        return std::nullopt;
    return request_id_from_text(text.substr(id_prefix.size()));
}

std::uint32_t read_count(element const& document, char const* pointer)
{
    std::uint64_t count = 0;
    if (document.at_pointer(pointer).get(count) != simdjson::SUCCESS)
        return 0;
    return static_cast<std::uint32_t>(count);
}

std::optional<answer_usage> read_usage(element const& document)
{
    simdjson::dom::object usage;
    if (document["usage"].get(usage) != simdjson::SUCCESS)
        return std::nullopt;
    return answer_usage{
        read_count(document, "/usage/prompt_tokens"),
        read_count(document, "/usage/prompt_tokens_details/cached_tokens"),
        read_count(document, "/usage/completion_tokens")};
}

void read_choices(element const& document, answer_body& body)
{
    simdjson::dom::array choices;
    if (document["choices"].get(choices) != simdjson::SUCCESS)
        return;
    for (element const choice : choices)
    {
        std::string_view why;
        bool const is_named =
            choice["finish_reason"].get(why) == simdjson::SUCCESS;
        body.is_finished = body.is_finished || is_named;
    }
    std::string const text = simdjson::minify(choices);
    body.choices_digest = XXH3_64bits(text.data(), text.size());
}

} // namespace

std::optional<answer_body> read_answer_body(std::string_view json)
{
    simdjson::dom::parser parser;
    element document;
    if (parser.parse(json.data(), json.size()).get(document) !=
            simdjson::SUCCESS ||
        !document.is_object())
        return std::nullopt;
    answer_body body;
    body.request = read_id(document);
    body.is_error = document["error"].error() == simdjson::SUCCESS;
    body.usage = read_usage(document);
    read_choices(document, body);
    return body;
}

} // namespace jujubestand::streams
