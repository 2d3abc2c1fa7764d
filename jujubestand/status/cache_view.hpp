#ifndef JUJUBESTAND_STATUS_CACHE_VIEW_HPP
#define JUJUBESTAND_STATUS_CACHE_VIEW_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <jujubestand/status/cache_events.hpp>
#include <msgpack.hpp>
#include <unordered_map>
#include <vector>

namespace jujubestand::status
{

/// \brief One cached part, or its end, as it travels to gateways.
struct cache_entry
{
    part_hash part = 0;
    /// 0: no longer cached.
    std::uint32_t tokens = 0;

    bool operator==(cache_entry const&) const = default;

    MSGPACK_DEFINE_ARRAY(part, tokens)
};

/// \brief What changed in a view since a generation of it.
struct cache_delta
{
    std::uint64_t generation = 0;
    /// `entries` are all there is; otherwise they are changes.
    bool is_whole = false;
    std::vector<cache_entry> entries;

    MSGPACK_DEFINE_ARRAY(generation, is_whole, entries)
};

/// \brief What an agent believes its engine has cached, with its latest
/// changes, so that each gateway gets only what it lacks.
struct cache_view
{
    std::unordered_map<part_hash, std::uint32_t> parts;
    /// Counts changes; starts at a number of this life.
    std::uint64_t generation = 1;
    std::deque<cache_entry> recent;
    std::uint64_t epoch = 0;
    std::uint64_t next = 0;
};

/// \brief Takes in changes of the engine's cache.
/// \returns false if changes were lost and all parts must be listed anew
bool on_events(cache_view& view, cache_events const& events);

/// \brief Takes in a list of all parts.
void on_list(cache_view& view, cache_events const& list);

/// \brief The engine's cache is empty: it restarted or has new weights.
void clear(cache_view& view);

/// \brief What a gateway lacks that knows the view at `generation`.
[[nodiscard]] cache_delta delta_since(cache_view const& view,
                                      std::uint64_t generation);

/// \brief What a gateway knows of one engine's cache.
struct cache_copy
{
    std::unordered_map<part_hash, std::uint32_t> parts;
    std::uint64_t generation = 0;
};

/// \brief Takes in a delta; an older one changes nothing.
void on_delta(cache_copy& copy, cache_delta const& delta);

} // namespace jujubestand::status

#endif
