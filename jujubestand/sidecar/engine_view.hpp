#ifndef JUJUBESTAND_SIDECAR_ENGINE_VIEW_HPP
#define JUJUBESTAND_SIDECAR_ENGINE_VIEW_HPP

#include <jujubestand/core/time.hpp>
#include <jujubestand/link/messages.hpp>
#include <jujubestand/sidecar/engine_report.hpp>
#include <optional>

namespace jujubestand::sidecar
{

/// \brief What a sidecar knows of its engine's life.
struct engine_view
{
    std::optional<engine_report> report;
    mono_time reported_at;
    /// When it came back, if that happened while this sidecar ran.
    std::optional<mono_time> came_back;
    bool is_lost = false;
};

/// \brief Takes a report in. \returns whether the engine is a new one
bool take_report(engine_view& view, engine_report const& report, mono_time now);

/// \brief The engine did not answer.
void take_loss(engine_view& view);

/// \brief Whether it can be given work; one that tells no load can.
[[nodiscard]] bool is_usable(engine_view const& view);

/// \brief Fills in what a reply to a probe says of the engine.
void describe(engine_view const& view, link::probe_reply& into, mono_time now);

} // namespace jujubestand::sidecar

#endif
