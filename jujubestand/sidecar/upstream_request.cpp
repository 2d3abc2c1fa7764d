#include <jujubestand/sidecar/upstream_request.hpp>

#include <jujubestand/core/digest.hpp>

namespace jujubestand::sidecar
{

namespace
{

constexpr std::size_t salt_digits = 32;

std::string with_salt(std::string const& body, std::string const& salt)
{
    auto const brace = body.find('{');
    if (brace == std::string::npos)
        return body;
    // The entry has seen a model in it, so a field follows.
    return body.substr(0, brace + 1) + "\"cache_salt\":\"" + salt + "\"," +
           body.substr(brace + 1);
}

std::string salt_of(link::call const& message, std::string const& weights)
{
    // Lengths keep two pairs of names from running into one text.
    std::string const team = message.team.text;
    return sha256_hex(std::to_string(team.size()) + ':' + team + weights)
        .substr(0, salt_digits);
}

} // namespace

http::request upstream_request(link::call const& message,
                               std::string const& body,
                               std::string const& weights)
{
    http::request result;
    result.method = message.method;
    auto const mark = message.path.find('?');
    result.path = message.path.substr(0, mark);
    if (mark != std::string::npos)
        result.query = message.path.substr(mark + 1);
    for (auto const& header : message.headers)
        result.headers.push_back({header.name, header.value});
    result.headers.push_back({"X-Request-Id", to_text(message.request)});
    result.headers.push_back({"X-Priority", std::to_string(message.priority)});
    result.body = message.is_completion
                      ? with_salt(body, salt_of(message, weights))
                      : body;
    return result;
}

} // namespace jujubestand::sidecar
