#ifndef JUJUBESTAND_ENTRY_PROBLEM_HPP
#define JUJUBESTAND_ENTRY_PROBLEM_HPP

#include <cstdint>
#include <jujubestand/core/ids.hpp>
#include <jujubestand/core/reason.hpp>
#include <jujubestand/core/verdict.hpp>
#include <jujubestand/http/message.hpp>
#include <string>
#include <vector>

namespace jujubestand::entry
{

/// \brief Headers by which every answer tells its request and its verdict.
inline constexpr char const* request_header = "X-Request-Id";
inline constexpr char const* verdict_header = "X-Jujubestand-Verdict";
inline constexpr char const* reason_header = "X-Jujubestand-Reason";

/// \brief A refusal or failure as its caller is told of it.
struct problem
{
    request_id request;
    verdict outcome = verdict::not_run;
    reason why;
    /// When to come back; 0 for no advice.
    std::uint64_t retry_after_us = 0;
};

/// \brief A whole HTTP answer.
struct problem_answer
{
    int status = 500;
    std::vector<http::field> headers;
    std::string body;
};

/// \brief HTTP status of a refusal or failure.
[[nodiscard]] int status_of(problem const& told) noexcept;

/// \brief The `application/problem+json` body (RFC 9457).
[[nodiscard]] std::string to_json(problem const& told);

/// \brief The whole answer; `Retry-After` only where nothing ran.
[[nodiscard]] problem_answer to_answer(problem const& told);

/// \brief The end of an event stream that is not whole.
[[nodiscard]] std::string to_stream_event(problem const& told);

} // namespace jujubestand::entry

#endif
