#include <jujubestand/admin/endpoints.hpp>

#include <prometheus/text_serializer.h>

namespace jujubestand::admin
{

namespace
{

constexpr int status_ok = 200;
constexpr int status_unavailable = 503;

answer text_answer(int status, std::string body)
{
    return answer{status, "text/plain; charset=utf-8", std::move(body)};
}

} // namespace

std::optional<answer> answer_common(http::request const& asked,
                                    readiness const& state,
                                    prometheus::Registry const& metrics)
{
    if (asked.path == "/healthz")
        return text_answer(status_ok, "ok\n");
    if (asked.path == "/readyz" && state.is_ready)
        return text_answer(status_ok, "ready\n");
    if (asked.path == "/readyz")
        return text_answer(status_unavailable, state.why + '\n');
    if (asked.path == "/metrics")
    {
        prometheus::TextSerializer const serializer;
        return answer{status_ok, "text/plain; version=0.0.4; charset=utf-8",
                      serializer.Serialize(metrics.Collect())};
    }
    return std::nullopt;
}

} // namespace jujubestand::admin
