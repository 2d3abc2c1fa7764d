#include <jujubestand/sidecar/engine_view.hpp>

#include <limits>

namespace jujubestand::sidecar
{

bool take_report(engine_view& view, engine_report const& report, mono_time now)
{
    bool const is_new =
        view.report && view.report->incarnation != report.incarnation;
    if (is_new)
        view.came_back = now;
    view.report = report;
    view.reported_at = now;
    view.is_lost = false;
    return is_new;
}

void take_loss(engine_view& view)
{
    view.is_lost = true;
}

bool is_usable(engine_view const& view)
{
    return !view.is_lost;
}

void describe(engine_view const& view, link::probe_reply& into, mono_time now)
{
    // A restarted sidecar cannot tell an engine's age; it has most likely
    // served for long.
    into.engine_age_us = std::numeric_limits<std::uint64_t>::max();
    if (view.came_back)
        into.engine_age_us =
            static_cast<std::uint64_t>((now - *view.came_back).count());
    if (!view.report)
        return;
    into.role = view.report->role;
    into.weights_version = view.report->weights_version;
    into.adapters = view.report->adapters;
}

} // namespace jujubestand::sidecar
