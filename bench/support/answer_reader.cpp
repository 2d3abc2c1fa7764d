#include <bench/support/answer_reader.hpp>

#include <charconv>
#include <nlohmann/json.hpp>

namespace jujubestand::bench
{

namespace
{

constexpr std::string_view data_mark = "data:";

/// The text after `key` up to the next quote; answers hold no escapes.
std::string_view quoted_after(std::string_view event, std::string_view key)
{
    auto const place = event.find(key);
    if (place == std::string_view::npos)
        return {};
    event.remove_prefix(place + key.size());
    return event.substr(0, event.find('"'));
}

std::uint64_t number_after(std::string_view event, std::string_view key)
{
    std::uint64_t value = 0;
    auto const place = event.find(key);
    if (place == std::string_view::npos)
        return value;
    event.remove_prefix(place + key.size());
    std::from_chars(event.data(), event.data() + event.size(), value);
    return value;
}

void take_usage(answer_reader& reader, std::string_view event)
{
    if (event.find(R"("usage":{)") == std::string_view::npos)
        return;
    reader.prompt_tokens = number_after(event, R"("prompt_tokens":)");
    reader.cached_tokens = number_after(event, R"("cached_tokens":)");
}

void take_name(answer_reader& reader, std::string_view name)
{
    if (reader.name.empty())
        reader.name = name;
    else if (reader.name != name)
        ++reader.foreign_pieces;
}

std::size_t take_event(answer_reader& reader, std::string_view event)
{
    if (event == "[DONE]")
    {
        reader.is_done = true;
        return 0;
    }
    auto const name = quoted_after(event, R"("id":")");
    if (name.empty())
    {
        reader.has_error = true;
        return 0;
    }
    take_name(reader, name);
    take_usage(reader, event);
    auto text = quoted_after(event, R"("text":")");
    if (text.empty())
        text = quoted_after(event, R"("content":")");
    reader.text += text;
    reader.tokens += text.empty() ? 0 : 1;
    return text.empty() ? 0 : 1;
}

std::size_t take_line(answer_reader& reader, std::string_view line)
{
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    if (line.starts_with("event: error"))
        reader.has_error = true;
    if (!line.starts_with(data_mark))
        return 0;
    line.remove_prefix(data_mark.size());
    if (line.starts_with(' '))
        line.remove_prefix(1);
    return take_event(reader, line);
}

} // namespace

std::size_t feed(answer_reader& reader, std::string_view bytes)
{
    reader.pending += bytes;
    if (!reader.is_stream)
        return 0;
    std::size_t more = 0;
    std::size_t begin = 0;
    std::string_view const all = reader.pending;
    for (auto stop = all.find('\n'); stop != std::string_view::npos;
         stop = all.find('\n', begin))
    {
        more += take_line(reader, all.substr(begin, stop - begin));
        begin = stop + 1;
    }
    reader.pending.erase(0, begin);
    return more;
}

void end(answer_reader& reader)
{
    if (reader.is_stream)
        return;
    auto const body = nlohmann::json::parse(reader.pending, nullptr, false);
    if (!body.is_object() || !body.contains("choices") ||
        body["choices"].empty())
    {
        reader.has_error = true;
        return;
    }
    auto const& choice = body["choices"][0];
    reader.name = body.value("id", "");
    reader.text = choice.contains("message")
                      ? choice["message"].value("content", "")
                      : choice.value("text", "");
    take_usage(reader, reader.pending);
    reader.is_done = true;
}

} // namespace jujubestand::bench
