#ifndef JUJUBESTAND_GATEWAY_QUARANTINE_RECORDS_HPP
#define JUJUBESTAND_GATEWAY_QUARANTINE_RECORDS_HPP

#include <chrono>
#include <jujubestand/gateway/state.hpp>
#include <string>
#include <vector>

/// \brief Culprits and crashes in the store, so that gateways which start later
/// know them, also if all were restarted.
namespace jujubestand::gateway
{

/// Long-poll time of the topic; each gateway reads it by itself.
inline constexpr std::chrono::milliseconds quarantine_poll_timeout{15'000};

/// Pause between two reads of the topic: gateways tell each other what they
/// find, so the topic matters to those that start later.
inline constexpr std::chrono::milliseconds quarantine_read_pause{1'000};

/// \brief How long a gateway leaves the write of a record to others.
/// \param gateways IP addresses of all gateways, in any order
[[nodiscard]] std::chrono::milliseconds
turn_delay(std::vector<std::string> const& gateways, std::string const& own,
           std::string const& key);

/// \brief Plans the write of a culprit that this gateway found.
void schedule_culprit_write(gateway_state& state, digest const& fingerprint,
                            mono_time now);

/// \brief Plans the writes of the crashes that news are of.
/// \param delay from now; others may have written them by then
void schedule_crash_writes(gateway_state& state, quarantine::notice const& news,
                           std::chrono::milliseconds delay, mono_time now);

/// \brief Writes what is due and what the store lacks, and removes records of
/// crashes that count no more.
void write_quarantine_records(gateway_state& state, mono_time now);

/// \brief Plans to write again all that the store may have lost.
void write_quarantine_records_again(gateway_state& state);

/// \brief Applies what the store holds.
void apply_quarantine_records(gateway_state& state,
                              std::vector<follow::record> const& changes);

} // namespace jujubestand::gateway

#endif
