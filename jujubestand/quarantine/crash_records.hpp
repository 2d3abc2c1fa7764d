#ifndef JUJUBESTAND_QUARANTINE_CRASH_RECORDS_HPP
#define JUJUBESTAND_QUARANTINE_CRASH_RECORDS_HPP

#include <chrono>
#include <jujubestand/quarantine/evidence.hpp>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \brief Crashes as the store keeps them, for processes that start later.
///
/// Parts of prompts are left out: what they share with sound requests is judged
/// by answers, of which a process that has just started knows none.
namespace jujubestand::quarantine
{

/// \brief Key of the record of a crash: of one length, however long the name of
/// its upstream is.
[[nodiscard]] std::string record_key_of(crash_key const& crash);

/// \brief Whether a key is that of the record of a crash.
[[nodiscard]] bool is_crash_record(std::string_view key) noexcept;

/// \brief What a process knows of a crash: the strikes of whole requests, and
/// clearances of those that were answered since.
[[nodiscard]] notice notice_of_crash(evidence const& state,
                                     crash_key const& crash);

/// \brief Whether the record of a crash lacks nothing that a process knows.
/// Clearances matter only for requests that have a strike in the record.
[[nodiscard]] bool covers(notice const& stored, notice const& known);

/// \brief The crashes that news are of.
[[nodiscard]] std::vector<crash_key> crashes_of(evidence const& state,
                                                notice const& news);

/// \brief The record to remove: the oldest one, if it counts no more or if
/// there are too many; empty if none. \param stored by their keys
[[nodiscard]] std::optional<std::string>
obsolete_record(std::map<std::string, notice> const& stored,
                std::chrono::milliseconds lifetime, wall_time now);

} // namespace jujubestand::quarantine

#endif
