#include <jujubestand/gateway/answers.hpp>

#include <platform/calls.hpp>

namespace jujubestand::gateway
{

namespace
{

std::string body_of(problem const& error)
{
    std::string body = R"({"reason":")";
    body += to_name(error.why.code);
    body += R"(","verdict":")";
    body += to_name(verdict_names, error.outcome);
    body += "\"}";
    return body;
}

} // namespace

void refuse_request(gateway_state& state, http1::exchange_id exchange,
                    std::string const& request_id, problem const& error)
{
    auto fields = platform::refusal_fields(request_id, error.retry_after);
    fields.push_back({"Content-Type", "application/problem+json"});
    state.log->write(error.outcome == verdict::not_run
                         ? event_number::request_refused
                         : event_number::request_failed,
                     request_id,
                     {{"status", error.status},
                      {"verdict", to_name(verdict_names, error.outcome)},
                      {"reason", to_name(error.why.code)},
                      {"why", error.why.text},
                      {"retry_after_ms",
                       error.retry_after ? error.retry_after->count() : -1}});
    state.caller_server->respond(exchange, error.status, fields,
                                 body_of(error));
}

int status_of(verdict outcome, reason_code why) noexcept
{
    if (outcome == verdict::not_run)
        return status_unavailable;
    return why == reason_code::upstream_timeout ||
                   why == reason_code::deadline_passed ||
                   why == reason_code::deadline_unreachable
               ? status_timeout
               : status_bad_gateway;
}

bool is_success(int status) noexcept
{
    constexpr int first = 200;
    constexpr int end = 300;
    return status >= first && status < end;
}

} // namespace jujubestand::gateway
