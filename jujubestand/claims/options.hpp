#ifndef JUJUBESTAND_CLAIMS_OPTIONS_HPP
#define JUJUBESTAND_CLAIMS_OPTIONS_HPP

#include <chrono>
#include <cstddef>
#include <jujubestand/core/ids.hpp>
#include <jujubestand/core/reason.hpp>
#include <optional>

namespace jujubestand::claims
{

/// \brief The rules that keep a call to one run; all are on in production.
///
/// Tests switch one off to show that the model checker finds the fault.
struct claim_rules
{
    /// A claim is decided by reading the log up to it.
    bool decides_by_log_order = true;
    /// A void claim stays void after the earlier one is abandoned.
    bool void_is_final = true;
    /// A call that has begun is never abandoned.
    bool begun_is_kept = true;
    /// A call answered `not_run` is dropped before the answer.
    bool refused_is_dropped = true;
    /// Two records of one nonce are one claim.
    bool nonce_counts_once = true;
    /// After a gap nothing is decided until the window is read again.
    bool gap_clears_window = true;
};

/// \brief Identity, limits and times of a claimant.
struct claim_options
{
    incarnation_id claimant;
    /// Older keys cannot be decided.
    std::chrono::milliseconds accepted_age{std::chrono::minutes{30}};
    /// The most that two clocks differ.
    std::chrono::milliseconds clock_skew{std::chrono::seconds{5}};
    /// The log keeps each record at least so long.
    std::chrono::milliseconds retention{std::chrono::hours{1}};
    /// The longest that a call waits for its claim to be read back.
    std::chrono::milliseconds claim_wait{std::chrono::seconds{3}};
    /// The longest that a call waits for another claim's outcome.
    std::chrono::milliseconds outcome_wait{std::chrono::minutes{2}};
    /// The least time from one append to the next: what comes meanwhile
    /// shares the next one.
    std::chrono::milliseconds append_interval{25};
    /// Pause after an append that failed.
    std::chrono::milliseconds append_pause{100};
    /// Longer answers are recorded by status and digest.
    std::size_t answer_limit_bytes = 512;
    /// All answers kept; the oldest are dropped first.
    std::size_t answers_limit_bytes = 16U << 20U;
    std::size_t keys_limit = 150'000;
    std::size_t calls_limit = 2'048;
    std::size_t batch_limit_bytes = 64U << 10U;
    claim_rules rules;
};

/// \brief Checks that every key young enough to be accepted is wholly within
/// what the log still keeps.
/// \returns nothing if so, otherwise what is wrong
[[nodiscard]] std::optional<reason> check(claim_options const& options);

/// \brief How long a key's entry is needed after its claim's append.
[[nodiscard]] std::chrono::milliseconds
window_age(claim_options const& options) noexcept;

} // namespace jujubestand::claims

#endif
