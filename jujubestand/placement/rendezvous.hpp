#ifndef JUJUBESTAND_PLACEMENT_RENDEZVOUS_HPP
#define JUJUBESTAND_PLACEMENT_RENDEZVOUS_HPP

#include <cstdint>
#include <string_view>

namespace jujubestand::placement
{

/// \brief Hash of an upstream's name, as taken by `rendezvous_score`.
[[nodiscard]] std::uint64_t name_hash_of(std::string_view name) noexcept;

/// \brief Score of an upstream for a key by weighted rendezvous hashing.
///
/// A key is served by the upstream with the highest score. When an upstream
/// leaves, only the keys that it served are reassigned.
/// \param weight relative share of keys; greater than 0
[[nodiscard]] double rendezvous_score(std::uint64_t key,
                                      std::uint64_t name_hash,
                                      double weight) noexcept;

} // namespace jujubestand::placement

#endif
