#include <charconv>
#include <exception>
#include <jujubestand/ctl/rows.hpp>
#include <limits>

namespace jujubestand::ctl
{

namespace
{

template <class Id>
std::vector<std::string> texts_of(std::vector<Id> const& ids)
{
    std::vector<std::string> texts;
    texts.reserve(ids.size());
    for (auto const& id : ids)
        texts.push_back(id.text);
    return texts;
}

template <class Id>
std::vector<Id> ids_of(json const& texts)
{
    std::vector<Id> ids;
    for (auto const& text : texts)
        ids.emplace_back(text.get<std::string>());
    return ids;
}

json roles_of(config::pool const& row)
{
    json roles = json::object();
    for (auto const& wanted : row.roles)
        roles[wanted.upstream.text] = wanted.role;
    return roles;
}

std::vector<std::string> split(std::string const& text, char at)
{
    std::vector<std::string> parts;
    std::size_t begin = 0;
    while (begin < text.size())
    {
        auto const end = std::min(text.find(at, begin), text.size());
        parts.push_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    return parts;
}

bool refuse(reason& why, std::string text, std::string const& place)
{
    why = {reason_code::edit_invalid, std::move(text), place};
    return false;
}

// Conversions of JSON numbers wrap silently, so ranges are checked here.
template <class Number>
bool read_number(json const& shown, char const* key, Number& number,
                 reason& why)
{
    if (!shown.at(key).is_number_unsigned() ||
        shown.at(key).get<std::uint64_t>() > std::numeric_limits<Number>::max())
        return refuse(why, "expected a number in range", key);
    number = shown.at(key).get<Number>();
    return true;
}

// The defaults' JSON, with the given fields over it.
std::optional<json> merged(json defaults, json const& shown, reason& why)
{
    if (!shown.is_object() || !shown.contains("name"))
    {
        refuse(why, "expected a row with a name", {});
        return std::nullopt;
    }
    for (auto const& [key, value] : shown.items())
    {
        if (!defaults.contains(key))
        {
            refuse(why, "unknown field", key);
            return std::nullopt;
        }
        defaults[key] = value;
    }
    return defaults;
}

bool set_number(json& field, std::string const& key, std::string const& value,
                reason& why)
{
    auto const* end = value.data() + value.size();
    if (field.is_number_float())
    {
        double number = 0;
        auto const read = std::from_chars(value.data(), end, number);
        if (read.ec != std::errc{} || read.ptr != end)
            return refuse(why, "expected a number", key);
        field = number;
        return true;
    }
    std::uint64_t number = 0;
    auto const read = std::from_chars(value.data(), end, number);
    if (read.ec != std::errc{} || read.ptr != end)
        return refuse(why, "expected a whole number", key);
    field = number;
    return true;
}

bool set_roles(json& field, std::string const& key, std::string const& value,
               reason& why)
{
    field = json::object();
    for (auto const& part : split(value, ','))
    {
        auto const at = part.find(':');
        if (at == std::string::npos)
            return refuse(why, "expected UPSTREAM:ROLE", key);
        field[part.substr(0, at)] = part.substr(at + 1);
    }
    return true;
}

bool read_route(json const& shown, config::route& row, reason& why)
{
    row.id = route_id(shown.at("name").get<std::string>());
    row.pool = pool_id(shown.at("pool").get<std::string>());
    row.teams = ids_of<team_id>(shown.at("teams"));
    row.models = ids_of<model_id>(shown.at("models"));
    row.path_prefix = shown.at("path_prefix").get<std::string>();
    row.is_idempotent = shown.at("idempotent").get<bool>();
    return read_number(shown, "deadline_ms", row.deadline_ms, why) &&
           read_number(shown, "first_token_deadline_ms",
                       row.first_token_deadline_ms, why) &&
           read_number(shown, "priority", row.priority, why) &&
           read_number(shown, "team_queue_tokens", row.team_queue_tokens,
                       why) &&
           read_number(shown, "body_limit_bytes", row.body_limit_bytes, why);
}

bool read_pool(json const& shown, config::pool& row, reason& why)
{
    row.id = pool_id(shown.at("name").get<std::string>());
    row.upstreams = ids_of<upstream_id>(shown.at("upstreams"));
    row.tail_weight = shown.at("tail_weight").get<double>();
    row.has_fencing = shown.at("fencing").get<bool>();
    row.weights_version = shown.at("weights_version").get<std::string>();
    row.adapters = shown.at("adapters").get<std::vector<std::string>>();
    for (auto const& [upstream, role] : shown.at("roles").items())
        row.roles.push_back({upstream_id(upstream), role.get<std::string>()});
    return read_number(shown, "concurrent_weight_loads",
                       row.concurrent_weight_loads, why) &&
           read_number(shown, "claim_streams", row.claim_streams, why);
}

template <class Row, class Read>
std::optional<Row> from_json(json const& shown, Read read, reason& why)
{
    try
    {
        Row row;
        auto const whole = merged(to_json(Row{}), shown, why);
        if (!whole || !read(*whole, row, why))
            return std::nullopt;
        return row;
    }
    catch (std::exception const& error)
    {
        refuse(why, error.what(), {});
        return std::nullopt;
    }
}

} // namespace

json to_json(config::route const& row)
{
    return json{
        {"name", row.id.text},
        {"pool", row.pool.text},
        {"teams", texts_of(row.teams)},
        {"models", texts_of(row.models)},
        {"path_prefix", row.path_prefix},
        {"idempotent", row.is_idempotent},
        {"deadline_ms", row.deadline_ms},
        {"first_token_deadline_ms", row.first_token_deadline_ms},
        {"priority", row.priority},
        {"team_queue_tokens", row.team_queue_tokens},
        {"body_limit_bytes", row.body_limit_bytes},
    };
}

json to_json(config::pool const& row)
{
    return json{
        {"name", row.id.text},
        {"upstreams", texts_of(row.upstreams)},
        {"tail_weight", row.tail_weight},
        {"fencing", row.has_fencing},
        {"concurrent_weight_loads", row.concurrent_weight_loads},
        {"weights_version", row.weights_version},
        {"adapters", row.adapters},
        {"claim_streams", row.claim_streams},
        {"roles", roles_of(row)},
    };
}

std::optional<config::route> route_from_json(json const& shown, reason& why)
{
    return from_json<config::route>(shown, read_route, why);
}

std::optional<config::pool> pool_from_json(json const& shown, reason& why)
{
    return from_json<config::pool>(shown, read_pool, why);
}

bool set_field(json& row, std::string const& key, std::string const& value,
               reason& why)
{
    if (!row.contains(key) || key == "name")
        return refuse(why, "unknown field", key);
    auto& field = row[key];
    if (field.is_object())
        return set_roles(field, key, value, why);
    if (field.is_number())
        return set_number(field, key, value, why);
    if (field.is_array())
        field = split(value, ',');
    else if (field.is_string())
        field = value;
    else if (value == "true" || value == "false")
        field = value == "true";
    else
        return refuse(why, "expected true or false", key);
    return true;
}

} // namespace jujubestand::ctl
