#ifndef JUJUBESTAND_PLACEMENT_UPSTREAM_RULES_HPP
#define JUJUBESTAND_PLACEMENT_UPSTREAM_RULES_HPP

#include <jujubestand/placement/placement.hpp>
#include <string>

/// \brief Rules and estimates for a single upstream. Internal to placement.
namespace jujubestand::placement
{

/// \brief Whether the adapter is loaded at the upstream, or none is requested.
[[nodiscard]] bool has_adapter(link::probe_reply const& reply,
                               std::string const& adapter);

/// \brief Why an upstream cannot serve a request, according to a reply.
[[nodiscard]] rejection rejection_of(upstream_view const& view,
                                     placement_request const& request,
                                     link::probe_reply const& reply);

/// \brief Whether an upstream may be able to serve a request, according to its
/// last reply if that is younger than `lifetime`.
[[nodiscard]] bool is_candidate(upstream_view const& view,
                                placement_request const& request, mono_time now,
                                std::chrono::milliseconds lifetime);

/// \brief Work sent since the probe that a reply answers; the reply may not
/// include it.
[[nodiscard]] microseconds
unreported_work_of(upstream_view const& view, mono_time probed_at,
                   mono_time now, std::chrono::milliseconds lifetime);

/// \brief Cost factor of a recently started engine; 1 once `slow_start_window`
/// has passed.
[[nodiscard]] double slow_start_factor(placement_options const& options,
                                       link::probe_reply const& reply);

/// \brief Updates a round-trip estimate: adopts a shorter time at once, and
/// moves towards a longer one gradually.
[[nodiscard]] microseconds updated_round_trip(microseconds estimate,
                                              microseconds observed);

/// \brief Estimated round trip to an upstream; at least twice its one-way
/// distance.
[[nodiscard]] microseconds round_trip_of(upstream_view const& view);

/// \brief Wait at an upstream according to its last reply, plus the work sent
/// since. An outdated reply is ignored.
[[nodiscard]] microseconds estimated_wait(upstream_view const& view,
                                          placement_options const& options,
                                          mono_time now);

} // namespace jujubestand::placement

#endif
