#include <jujubestand/entry/completion.hpp>

#include <array>
#include <bitset>
#include <simdjson.h>

namespace jujubestand::entry
{

namespace
{

namespace dom = simdjson::dom;

constexpr std::array<std::string_view, 3> reserved_fields{
    "cache_salt", "priority", "request_id"};
constexpr std::array<std::string_view, 6> read_fields{
    "model",  "stream",     "messages",
    "prompt", "max_tokens", "max_completion_tokens"};

bool refuse(reason& why, reason_code code, std::string text,
            std::string_view place = {})
{
    why = reason{code, std::move(text), std::string(place)};
    return false;
}

bool add_text(completion& into, std::string_view role, dom::element value)
{
    std::string_view text;
    if (value.get(text) != simdjson::SUCCESS)
        return false;
    into.segments.push_back(prefix::segment{role, text});
    into.prompt_bytes += text.size();
    return true;
}

// Content is a text, null (a tool call), or parts of which we hash the texts.
bool add_content(completion& into, std::string_view role, dom::element content)
{
    if (content.is_null() || add_text(into, role, content))
        return true;
    dom::array parts;
    if (content.get(parts) != simdjson::SUCCESS)
        return false;
    for (dom::element const part : parts)
    {
        dom::element text;
        if (part["text"].get(text) == simdjson::SUCCESS &&
            !add_text(into, role, text))
            return false;
    }
    return true;
}

bool add_messages(completion& into, dom::element value, reason& why)
{
    dom::array messages;
    if (value.get(messages) != simdjson::SUCCESS)
        return refuse(why, reason_code::malformed_request, "expected an array",
                      "messages");
    for (dom::element const message : messages)
    {
        std::string_view role;
        dom::element content;
        bool const has_role = message["role"].get(role) == simdjson::SUCCESS;
        bool const has_content =
            message["content"].get(content) != simdjson::SUCCESS ||
            add_content(into, role, content);
        if (!has_role || !has_content)
            return refuse(why, reason_code::malformed_request,
                          "expected objects with role and content", "messages");
    }
    return true;
}

bool read_number(std::uint64_t& into, dom::element value, reason& why,
                 std::string_view key)
{
    if (value.is_null() || value.get(into) == simdjson::SUCCESS)
        return true;
    return refuse(why, reason_code::malformed_request,
                  "expected a whole number", key);
}

bool read_field(completion& into, std::string_view key, dom::element value,
                reason& why)
{
    if (key == "model")
    {
        std::string_view text;
        if (value.get(text) != simdjson::SUCCESS || text.empty())
            return refuse(why, reason_code::malformed_request,
                          "expected a text", key);
        into.model = model_id(std::string(text));
        return true;
    }
    if (key == "stream")
    {
        if (value.is_null() || value.get(into.is_stream) == simdjson::SUCCESS)
            return true;
        return refuse(why, reason_code::malformed_request,
                      "expected true or false", key);
    }
    if (key == "messages")
        return add_messages(into, value, why);
    if (key == "prompt")
        return add_text(into, {}, value) ||
               refuse(why, reason_code::malformed_request, "expected a text",
                      key);
    return read_number(into.max_tokens, value, why, key);
}

bool read_object(completion& into, dom::object object, reason& why)
{
    std::bitset<read_fields.size()> seen;
    for (dom::key_value_pair const row : object)
    {
        for (auto const& name : reserved_fields)
        {
            if (row.key == name)
                return refuse(why, reason_code::reserved_field,
                              "callers may not set this field", name);
        }
        for (std::size_t at = 0; at < read_fields.size(); ++at)
        {
            if (row.key != read_fields.at(at))
                continue;
            if (seen.test(at))
                return refuse(why, reason_code::malformed_request,
                              "the field stands twice", row.key);
            seen.set(at);
            if (!read_field(into, row.key, row.value, why))
                return false;
        }
    }
    if (into.model.empty())
        return refuse(why, reason_code::malformed_request, "model is missing");
    if (into.segments.empty())
        return refuse(why, reason_code::malformed_request,
                      "messages or prompt is missing");
    return true;
}

} // namespace

struct completion_reader::state
{
    dom::parser parser;
    std::size_t depth_limit = 0;
};

completion_reader::completion_reader(std::size_t depth_limit)
    : self(std::make_unique<state>())
{
    this->self->depth_limit = depth_limit;
}

completion_reader::~completion_reader() = default;
completion_reader::completion_reader(completion_reader&&) noexcept = default;
completion_reader&
completion_reader::operator=(completion_reader&&) noexcept = default;

std::optional<completion> completion_reader::read(std::string const& body,
                                                  reason& why)
{
    auto& parser = this->self->parser;
    auto const grown = parser.allocate(std::max(body.size(), parser.capacity()),
                                       this->self->depth_limit);
    dom::element document;
    auto const parsed =
        grown != simdjson::SUCCESS ? grown : parser.parse(body).get(document);
    dom::object object;
    if (parsed != simdjson::SUCCESS)
    {
        refuse(why, reason_code::malformed_json,
               simdjson::error_message(parsed));
        return std::nullopt;
    }
    if (document.get(object) != simdjson::SUCCESS)
    {
        refuse(why, reason_code::malformed_json, "expected an object");
        return std::nullopt;
    }
    completion result;
    if (!read_object(result, object, why))
        return std::nullopt;
    return result;
}

} // namespace jujubestand::entry
