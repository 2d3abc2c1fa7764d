#ifndef JUJUBESTAND_PLACEMENT_CANDIDATES_HPP
#define JUJUBESTAND_PLACEMENT_CANDIDATES_HPP

#include <cstddef>
#include <jujubestand/placement/placement.hpp>
#include <optional>
#include <vector>

/// \brief Selection of candidate upstreams. Internal to placement.
namespace jujubestand::placement
{

/// \brief An upstream and its rendezvous score for a level.
struct ranked_upstream
{
    /// Index into `placement_state::views`.
    std::size_t view_index = 0;
    double score = 0;
};

/// \brief Up to `count` candidates for a level, highest score first.
[[nodiscard]] std::vector<ranked_upstream>
rank_upstreams(placement_state const& state, placement_request const& request,
               prefix::level_key const& key, std::size_t count, mono_time now);

/// \brief Index of the level that adds the most tokens to the prompt.
[[nodiscard]] std::size_t heaviest_level(prefix::chain const& prompt);

/// \brief Appends an index into `placement_state::views` unless it is already
/// present.
void add_unique(std::vector<std::size_t>& into, std::size_t view);

/// \brief Adds the candidates at which the deepest level found in the placement
/// history was placed last.
void add_from_history(placement_state const& state,
                      placement_request const& request, mono_time now,
                      std::vector<std::size_t>& into);

/// \brief Draws two candidates and returns the one with the lower known wait
/// and round trip (power of two choices).
[[nodiscard]] std::optional<std::size_t>
less_busy_of_two(placement_state const& state, placement_request const& request,
                 mono_time now, std::uint64_t random_bits);

} // namespace jujubestand::placement

#endif
