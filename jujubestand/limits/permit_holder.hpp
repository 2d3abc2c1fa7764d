#ifndef JUJUBESTAND_LIMITS_PERMIT_HOLDER_HPP
#define JUJUBESTAND_LIMITS_PERMIT_HOLDER_HPP

#include <cstdint>
#include <jujubestand/core/time.hpp>
#include <jujubestand/limits/permit_messages.hpp>
#include <jujubestand/limits/upstream_limit.hpp>
#include <optional>

/// \brief The permits that a gateway holds for calls to one upstream.
namespace jujubestand::limits
{

/// \brief Permits of this gateway for one upstream, and its requests for them.
struct permit_holder
{
    std::uint32_t permits = 0;
    mono_time valid_until{};
    std::uint64_t last_number = 0;
    /// When the request in flight was sent; empty: there is none.
    std::optional<mono_time> requested_at;
    mono_time next_request_at{};
    unsigned unanswered = 0;
    /// Last time at which a call could have gone to the upstream.
    std::optional<mono_time> needed_at;
    /// Share of the limit that this gateway can expect.
    double share = 1;
    /// Calls sent there shortly before the limit was known, and when it was.
    double sent_before = 0;
    mono_time named_at{};
};

/// \brief Starts without permits, when a limit becomes known.
/// \param sent_before calls that this gateway sent there shortly before
/// \param gateways that share the limit, as far as is known
[[nodiscard]] permit_holder begin_holding(permit_holder const& before,
                                          double sent_before,
                                          std::uint32_t gateways,
                                          mono_time now);

/// \brief Whether a call may be sent.
[[nodiscard]] bool has_permit(permit_holder const& holder, mono_time now);

/// \brief Uses a permit for a call that is sent.
void use_permit(permit_holder& holder);

/// \brief Whether to request permits now: calls could use one, and no request
/// is in flight or has to be awaited.
[[nodiscard]] bool is_request_due(permit_holder const& holder, mono_time now);

/// \brief The next request; the holder then awaits its answer.
[[nodiscard]] permit_request begin_request(permit_holder& holder,
                                           limit_record const& limit,
                                           std::uint32_t wanted, mono_time now);

/// \brief Applies an answer; one that is not awaited changes nothing.
/// \returns whether it brought permits
bool on_answer(permit_holder& holder, permit_answer const& answer,
               mono_time now);

/// \brief Counts a request as unanswered after some time.
void expire_request(permit_holder& holder, mono_time now);

/// \brief Time until a permit may be granted, as far as the issuer has said.
[[nodiscard]] microseconds time_to_permit(permit_holder const& holder,
                                          mono_time now);

/// \brief Whether the issuer has not answered the last requests.
[[nodiscard]] bool is_issuer_unreachable(permit_holder const& holder) noexcept;

/// \brief Calls a second that this gateway can expect to send.
/// \param rate of all gateways together
[[nodiscard]] double expected_rate(permit_holder const& holder, double rate);

} // namespace jujubestand::limits

#endif
