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
    bool suspects_run_alone = true;
    /// Quarantined requests are refused.
    bool quarantined_are_refused = true;
    /// The strikes of a request that finishes are cleared.
    bool finished_are_cleared = true;
};

/// \brief How a request ended at the engine.
enum class departure : std::uint8_t
{
    finished, ///< complete answer
    cut,      ///< connection broken
    unbegun,  ///< not received by the engine
    stopped,  ///< cancelled or timed out
};

/// \brief A request in flight at the engine, or one whose connection broke and
/// for which it is not yet known whether the engine crashed.
struct gate_request
{
    digest fingerprint;
    bool is_cut = false;
};

/// \brief Admits requests to one engine and tracks those in flight.
struct engine_gate
{
    upstream_id upstream;
    incarnation_id incarnation;
    strike_book book;
    gate_rules rules;
    std::map<request_id, gate_request> running;
    /// Suspects that wait until the engine is idle, oldest first.
    std::deque<request_id> waiting;
    /// The suspect that runs alone on the engine.
    std::optional<request_id> alone;
};

/// \brief Decision about a request to the engine.
enum class passage : std::uint8_t
{
    start,
    wait,   ///< try again after each end of a request
    refuse, ///< quarantined; the request has not run on this engine
};

/// \brief Result of the end of a request or of a crash.
struct gate_effects
{
    /// New strikes and clearances, for the log and for answers.
    notice made;
};

/// \brief Decides whether a request may start now, must wait or is refused.
[[nodiscard]] passage pass(engine_gate& gate, request_id const& request,
                           digest const& fingerprint, wall_time now);

/// \brief Removes a request from the waiting suspects.
void give_up(engine_gate& gate, request_id const& request);

/// \brief Records the end of a request.
[[nodiscard]] gate_effects depart(engine_gate& gate, request_id const& request,
                                  departure how, wall_time now);

/// \brief Records that the engine answered with this incarnation.
[[nodiscard]] gate_effects
see_engine(engine_gate& gate, incarnation_id incarnation, wall_time now);

/// \brief Records that the engine refuses connections after one was broken.
[[nodiscard]] gate_effects lose_engine(engine_gate& gate, wall_time now);

/// \brief Whether there is a broken connection for which it is not yet known
/// whether the engine crashed.
[[nodiscard]] bool has_cut(engine_gate const& gate) noexcept;

} // namespace jujubestand::quarantine

#endif
