#ifndef JUJUBESTAND_LIMITS_QUOTA_HOLDER_HPP
#define JUJUBESTAND_LIMITS_QUOTA_HOLDER_HPP

#include <cstdint>
#include <deque>
#include <jujubestand/core/time.hpp>
#include <jujubestand/limits/quota_messages.hpp>
#include <jujubestand/limits/quota_terms.hpp>
#include <optional>
#include <vector>

/// \brief The tokens of one team that a gateway holds for the team's calls.
namespace jujubestand::limits
{

/// \brief What becomes of a call of a team with a quota.
enum class quota_step : std::uint8_t
{
    accept,
    wait,        ///< for the issuer's answer
    refuse,      ///< over the quota
    unavailable, ///< the issuer doesn't answer
};

/// \brief Decision on one call.
struct quota_decision
{
    std::uint64_t call = 0;
    quota_step step = quota_step::wait;
    /// Of accepted calls: tokens that were charged.
    std::uint64_t charge = 0;
    /// Of refused calls: when it may be accepted.
    microseconds retry_in{0};
};

/// \brief A call that waits for the issuer's answer.
struct quota_waiter
{
    std::uint64_t call = 0;
    std::uint64_t charge = 0;
    mono_time since{};
};

/// \brief A charge that is to be returned.
struct quota_refund
{
    std::uint64_t charge = 0;
    mono_time charged_at{};
};

/// \brief Tokens of a gateway for one team, and its requests for them.
struct quota_holder
{
    std::uint64_t balance = 0;
    mono_time valid_until{};
    std::deque<quota_waiter> waiting;
    std::vector<quota_refund> refunds;

    std::uint64_t last_number = 0;
    /// When the request in flight was first sent; empty: there is none.
    std::optional<mono_time> requested_at;
    mono_time sent_at{};
    bool is_sent_again = false;
    quota_request last_request;

    /// Until then calls without tokens are refused.
    mono_time next_request_at{};
    /// The last request was not answered, or not decided on.
    bool is_unavailable = false;
    /// What the last answer said, and when it came.
    bool is_plentiful = true;
    std::optional<mono_time> answered_at;

    /// Cost of the calls of about the last second, also of refused ones.
    double recent_cost = 0;
    double recent_calls = 0;
    /// Cost of the largest recent call.
    double largest_cost = 0;
    mono_time called_at{};

    /// Tokens used without a grant, and the part not yet reported to the
    /// issuer.
    std::uint64_t credit_used = 0;
    std::uint64_t credit_unreported = 0;
    mono_time credit_used_at{};
};

/// \brief Decides on a call that has arrived; one that waits is kept.
/// \param charge tokens that it is charged
/// \param credit tokens that may be used per window without a grant
[[nodiscard]] quota_decision on_call(quota_holder& holder,
                                     quota_terms const& terms,
                                     std::uint64_t credit, std::uint64_t call,
                                     std::uint64_t charge, mono_time now);

/// \brief The request to send now, new or once more; empty: none.
[[nodiscard]] std::optional<quota_request>
due_request(quota_holder& holder, quota_terms const& terms, mono_time now);

/// \brief Applies an answer; one that is not awaited changes nothing.
/// \returns decisions on calls that waited for it
[[nodiscard]] std::vector<quota_decision>
on_answer(quota_holder& holder, quota_answer const& answer, mono_time now);

/// \brief Gives up a request without an answer, and calls that have waited for
/// too long. \returns decisions on calls that waited
[[nodiscard]] std::vector<quota_decision> expire(quota_holder& holder,
                                                 mono_time now);

/// \brief Returns the charge of a call that has not run, and will not.
void refund(quota_holder& holder, quota_refund const& returned);

/// \brief Removes a call that waits, if it does.
void remove_waiting(quota_holder& holder, std::uint64_t call);

/// \brief Whether nothing of the state is needed any more.
[[nodiscard]] bool is_unused(quota_holder const& holder,
                             quota_terms const& terms, mono_time now);

} // namespace jujubestand::limits

#endif
