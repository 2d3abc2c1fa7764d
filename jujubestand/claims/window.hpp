#ifndef JUJUBESTAND_CLAIMS_WINDOW_HPP
#define JUJUBESTAND_CLAIMS_WINDOW_HPP

#include <cstddef>
#include <deque>
#include <jujubestand/claims/options.hpp>
#include <jujubestand/claims/record.hpp>
#include <jujubestand/core/ids.hpp>
#include <jujubestand/core/time.hpp>
#include <memory>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace jujubestand::claims
{

/// \brief State of one key: its first live claim.
struct key_entry
{
    claim_nonce holder;
    digest body;
    /// Null until the end of the holder's call is on record.
    std::unique_ptr<call_outcome> outcome;

    key_entry() = default;
    key_entry(claim_nonce nonce, digest body_digest)
        : holder(nonce)
        , body(body_digest)
    {
    }
    key_entry(key_entry const& other);
    key_entry& operator=(key_entry const& other);
    key_entry(key_entry&&) = default;
    key_entry& operator=(key_entry&&) = default;
    ~key_entry() = default;
};

/// \brief How the log's order settled one claim, at the claim's own offset.
struct claim_decision
{
    claim_nonce nonce;
    bool is_won = false;
};

/// \brief The fold of one claim stream: equal for all who read the same
/// records.
struct claim_window
{
    /// Offset of the next record to fold; 0: no start offset yet.
    log_offset next;
    std::unordered_map<digest, key_entry> keys;
    /// The log's own clock, as the newest record read shows it: keys expire
    /// by it, so that a wrong clock here cannot make them expire early.
    wall_time log_time{};
    /// Void and abandoned claims; none of them can be live again.
    std::unordered_set<claim_nonce> spent;

    struct aged_key
    {
        wall_time appended;
        digest key;
        claim_nonce nonce;
    };
    /// Claims and abandons in log order, for expiry.
    std::deque<aged_key> ages;
    struct kept_answer
    {
        digest key;
        std::size_t bytes;
    };
    std::deque<kept_answer> answers;
    std::size_t answers_bytes = 0;
    /// A record that could not be read makes all claims undecidable until
    /// then.
    wall_time unreadable_until{};
};

/// \brief Folds the record at offset `window.next`.
/// \returns the decisions on its claims, in order
std::vector<claim_decision> fold(claim_window& window,
                                 claim_options const& options,
                                 batch const& records, wall_time appended);

/// \brief Counts a record that cannot be read as one that may claim anything.
void fold_unreadable(claim_window& window, claim_options const& options,
                     wall_time appended);

/// \brief Drops what no acceptable key can need any more.
void expire(claim_window& window, claim_options const& options, wall_time now);

/// \brief Forgets everything; the next fold starts at `first`.
void restart(claim_window& window, log_offset first);

/// \brief Entry of a key, or null.
[[nodiscard]] key_entry const* find(claim_window const& window,
                                    digest const& key);

/// \brief Estimate of the bytes that a window holds.
[[nodiscard]] std::size_t memory_bytes(claim_window const& window) noexcept;

} // namespace jujubestand::claims

#endif
