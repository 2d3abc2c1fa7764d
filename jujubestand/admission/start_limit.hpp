#ifndef JUJUBESTAND_ADMISSION_START_LIMIT_HPP
#define JUJUBESTAND_ADMISSION_START_LIMIT_HPP

#include <cstddef>
#include <jujubestand/admission/queue.hpp>

/// \brief The limit that an engine states, as far as its queue keeps it.
namespace jujubestand::admission
{

/// \brief Applies what an answer of the engine states on its limit.
limits::limit_change
apply_limit(queue_state& state, limits::statement const& stated, mono_time now);

/// \brief Whether the engine's limit lets a request start.
[[nodiscard]] bool has_start_token(queue_state& state, mono_time now);

/// \brief Counts a request that starts.
void count_start(queue_state& state, mono_time now);

/// \brief Time until a new request behind this many others may start.
[[nodiscard]] microseconds wait_for_limit(queue_state const& state,
                                          std::size_t ahead, mono_time now);

} // namespace jujubestand::admission

#endif
