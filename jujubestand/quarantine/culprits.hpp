#ifndef JUJUBESTAND_QUARANTINE_CULPRITS_HPP
#define JUJUBESTAND_QUARANTINE_CULPRITS_HPP

#include <chrono>
#include <cstddef>
#include <jujubestand/quarantine/strike.hpp>
#include <set>
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
    /// The same for one that engines have answered of late.
    std::size_t answered_crashes_min = 8;
    /// The same for one that cannot be told from another.
    std::size_t ambiguous_crashes_min = 6;
    /// How long an answer counts for a fingerprint.
    std::chrono::milliseconds answer_lifetime{60'000};
    /// Age from which a crash counts: the evidence of other processes for it
    /// has arrived by then.
    std::chrono::milliseconds settling_time{250};
};

/// \brief The fingerprints that explain the crashes best.
///
/// At each crash the requests that the engine had begun to answer, without
/// output, are suspects; if there is none, all without output are. A
/// fingerprint that engines answer loses its strikes, so a culprit is what
/// stays suspect at crash after crash.
/// \param known culprits so far; crashes with one of them are explained
/// \returns the culprits that are new
[[nodiscard]] std::vector<digest> find_culprits(strike_table const& table,
                                                std::set<digest> const& known,
                                                culprit_options const& options,
                                                wall_time now);

} // namespace jujubestand::quarantine

#endif
