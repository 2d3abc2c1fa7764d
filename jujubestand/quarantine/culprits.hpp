#ifndef JUJUBESTAND_QUARANTINE_CULPRITS_HPP
#define JUJUBESTAND_QUARANTINE_CULPRITS_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <jujubestand/quarantine/strike.hpp>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

/// \brief Finds what crashes engines among all that was in flight at crashes.
namespace jujubestand::quarantine
{

/// \brief Evidence that a fingerprint needs to count as a culprit.
struct culprit_options
{
    /// Crashes that no culprit explains yet.
    std::size_t crashes_min = 3;
    /// The same for a fingerprint that some crashes are already explained
    /// without.
    std::size_t further_crashes_min = 2;
    /// The same for one that engines have answered to the end of late.
    std::size_t answered_crashes_min = 8;
    /// From the last answer of such a one to its last crash.
    std::chrono::milliseconds unanswered_min{3'000};
    /// Engines that crash so close together count as one crash: a rack that
    /// fails takes many at once.
    std::chrono::milliseconds simultaneous_time{50};
    /// Crashes of a fingerprint that cannot be told from another.
    std::size_t ambiguous_crashes_min = 6;
    /// How much likelier it has to be that a part crashes engines than that any
    /// of the sound ones stood in the same crashes by chance.
    double odds_min = 1'000;
    /// Parts in use, if fewer are known.
    std::size_t parts_min = 64;
    /// Share of the crashes that a culprit causes, while other culprits cause
    /// the rest.
    double caused_share = 0.5;
    /// How long an answer counts for a fingerprint.
    std::chrono::milliseconds answer_lifetime{60'000};
    /// Age from which a crash counts: the evidence of other processes for it
    /// has arrived by then.
    std::chrono::milliseconds settling_time{250};
};

/// \brief An engine and the incarnation that crashed.
using crash_key = std::pair<upstream_id, incarnation_id>;

/// \brief The crash that a strike is of.
[[nodiscard]] inline crash_key crash_of(strike const& recorded)
{
    return {recorded.upstream, recorded.incarnation};
}

/// \brief The requests that were in flight at a crash, also those that were
/// cleared since.
struct crash_record
{
    std::int64_t at_ms = 0;
    std::map<digest, answer_stage> requests;
};

using crash_map = std::map<crash_key, crash_record>;

/// \brief Answers that fade: each counts less the longer ago it was.
struct answer_count
{
    double value = 0;
    wall_time last_at{};
};

/// \brief Counts one more answer.
void count_answer(answer_count& count, wall_time now);

/// \brief Answers by part.
using answer_map = std::unordered_map<digest, answer_count>;

/// \brief Evidence that `find_culprits` judges.
struct evidence_view
{
    strike_table const& strikes;
    crash_map const& crashes;
    answer_map const& answered;
    answer_count const& all_answers;
};

/// \brief Adds the crashes and requests that strikes name.
void add_crashes(crash_map& crashes, std::vector<strike> const& strikes,
                 culprit_options const& options);

/// \brief The fingerprints that explain the crashes best.
///
/// A culprit is a part that stays suspect, since engines never answer it to the
/// end, and that is in more crashes than a sound part would be by chance.
/// \param known culprits so far; crashes with one of them are explained
/// \returns the culprits that are new
[[nodiscard]] std::vector<digest> find_culprits(evidence_view const& evidence,
                                                std::set<digest> const& known,
                                                culprit_options const& options,
                                                wall_time now);

} // namespace jujubestand::quarantine

#endif
