#include <jujubestand/admin/endpoints.hpp>

#include <jujubestand/core/digest.hpp>
#include <jujubestand/timeline/json.hpp>
#include <prometheus/text_serializer.h>

namespace jujubestand::admin
{

namespace
{

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_forbidden = 403;
constexpr int status_unavailable = 503;
constexpr std::string_view scheme = "Bearer ";

answer text_answer(int status, std::string body)
{
    return answer{status, "text/plain; charset=utf-8", std::move(body)};
}

bool is_loopback(std::string const& host)
{
    return host.starts_with("127.") || host == "::1";
}

answer answer_metrics(process::context const& shared)
{
    prometheus::TextSerializer const serializer;
    return answer{status_ok, "text/plain; version=0.0.4; charset=utf-8",
                  serializer.Serialize(shared.metrics.Collect())};
}

answer answer_timeline(process::context const& shared, std::string const& query)
{
    reason why;
    auto const wanted = timeline::parse_query(query, why);
    if (!wanted)
        return text_answer(status_bad_request, to_text(why) + '\n');
    auto const page = timeline::read(shared.events, wanted->sequence,
                                     wanted->filter, wanted->limit);
    return answer{status_ok, "application/json", timeline::to_json(page)};
}

} // namespace

bool is_operator(http::request const& asked, std::string const& key_digest)
{
    if (key_digest.empty())
        return is_loopback(asked.remote_host);
    auto const value = http::find_header(asked.headers, "Authorization");
    return value && value->starts_with(scheme) &&
           sha256_hex(value->substr(scheme.size())) == key_digest;
}

std::optional<answer> answer_common(process::context& shared,
                                    http::request const& asked,
                                    readiness const& state)
{
    if (asked.path == "/healthz")
        return text_answer(status_ok, "ok\n");
    if (asked.path == "/readyz" && state.is_ready)
        return text_answer(status_ok, "ready\n");
    if (asked.path == "/readyz")
        return text_answer(status_unavailable, state.why + '\n');
    bool const is_for_operators =
        asked.path == "/metrics" || asked.path == "/timeline";
    if (!is_for_operators)
        return std::nullopt;
    if (!is_operator(asked, shared.settings.operator_key_digest))
        return text_answer(status_forbidden, "for operators only\n");
    return asked.path == "/metrics" ? answer_metrics(shared)
                                    : answer_timeline(shared, asked.query);
}

} // namespace jujubestand::admin
