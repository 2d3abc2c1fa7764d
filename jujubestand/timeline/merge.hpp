#ifndef JUJUBESTAND_TIMELINE_MERGE_HPP
#define JUJUBESTAND_TIMELINE_MERGE_HPP

#include <jujubestand/timeline/event.hpp>
#include <vector>

namespace jujubestand::timeline
{

/// \brief Puts the events of all processes into one order in which no effect
/// stands before its cause.
/// \param parts one list per process, each in its own order
[[nodiscard]] std::vector<stamped_event>
merge_processes(std::vector<std::vector<stamped_event>> parts);

} // namespace jujubestand::timeline

#endif
