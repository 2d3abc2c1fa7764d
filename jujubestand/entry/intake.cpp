#include <jujubestand/entry/intake.hpp>

#include <algorithm>
#include <array>
#include <jujubestand/claims/key.hpp>
#include <jujubestand/core/digest.hpp>
#include <jujubestand/quarantine/call_keys.hpp>

namespace jujubestand::entry
{

namespace
{

constexpr std::array<std::string_view, 2> completion_paths{
    "/v1/chat/completions", "/v1/completions"};
constexpr std::size_t key_limit_bytes = 255;

// Fields that are the entry's to set, or that would carry a caller's secret
// to an upstream.
constexpr std::array<std::string_view, 9> withheld_fields{
    "x-upstream",      "host",         "content-length",
    "authorization",   "x-request-id", "x-priority",
    "x-keep-on-close", "expect",       "last-event-id"};

bool refuse(reason& why, reason_code code, std::string text,
            std::string place = {})
{
    why = reason{code, std::move(text), std::move(place)};
    return false;
}

bool is_completion_path(std::string_view path)
{
    return std::find(completion_paths.begin(), completion_paths.end(), path) !=
           completion_paths.end();
}

bool check_framing(http::request const& asked, intake_options const& options,
                   reason& why)
{
    if (http::count_headers(asked.headers, "Content-Length") > 1)
        return refuse(why, reason_code::conflicting_length,
                      "more than one Content-Length");
    if (asked.body.size() > options.body_limit_bytes)
        return refuse(why, reason_code::body_too_large,
                      "the body is over the limit");
    return true;
}

std::vector<link::header> passed_on(std::vector<http::field> const& headers)
{
    std::vector<link::header> result;
    for (auto const& header : headers)
    {
        bool const is_withheld =
            http::is_hop_by_hop(header.name) ||
            std::any_of(withheld_fields.begin(), withheld_fields.end(),
                        [&header](std::string_view name)
                        {
                            return http::same_name(name, header.name);
                        });
        if (!is_withheld)
            result.push_back(link::header{header.name, header.value});
    }
    return result;
}

config::route const* find_route(config::store const& tables,
                                link::call const& message)
{
    std::string_view const path =
        std::string_view(message.path).substr(0, message.path.find('?'));
    config::route_query const query{message.team.text, message.model.text, path,
                                    message.is_completion};
    return config::match(tables.index, config::in_force(tables), query);
}

std::optional<completion> read_completion(completion_reader& reader,
                                          http::request const& asked,
                                          accepted& into, reason& why)
{
    into.message.is_completion = true;
    if (asked.method != "POST")
    {
        refuse(why, reason_code::method_not_allowed, "POST is needed");
        return std::nullopt;
    }
    auto body = reader.read(asked.body, why);
    if (!body)
        return std::nullopt;
    into.message.model = body->model;
    into.message.is_stream = body->is_stream;
    return body;
}

// After the route is found: the pool says which weights a cache entry must
// be of.
void hash_prompt(completion const& body, accepted& into)
{
    prefix::chain_seed const seed{into.message.team.text, body.model.text,
                                  into.message.adapter,
                                  into.pool.weights_version};
    into.prompt = prefix::make_chain(seed, body.segments, {});
    into.message.prompt_tokens = into.prompt.prompt_tokens;
    for (auto const& segment : body.segments)
        into.message.parts.push_back(
            quarantine::hash_of_part(segment.role, segment.text));
    into.message.parts = quarantine::limit_parts(into.message.parts);
    for (auto const& level : into.prompt.levels)
    {
        into.message.chain_high.push_back(level.key.high);
        into.message.chain_low.push_back(level.key.low);
        into.message.chain_tokens.push_back(level.tokens);
    }
}

void read_pin(intake_options const& options, http::request const& asked,
              accepted& into)
{
    auto const named = http::find_header(asked.headers, "X-Upstream");
    if (options.has_pins && named)
        into.pinned = upstream_id(std::string(*named));
}

bool read_key(http::request const& asked, accepted& into, reason& why)
{
    if (http::count_headers(asked.headers, "Idempotency-Key") > 1)
        return refuse(why, reason_code::malformed_key,
                      "more than one Idempotency-Key");
    auto const key = http::find_header(asked.headers, "Idempotency-Key");
    if (!key && !into.route.is_idempotent)
        return refuse(why, reason_code::missing_key,
                      "this route needs an Idempotency-Key");
    if (!key)
        return true;
    if (key->empty() || key->size() > key_limit_bytes)
        return refuse(why, reason_code::malformed_key,
                      "an Idempotency-Key has 1 to 255 characters");
    if (!into.route.is_idempotent && !claims::key_time(*key))
        return refuse(why, reason_code::malformed_key,
                      "this route needs a UUID of version 7 (RFC 9562)");
    into.message.idempotency_key = std::string(*key);
    return true;
}

bool apply_route(config::store const& tables, accepted& into, reason& why)
{
    auto const& current = config::in_force(tables);
    if (current.version == log_offset{})
        return refuse(why, reason_code::tables_missing,
                      "this entry has no tables yet");
    auto const* route = find_route(tables, into.message);
    if (route == nullptr)
        return refuse(why, reason_code::unknown_route,
                      "no route takes this request");
    auto const pool = current.pools.find(route->pool);
    if (pool == current.pools.end())
        return refuse(why, reason_code::unknown_route,
                      "the route's pool is missing", route->pool.text);
    into.route = *route;
    into.pool = pool->second;
    into.message.route = route->id;
    into.message.pool = route->pool;
    into.message.is_idempotent = route->is_idempotent;
    into.message.priority = route->priority;
    into.message.tables = current.version;
    return true;
}

bool fits_route(accepted const& request, std::size_t body_bytes, reason& why)
{
    if (body_bytes <= request.route.body_limit_bytes)
        return true;
    return refuse(why, reason_code::body_too_large,
                  "the body is over the route's limit");
}

} // namespace

bool reroute(config::store const& tables, accepted& request, reason& why)
{
    if (!apply_route(tables, request, why))
        return false;
    if (!request.route.is_idempotent && request.message.idempotency_key.empty())
        return refuse(why, reason_code::missing_key,
                      "this route now needs an Idempotency-Key");
    return fits_route(request, request.message.body_bytes, why);
}

std::optional<accepted> take_in(intake_options const& options,
                                config::store const& tables,
                                completion_reader& reader,
                                http::request const& asked,
                                request_id const& id, reason& why)
{
    accepted result;
    result.message.request = id;
    if (!check_framing(asked, options, why))
        return std::nullopt;
    auto const team = authenticate(options.teams, asked.headers, why);
    if (!team)
        return std::nullopt;
    result.message.team = *team;
    result.message.method = asked.method;
    result.message.path = asked.path;
    std::optional<completion> body;
    if (is_completion_path(asked.path))
    {
        body = read_completion(reader, asked, result, why);
        if (!body)
            return std::nullopt;
    }
    if (!apply_route(tables, result, why) || !read_key(asked, result, why))
        return std::nullopt;
    if (body)
        hash_prompt(*body, result);
    read_pin(options, asked, result);
    if (!fits_route(result, asked.body.size(), why))
        return std::nullopt;
    if (!asked.query.empty())
        result.message.path += '?' + asked.query;
    result.message.headers = passed_on(asked.headers);
    result.message.body_bytes = asked.body.size();
    result.message.body_digest = sha256_hex(asked.body);
    return result;
}

} // namespace jujubestand::entry
