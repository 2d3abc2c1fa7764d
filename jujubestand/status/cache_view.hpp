#ifndef JUJUBESTAND_STATUS_CACHE_VIEW_HPP
#define JUJUBESTAND_STATUS_CACHE_VIEW_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <jujubestand/status/cache_events.hpp>
#include <map>
#include <msgpack.hpp>
#include <unordered_map>
#include <vector>

namespace jujubestand::status
{

/// \brief Cached part, or the removal of one, as sent to gateways.
struct cache_entry
{
    part_hash part = 0;
    /// Cached tokens; 0: the part was removed.
    std::uint32_t tokens = 0;

    bool operator==(cache_entry const&) const = default;

    MSGPACK_DEFINE_ARRAY(part, tokens)
};

/// \brief Position of a gateway's copy in the changes of a view.
struct cache_position
{
    /// The copy includes the changes up to this one.
    std::uint64_t generation = 0;
    /// The copy was empty when the view had this generation, so removals up to
    /// it don't concern the copy.
    std::uint64_t base = 0;

    bool operator==(cache_position const&) const = default;

    MSGPACK_DEFINE_ARRAY(generation, base)
};

/// \brief Changes of a view that a gateway's copy lacks, the oldest first; more
/// may remain.
struct cache_delta
{
    /// Position of the copy once the entries are applied.
    cache_position position;
    /// Generation that the copy must have before the entries are applied.
    std::uint64_t after = 0;
    /// The copy must be cleared before the entries are applied.
    bool is_full = false;
    std::vector<cache_entry> entries;

    MSGPACK_DEFINE_ARRAY(position, after, is_full, entries)
};

/// \brief Cached tokens of a part and the generation of its last change.
struct viewed_part
{
    std::uint32_t tokens = 0;
    std::uint64_t generation = 0;
};

/// \brief An agent's view of its engine's cache, with the order of the changes,
/// so that each gateway gets only the changes that it lacks.
struct cache_view
{
    /// Cached parts, and removals that gateways may still lack (with 0
    /// tokens).
    std::unordered_map<part_hash, viewed_part> parts;
    /// The same parts by the generation of their last change.
    std::map<std::uint64_t, part_hash> changes;
    /// Generations of the removals in `parts`, the oldest first.
    std::deque<std::uint64_t> removals;
    /// Generation of the last change.
    std::uint64_t generation = 0;
    /// Removals up to this generation are no longer stored.
    std::uint64_t horizon = 0;
    std::uint64_t epoch = 0;
    std::uint64_t next = 0;
};

/// \brief A generation for the start of a view, from random bits: earlier runs
/// of the process, and other processes, have not reached it, whatever the wall
/// clock.
[[nodiscard]] constexpr std::uint64_t
first_generation(std::uint64_t random_bits) noexcept
{
    // Leaves room to count on.
    return 1 + (random_bits >> 1U);
}

/// \brief Starts a view at a generation that no earlier run of the process has
/// reached, so that copies of an earlier run are recognized as such.
void begin(cache_view& view, std::uint64_t generation);

/// \brief Applies changes of the engine's cache.
/// \returns false if changes were lost and all parts must be listed again
bool on_events(cache_view& view, cache_events const& events);

/// \brief Replaces the view by a list of all parts.
void on_list(cache_view& view, cache_events const& list);

/// \brief Clears the view, since the engine's cache is empty: the engine
/// restarted or loaded new weights.
void clear(cache_view& view);

/// \brief Changes after the position of a gateway's copy, as many as fit one
/// datagram.
[[nodiscard]] cache_delta delta_since(cache_view const& view,
                                      cache_position const& known);

/// \brief A gateway's copy of the view of one engine's cache.
struct cache_copy
{
    std::unordered_map<part_hash, std::uint32_t> parts;
    cache_position position;
};

/// \brief Applies a delta; one that doesn't continue at the copy's position is
/// ignored.
void on_delta(cache_copy& copy, cache_delta const& delta);

} // namespace jujubestand::status

#endif
