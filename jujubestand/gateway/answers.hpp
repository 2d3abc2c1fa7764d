#ifndef JUJUBESTAND_GATEWAY_ANSWERS_HPP
#define JUJUBESTAND_GATEWAY_ANSWERS_HPP

#include <jujubestand/gateway/state.hpp>
#include <optional>

/// \brief What callers are told when no upstream's answer is passed on.
namespace jujubestand::gateway
{

/// \brief A failure in our own name.
struct problem
{
    int status = 503;
    reason why;
    verdict outcome = verdict::not_run;
    /// When the caller should come back.
    std::optional<std::chrono::milliseconds> retry_after;
};

inline constexpr int status_unauthorized = 401;
inline constexpr int status_not_found = 404;
inline constexpr int status_bad_gateway = 502;
inline constexpr int status_unavailable = 503;
inline constexpr int status_timeout = 504;

/// \brief Answers a request that was not taken in.
void refuse_request(gateway_state& self, http1::exchange_id exchange,
                    std::string const& request_id, problem const& what);

/// \brief The status that tells a verdict truthfully: only what did not run
/// is refused with 503.
[[nodiscard]] int status_of(verdict outcome, reason_code why) noexcept;

} // namespace jujubestand::gateway

#endif
