#ifndef JUJUBESTAND_QUARANTINE_GATE_HPP
#define JUJUBESTAND_QUARANTINE_GATE_HPP

#include <cstdint>
#include <deque>
#include <jujubestand/core/ids.hpp>
#include <jujubestand/core/time.hpp>
#include <jujubestand/quarantine/strike.hpp>
#include <map>
#include <optional>
#include <vector>

namespace jujubestand::quarantine
{

/// \brief Rules of the gate; all are enabled in production.
struct gate_rules
{
    /// A suspect (a request with strikes, not quarantined) runs alone on the
    /// engine.
    bool isolate_suspects = true;
    /// Quarantined requests are refused.
    bool refuse_quarantined = true;
    /// The strikes of a request that finishes are cleared.
    bool clear_finished = true;
};

/// \brief How a request ended at the engine.
enum class request_end : std::uint8_t
{
    finished,          ///< complete answer
    connection_broken, ///< the engine may have crashed
    not_received,      ///< the engine never got the request
    cancelled,         ///< includes timeouts
};

/// \brief A request in flight at the engine, or one whose connection broke and
/// for which it is not yet known whether the engine crashed.
struct gate_request
{
    digest fingerprint;
    bool is_connection_broken = false;
};

/// \brief Admits requests to one engine and tracks those in flight.
struct engine_gate
{
    upstream_id upstream;
    incarnation_id incarnation;
    strike_table known_strikes;
    gate_rules rules;
    std::map<request_id, gate_request> in_flight;
    /// Suspects that wait until the engine is idle, oldest first.
    std::deque<request_id> waiting_suspects;
    /// The suspect that runs alone on the engine.
    std::optional<request_id> isolated_suspect;
};

/// \brief Decision about a request to the engine.
enum class admission : std::uint8_t
{
    start,
    wait,   ///< try again after each end of a request
    refuse, ///< quarantined; the request has not run on this engine
};

/// \brief Result of the end of a request or of a crash.
struct gate_result
{
    /// New strikes and clearances, for the log and for answers.
    notice changes;
};

/// \brief Decides whether a request may start now, must wait or is refused.
[[nodiscard]] admission admit(engine_gate& gate, request_id const& request,
                              digest const& fingerprint, wall_time now);

/// \brief Removes a request from the waiting suspects.
void stop_waiting(engine_gate& gate, request_id const& request);

/// \brief Records the end of a request.
[[nodiscard]] gate_result on_request_end(engine_gate& gate,
                                         request_id const& request,
                                         request_end outcome, wall_time now);

/// \brief Records that the engine answered with this incarnation.
[[nodiscard]] gate_result
on_engine_answer(engine_gate& gate, incarnation_id incarnation, wall_time now);

/// \brief Records that the engine refuses connections after one was broken.
[[nodiscard]] gate_result on_connect_refused(engine_gate& gate, wall_time now);

/// \brief Whether there is a broken connection for which it is not yet known
/// whether the engine crashed.
[[nodiscard]] bool has_broken_connection(engine_gate const& gate) noexcept;

} // namespace jujubestand::quarantine

#endif
