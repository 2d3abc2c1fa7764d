#include <jujubestand/gateway/answers.hpp>

#include <platform/calls.hpp>

namespace jujubestand::gateway
{

namespace
{

std::string body_of(problem const& what)
{
    std::string body = R"({"reason":")";
    body += to_name(what.why.code);
    body += R"(","verdict":")";
    body += to_name(verdict_names, what.outcome);
    body += "\"}";
    return body;
}

} // namespace

void refuse_request(gateway_state& self, http1::exchange_id exchange,
                    std::string const& request_id, problem const& what)
{
    auto fields = platform::refusal_fields(request_id, what.retry_after);
    fields.push_back({"Content-Type", "application/problem+json"});
    self.log->write(what.outcome == verdict::not_run
                        ? event_number::request_refused
                        : event_number::request_failed,
                    request_id,
                    {{"status", what.status},
                     {"verdict", to_name(verdict_names, what.outcome)},
                     {"reason", to_name(what.why.code)},
                     {"why", what.why.text},
                     {"retry_after_ms",
                      what.retry_after ? what.retry_after->count() : -1}});
    self.callers->respond(exchange, what.status, fields, body_of(what));
}

int status_of(verdict outcome, reason_code why) noexcept
{
    if (outcome == verdict::not_run)
        return status_unavailable;
    return why == reason_code::upstream_timeout ||
                   why == reason_code::deadline_passed
               ? status_timeout
               : status_bad_gateway;
}

} // namespace jujubestand::gateway
