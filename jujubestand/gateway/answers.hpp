#ifndef JUJUBESTAND_GATEWAY_ANSWERS_HPP
#define JUJUBESTAND_GATEWAY_ANSWERS_HPP

#include <jujubestand/gateway/state.hpp>
#include <optional>

/// \brief Responses that the gateway generates itself instead of forwarding an
/// upstream's response.
namespace jujubestand::gateway
{

/// \brief A failure reported by the gateway itself.
struct problem
{
    int status = 503;
    reason why;
    verdict outcome = verdict::not_run;
    /// Value of the Retry-After header.
    std::optional<std::chrono::milliseconds> retry_after;
};

inline constexpr int status_unauthorized = 401;
inline constexpr int status_not_found = 404;
inline constexpr int status_too_many = 429;
inline constexpr int status_bad_gateway = 502;
inline constexpr int status_unavailable = 503;
inline constexpr int status_timeout = 504;

/// \brief Responds with a failure before a response has started, and logs it.
void refuse_request(gateway_state& state, http1::exchange_id exchange,
                    std::string const& request_id, problem const& error);

/// \brief Maps a verdict to an HTTP status: 503 only for calls that did not
/// run.
[[nodiscard]] int status_of(verdict outcome, reason_code why) noexcept;

/// \brief Whether a status is one of 200 to 299.
[[nodiscard]] bool is_success(int status) noexcept;

} // namespace jujubestand::gateway

#endif
