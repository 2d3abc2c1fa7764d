#include <jujubestand/placement/rendezvous.hpp>

#include <cmath>
#include <xxhash.h>

namespace jujubestand::placement
{

namespace
{

/// Finalizer of splitmix64: each input bit affects all output bits.
std::uint64_t mix(std::uint64_t value) noexcept
{
    value ^= value >> 30U;
    value *= 0xbf58476d1ce4e5b9ULL;
    value ^= value >> 27U;
    value *= 0x94d049bb133111ebULL;
    value ^= value >> 31U;
    return value;
}

} // namespace

std::uint64_t name_hash_of(std::string_view name) noexcept
{
    return XXH3_64bits(name.data(), name.size());
}

double rendezvous_score(std::uint64_t key, std::uint64_t name_hash,
                        double weight) noexcept
{
    constexpr double unit = 1.0 / 9007199254740992.0;
    std::uint64_t const bits = mix(mix(key) ^ name_hash) >> 11U;
    double const uniform = (static_cast<double>(bits) + 0.5) * unit;
    return -weight / std::log(uniform);
}

} // namespace jujubestand::placement
