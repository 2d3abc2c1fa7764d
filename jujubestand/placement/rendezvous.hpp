#ifndef JUJUBESTAND_PLACEMENT_RENDEZVOUS_HPP
#define JUJUBESTAND_PLACEMENT_RENDEZVOUS_HPP

#include <cstdint>
#include <string_view>

namespace jujubestand::placement
{

/// \brief Hash of an upstream's name, for `rendezvous_score`.
[[nodiscard]] std::uint64_t name_hash_of(std::string_view name) noexcept;

/// \brief Weighted rendezvous hashing: the upstream of the highest score
/// serves a key, and when it goes, only its keys move.
/// \param weight share of keys relative to others; above 0
[[nodiscard]] double rendezvous_score(std::uint64_t key,
                                      std::uint64_t name_hash,
                                      double weight) noexcept;

} // namespace jujubestand::placement

#endif
