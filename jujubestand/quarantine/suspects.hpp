#ifndef JUJUBESTAND_QUARANTINE_SUSPECTS_HPP
#define JUJUBESTAND_QUARANTINE_SUSPECTS_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <jujubestand/quarantine/explanations.hpp>
#include <map>
#include <set>

/// \brief What the evidence on crashes says of one fingerprint.
namespace jujubestand::quarantine
{

/// \brief A fingerprint and its crashes.
struct suspect
{
    digest fingerprint;
    std::uint8_t depth = 0;
    bool was_answered = false;
    /// Last time that engines answered it to the end; 0: never.
    std::int64_t answered_at_ms = 0;
    std::int64_t first_crash_ms = 0;
    std::int64_t last_crash_ms = 0;
    /// Crashes that no part explains. Engines that crashed together count once,
    /// but each counts for a whole request that most of them had.
    std::size_t crashes = 0;
    /// Those of them that nothing explains.
    std::size_t unexplained = 0;
    /// Those of them at which engines had begun to answer it, or nothing else.
    std::size_t begun = 0;
    std::set<crash_key> unexplained_keys;
    /// Logarithm of how unlikely it is that a sound part was in its crashes.
    double surprise = 0;
};

/// \brief A crash that no part explains.
struct crash_size
{
    std::int64_t at_ms = 0;
    /// Requests in flight, by how far the engine had come at least with them.
    std::array<std::size_t, answer_stage_names.size()> requests{};
};

/// \brief Evidence, and what is derived from it.
struct crash_analysis
{
    evidence_view const& evidence;
    culprit_options const& options;
    wall_time now;
    /// Parts in use.
    double parts = 0;
    std::map<crash_key, explanation> explained{};
    std::map<crash_key, crash_size> sizes{};
};

/// \brief Derives what judging needs from the evidence.
/// \param known culprits so far, which explain their crashes
[[nodiscard]] crash_analysis make_analysis(evidence_view const& evidence,
                                           std::set<digest> const& known,
                                           culprit_options const& options,
                                           wall_time now);

/// \brief Sums up the crashes of a fingerprint.
[[nodiscard]] suspect suspect_of(crash_analysis const& of,
                                 digest const& fingerprint,
                                 strike_entry const& entry);

} // namespace jujubestand::quarantine

#endif
