#ifndef JUJUBESTAND_STATUS_CACHE_EVENTS_HPP
#define JUJUBESTAND_STATUS_CACHE_EVENTS_HPP

#include <cstdint>
#include <string_view>
#include <vector>

namespace jujubestand::status
{

/// \brief Short hash that identifies a cached part within its scope.
using part_hash = std::uint32_t;

/// \brief Hash of a part that is cached in a scope.
[[nodiscard]] part_hash hash_of(std::string_view scope,
                                std::uint64_t part) noexcept;

/// \brief One change of an engine's cache.
struct cache_change
{
    part_hash part = 0;
    /// Tokens of the part that are cached after the change.
    std::uint32_t tokens = 0;
    bool is_dropped = false;
};

/// \brief Changes of an engine's cache, in order.
struct cache_events
{
    /// Changes when the engine restarts, with an empty cache.
    std::uint64_t epoch = 0;
    /// Number of the next change.
    std::uint64_t next = 0;
    /// Whether earlier changes were lost.
    bool is_gap = false;
    std::vector<cache_change> changes;
};

} // namespace jujubestand::status

#endif
