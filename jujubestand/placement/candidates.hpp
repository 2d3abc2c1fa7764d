#ifndef JUJUBESTAND_PLACEMENT_CANDIDATES_HPP
#define JUJUBESTAND_PLACEMENT_CANDIDATES_HPP

#include <cstddef>
#include <jujubestand/placement/placement.hpp>
#include <optional>
#include <vector>

/// \brief Upstreams that are worth a look; for the placement only.
namespace jujubestand::placement
{

/// \brief One upstream and how well it suits a level.
struct ranked
{
    std::size_t view = 0;
    double score = 0;
};

/// \brief The candidates of one level, best first.
[[nodiscard]] std::vector<ranked> ranks_of(placement_state const& state,
                                           placement_request const& request,
                                           prefix::level_key const& key,
                                           std::size_t count, mono_time now);

/// \brief The level that brings the most tokens.
[[nodiscard]] std::size_t heaviest_level(prefix::chain const& prompt);

/// \brief Adds a place that is not there yet.
void add_unique(std::vector<std::size_t>& into, std::size_t view);

/// \brief Adds upstreams at which the deepest remembered level was placed last.
void add_remembered(placement_state const& state,
                    placement_request const& request, mono_time now,
                    std::vector<std::size_t>& into);

/// \brief Of two drawn upstreams the one that is known to be less busy.
[[nodiscard]] std::optional<std::size_t>
less_busy_of_two(placement_state const& state, placement_request const& request,
                 mono_time now, std::uint64_t draw);

} // namespace jujubestand::placement

#endif
