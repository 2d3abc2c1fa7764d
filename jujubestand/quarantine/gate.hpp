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

/// \brief The rules of the gate; all stand in production.
struct gate_rules
{
    /// A suspect shares the engine with nobody.
    bool suspects_run_alone = true;
    /// A quarantined request is refused.
    bool quarantined_are_refused = true;
    /// A suspect that ends well is cleared.
    bool finished_are_cleared = true;
};

/// \brief How a request left the engine.
enum class departure : std::uint8_t
{
    finished, ///< with a whole answer
    cut,      ///< with a broken connection
    unbegun,  ///< the engine never got it
    stopped,  ///< cancelled or timed out
};

/// \brief A request at the engine, or one whose connection just broke.
struct gate_request
{
    digest fingerprint;
    bool is_cut = false;
};

/// \brief Watches what is in flight at one engine.
struct engine_gate
{
    upstream_id upstream;
    incarnation_id incarnation;
    strike_book book;
    gate_rules rules;
    std::map<request_id, gate_request> running;
    /// Suspects that wait for the engine to be empty, oldest first.
    std::deque<request_id> waiting;
    /// The suspect that has the engine for itself.
    std::optional<request_id> alone;
};

/// \brief What to do with a request that wants the engine.
enum class passage : std::uint8_t
{
    start,
    wait,   ///< ask again after each departure
    refuse, ///< it is quarantined; it has not run here
};

/// \brief What a departure or a crash leads to.
struct gate_effects
{
    /// For the log, and for answers.
    notice made;
};

/// \brief Lets a request to the engine, holds it back or refuses it.
[[nodiscard]] passage pass(engine_gate& gate, request_id const& request,
                           digest const& fingerprint, wall_time now);

/// \brief A request that waited will not ask again.
void give_up(engine_gate& gate, request_id const& request);

/// \brief A request left the engine.
[[nodiscard]] gate_effects depart(engine_gate& gate, request_id const& request,
                                  departure how, wall_time now);

/// \brief The engine answered with this incarnation.
[[nodiscard]] gate_effects
see_engine(engine_gate& gate, incarnation_id incarnation, wall_time now);

/// \brief The engine refuses connections after it cut one.
[[nodiscard]] gate_effects lose_engine(engine_gate& gate, wall_time now);

/// \brief Whether a broken connection still waits for the engine's sign.
[[nodiscard]] bool has_cut(engine_gate const& gate) noexcept;

} // namespace jujubestand::quarantine

#endif
