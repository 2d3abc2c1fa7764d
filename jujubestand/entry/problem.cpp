#include <jujubestand/entry/problem.hpp>

#include <array>
#include <nlohmann/json.hpp>

namespace jujubestand::entry
{

namespace
{

constexpr std::uint64_t second_us = 1'000'000;
constexpr int default_status = 503;
constexpr int unknown_fate_status = 502;

struct status_row
{
    reason_code code;
    int status;
};

// Reasons that are not listed are failures of ours: 503 while nothing ran,
// 502 once something may have.
constexpr auto status_table = std::to_array<status_row>({
    {reason_code::malformed_request, 400},
    {reason_code::body_too_large, 413},
    {reason_code::malformed_json, 400},
    {reason_code::conflicting_length, 400},
    {reason_code::reserved_field, 400},
    {reason_code::unknown_team, 401},
    {reason_code::unknown_route, 404},
    {reason_code::unknown_model, 404},
    {reason_code::missing_key, 400},
    {reason_code::malformed_key, 400},
    {reason_code::method_not_allowed, 405},
    {reason_code::queue_full, 429},
    {reason_code::team_limit, 429},
    {reason_code::deadline_passed, 504},
    {reason_code::deadline_unreachable, 503},
    {reason_code::upstream_timeout, 504},
    {reason_code::claim_lost, 409},
    {reason_code::claim_pending, 409},
    {reason_code::claim_unknown, 409},
    {reason_code::claim_body_differs, 422},
    {reason_code::key_too_old, 409},
    {reason_code::key_from_future, 400},
    {reason_code::already_ran, 409},
    {reason_code::quarantined, 422},
});

} // namespace

int status_of(problem const& told) noexcept
{
    for (auto const& row : status_table)
    {
        if (row.code == told.why.code)
            return row.status;
    }
    return told.outcome == verdict::not_run ? default_status
                                            : unknown_fate_status;
}

std::string to_json(problem const& told)
{
    nlohmann::ordered_json body;
    body["type"] = "about:blank";
    body["title"] = to_name(told.why.code);
    body["status"] = status_of(told);
    body["detail"] = told.why.text;
    if (!told.why.place.empty())
        body["place"] = told.why.place;
    body["verdict"] = to_name(verdict_names, told.outcome);
    body["reason"] = static_cast<unsigned>(told.why.code);
    body["request"] = to_text(told.request);
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

problem_answer to_answer(problem const& told)
{
    problem_answer result;
    result.status = status_of(told);
    result.body = to_json(told);
    result.headers = {
        {"Content-Type", "application/problem+json"},
        {request_header, to_text(told.request)},
        {verdict_header, std::string(to_name(verdict_names, told.outcome))},
        {reason_header, std::to_string(static_cast<unsigned>(told.why.code))},
    };
    if (told.outcome == verdict::not_run && told.retry_after_us > 0)
    {
        auto const seconds = (told.retry_after_us + second_us - 1) / second_us;
        result.headers.push_back({"Retry-After", std::to_string(seconds)});
    }
    return result;
}

std::string to_stream_event(problem const& told)
{
    return "event: error\ndata: " + to_json(told) + "\n\n";
}

} // namespace jujubestand::entry
