#include <jujubestand/timeline/json.hpp>

#include <charconv>
#include <ctime>
#include <iomanip>
#include <sstream>

namespace jujubestand::timeline
{

namespace
{

using json = nlohmann::ordered_json;

constexpr std::int64_t second_ms = 1'000;

std::string text_in(json const& object, char const* key)
{
    auto const found = object.find(key);
    bool const is_text = found != object.end() && found->is_string();
    return is_text ? found->get<std::string>() : std::string();
}

template <class Number>
Number number_in(json const& object, char const* key)
{
    auto const found = object.find(key);
    bool const is_number = found != object.end() && found->is_number();
    return is_number ? found->get<Number>() : Number{};
}

std::optional<stamped_event> event_from_json(json const& shown)
{
    if (!shown.is_object())
        return std::nullopt;
    auto const number = from_name(event_names(), text_in(shown, "event"));
    if (!number)
        return std::nullopt;
    stamped_event event;
    event.stamp.wall_ms = number_in<std::int64_t>(shown, "wall_ms");
    event.stamp.counter = number_in<std::uint32_t>(shown, "counter");
    event.sequence = number_in<std::uint64_t>(shown, "sequence");
    event.instance = instance_id(text_in(shown, "instance"));
    event.what.number = *number;
    event.what.request =
        request_id_from_text(text_in(shown, "request")).value_or(request_id{});
    event.what.team = team_id(text_in(shown, "team"));
    auto const fields = shown.find("fields");
    if (fields == shown.end() || !fields->is_object())
        return event;
    for (auto const& [key, value] : fields->items())
    {
        if (value.is_string())
            event.what.fields.push_back({key, value.get<std::string>()});
    }
    return event;
}

bool refuse(reason& why, std::string text, std::string_view place)
{
    why = reason{reason_code::malformed_request, std::move(text),
                 std::string(place)};
    return false;
}

template <class Number>
bool read_number(std::string_view text, Number& into)
{
    auto const* end = text.data() + text.size();
    auto const read = std::from_chars(text.data(), end, into);
    return read.ec == std::errc{} && read.ptr == end;
}

bool take(page_query& into, std::string_view key, std::string_view value,
          reason& why)
{
    if (key == "from")
        return read_number(value, into.sequence) ||
               refuse(why, "expected a number", key);
    if (key == "limit")
        return (read_number(value, into.limit) && into.limit <= page_limit) ||
               refuse(why, "expected a number up to 10000", key);
    if (key == "team")
    {
        into.filter.team = team_id(std::string(value));
        return true;
    }
    if (key == "request")
    {
        into.filter.request = request_id_from_text(value);
        return into.filter.request ||
               refuse(why, "expected 32 hexadecimal digits", key);
    }
    if (key == "event")
    {
        into.filter.number = from_name(event_names(), value);
        return into.filter.number || refuse(why, "no such event", key);
    }
    return refuse(why, "no such parameter", key);
}

} // namespace

json to_json(stamped_event const& event)
{
    json shown{
        {"wall_ms", event.stamp.wall_ms},
        {"counter", event.stamp.counter},
        {"sequence", event.sequence},
        {"instance", event.instance.text},
        {"number", static_cast<unsigned>(event.what.number)},
        {"event", to_name(event.what.number)},
    };
    if (event.what.request != request_id{})
        shown["request"] = to_text(event.what.request);
    if (!event.what.team.empty())
        shown["team"] = event.what.team.text;
    json fields = json::object();
    for (auto const& field : event.what.fields)
        fields[field.key] = field.value;
    shown["fields"] = std::move(fields);
    return shown;
}

std::string to_json(page const& shown)
{
    json events = json::array();
    for (auto const& event : shown.events)
        events.push_back(to_json(event));
    json const body{{"next", shown.next_sequence},
                    {"lost", shown.lost},
                    {"events", std::move(events)}};
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<page> page_from_json(std::string_view body, reason& why)
{
    auto const parsed = json::parse(body, nullptr, false);
    auto const events =
        parsed.is_object() ? parsed.find("events") : parsed.end();
    if (!parsed.is_object() || events == parsed.end() || !events->is_array())
    {
        refuse(why, "expected a page of the time line", {});
        return std::nullopt;
    }
    page result;
    result.next_sequence = number_in<std::uint64_t>(parsed, "next");
    result.lost = number_in<std::uint64_t>(parsed, "lost");
    for (auto const& row : *events)
    {
        // An event that this version does not know is passed over.
        if (auto event = event_from_json(row))
            result.events.push_back(std::move(*event));
    }
    return result;
}

std::optional<page_query> parse_query(std::string_view text, reason& why)
{
    page_query result;
    while (!text.empty())
    {
        auto const end = text.find('&');
        std::string_view const pair = text.substr(0, end);
        text = end == std::string_view::npos ? std::string_view()
                                             : text.substr(end + 1);
        auto const equals = pair.find('=');
        if (equals == std::string_view::npos)
        {
            refuse(why, "expected NAME=VALUE", pair);
            return std::nullopt;
        }
        if (!take(result, pair.substr(0, equals), pair.substr(equals + 1), why))
            return std::nullopt;
    }
    return result;
}

std::string to_line(stamped_event const& event)
{
    auto const seconds =
        static_cast<std::time_t>(event.stamp.wall_ms / second_ms);
    std::tm broken{};
    gmtime_r(&seconds, &broken);
    std::ostringstream line;
    line << std::put_time(&broken, "%H:%M:%S") << '.' << std::setfill('0')
         << std::setw(3) << event.stamp.wall_ms % second_ms << '+'
         << event.stamp.counter << ' ' << event.instance.text << ' '
         << jujubestand::to_line(event.what);
    return line.str();
}

} // namespace jujubestand::timeline
