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

/// \brief One cached part, or its end, as it travels to gateways.
struct cache_entry
{
    part_hash part = 0;
    /// 0: no longer cached.
    std::uint32_t tokens = 0;

    bool operator==(cache_entry const&) const = default;

    MSGPACK_DEFINE_ARRAY(part, tokens)
};

/// \brief How much of a view a gateway knows.
struct cache_mark
{
    /// Changes up to this one are known.
    std::uint64_t generation = 0;
    /// The copy was empty when the view had this generation: it lacks no
    /// removal since.
    std::uint64_t base = 0;

    bool operator==(cache_mark const&) const = default;

    MSGPACK_DEFINE_ARRAY(generation, base)
};

/// \brief Changes of a view that a gateway lacks, the oldest first; more may
/// follow those.
struct cache_delta
{
    /// What the gateway knows once it has taken the entries in.
    cache_mark mark;
    /// What the gateway has to know before.
    std::uint64_t after = 0;
    /// The gateway's copy has to be emptied first.
    bool is_whole = false;
    std::vector<cache_entry> entries;

    MSGPACK_DEFINE_ARRAY(mark, after, is_whole, entries)
};

/// \brief What is known of one part: its tokens and the generation of its
/// last change.
struct viewed_part
{
    std::uint32_t tokens = 0;
    std::uint64_t generation = 0;
};

/// \brief What an agent believes its engine has cached, in the order of the
/// changes, so that each gateway gets only what it lacks.
struct cache_view
{
    /// Parts, and removals that gateways may still lack: `tokens` is 0.
    std::unordered_map<part_hash, viewed_part> parts;
    /// The same in the order of their last changes.
    std::map<std::uint64_t, part_hash> changes;
    /// Generations of the removals in `parts`, the oldest first.
    std::deque<std::uint64_t> removals;
    /// Counts changes.
    std::uint64_t generation = 0;
    /// Removals up to here are forgotten.
    std::uint64_t horizon = 0;
    std::uint64_t epoch = 0;
    std::uint64_t next = 0;
};

/// \brief Begins a view at a generation that no earlier life of the process
/// has reached, so that copies of an earlier one are told from it.
void begin(cache_view& view, std::uint64_t generation);

/// \brief Takes in changes of the engine's cache.
/// \returns false if changes were lost and all parts must be listed anew
bool on_events(cache_view& view, cache_events const& events);

/// \brief Takes in a list of all parts.
void on_list(cache_view& view, cache_events const& list);

/// \brief The engine's cache is empty: it restarted or has new weights.
void clear(cache_view& view);

/// \brief What a gateway lacks that knows the view up to a mark, as much as
/// fits one datagram.
[[nodiscard]] cache_delta delta_since(cache_view const& view,
                                      cache_mark const& known);

/// \brief What a gateway knows of one engine's cache.
struct cache_copy
{
    std::unordered_map<part_hash, std::uint32_t> parts;
    cache_mark mark;
};

/// \brief Takes in a delta; one that doesn't follow what the copy knows
/// changes nothing.
void on_delta(cache_copy& copy, cache_delta const& delta);

} // namespace jujubestand::status

#endif
