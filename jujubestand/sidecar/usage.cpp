#include <jujubestand/sidecar/usage.hpp>

#include <nlohmann/json.hpp>

namespace jujubestand::sidecar
{

namespace
{

constexpr std::string_view usage_key = "\"usage\"";

// The object from `text`'s first brace to its matching one; usage holds
// numbers only, so that braces within texts need no care.
std::string_view first_object(std::string_view text)
{
    auto const begin = text.find('{');
    int depth = 0;
    for (std::size_t at = begin; at < text.size(); ++at)
    {
        depth += text[at] == '{' ? 1 : 0;
        depth -= text[at] == '}' ? 1 : 0;
        if (depth == 0)
            return text.substr(begin, at - begin + 1);
    }
    return {};
}

std::uint32_t number_in(nlohmann::json const& object, char const* key)
{
    auto const found = object.find(key);
    bool const is_count = found != object.end() && found->is_number_unsigned();
    return is_count ? found->get<std::uint32_t>() : 0;
}

} // namespace

std::optional<usage> read_usage(std::string_view tail)
{
    auto const at = tail.rfind(usage_key);
    if (at == std::string_view::npos)
        return std::nullopt;
    auto const object = nlohmann::json::parse(
        first_object(tail.substr(at + usage_key.size())), nullptr, false);
    if (!object.is_object())
        return std::nullopt;
    usage result;
    result.prompt_tokens = number_in(object, "prompt_tokens");
    result.completion_tokens = number_in(object, "completion_tokens");
    auto const details = object.find("prompt_tokens_details");
    if (details != object.end() && details->is_object())
        result.cached_tokens = number_in(*details, "cached_tokens");
    return result;
}

} // namespace jujubestand::sidecar
