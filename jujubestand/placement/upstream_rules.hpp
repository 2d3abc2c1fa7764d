#ifndef JUJUBESTAND_PLACEMENT_UPSTREAM_RULES_HPP
#define JUJUBESTAND_PLACEMENT_UPSTREAM_RULES_HPP

#include <jujubestand/placement/placement.hpp>
#include <string>

/// \brief What one upstream's view says by itself; for the placement only.
namespace jujubestand::placement
{

/// \brief Whether an upstream holds an adapter, or none is asked for.
[[nodiscard]] bool has_adapter(link::probe_reply const& reply,
                               std::string const& adapter);

/// \brief Why an upstream can't take a request, by a reply of its.
[[nodiscard]] rejection rejection_of(upstream_view const& view,
                                     placement_request const& request,
                                     link::probe_reply const& reply);

/// \brief Whether an upstream is worth a probe, by what is known without one.
[[nodiscard]] bool is_candidate(upstream_view const& view,
                                placement_request const& request, mono_time now,
                                std::chrono::milliseconds lifetime);

/// \brief Work sent after the probe that a reply answers: the reply cannot
/// know it.
[[nodiscard]] microseconds unseen_work(upstream_view const& view,
                                       mono_time probed_at, mono_time now,
                                       std::chrono::milliseconds lifetime);

/// \brief Over 1 for an engine that started lately.
[[nodiscard]] double slow_start_factor(placement_options const& options,
                                       link::probe_reply const& reply);

/// \brief A round trip that follows shorter times faster than longer ones.
[[nodiscard]] microseconds learned_round_trip(microseconds known,
                                              microseconds seen);

/// \brief Round trip to an upstream, from its distance if none is known.
[[nodiscard]] microseconds round_trip_of(upstream_view const& view);

/// \brief Wait at an upstream by its last reply, plus what was sent since.
[[nodiscard]] microseconds known_wait(upstream_view const& view,
                                      placement_options const& options,
                                      mono_time now);

} // namespace jujubestand::placement

#endif
