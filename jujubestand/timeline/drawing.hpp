#ifndef JUJUBESTAND_TIMELINE_DRAWING_HPP
#define JUJUBESTAND_TIMELINE_DRAWING_HPP

#include <jujubestand/timeline/event.hpp>
#include <string>
#include <vector>

namespace jujubestand::timeline
{

/// \brief Draws merged events as an SVG picture that needs nothing fetched:
/// a column per process, a row per event, time downwards.
[[nodiscard]] std::string draw_svg(std::vector<stamped_event> const& merged);

} // namespace jujubestand::timeline

#endif
