#include <jujubestand/status/cache_view.hpp>

#include <algorithm>
#include <xxhash.h>

namespace jujubestand::status
{

namespace
{

/// Removals that are stored for gateways that lag behind. A gateway that lags
/// further behind gets the whole view again.
constexpr std::size_t removals_limit = 1'024;

/// Changes in one delta. A gateway gets deltas of many engines at once, which
/// a low-bandwidth link must carry; its next requests get the remaining
/// changes.
constexpr std::size_t delta_entries_limit = 64;

void discard_oldest_removal(cache_view& view)
{
    auto const oldest = view.removals.front();
    view.removals.pop_front();
    view.horizon = oldest;
    auto const found = view.changes.find(oldest);
    // A part that was cached again since has a later entry in `changes`.
    if (found == view.changes.end())
        return;
    view.parts.erase(found->second);
    view.changes.erase(found);
}

void apply_change(cache_view& view, part_hash part, std::uint32_t tokens)
{
    auto const known = view.parts.find(part);
    bool const is_known = known != view.parts.end();
    if ((is_known ? known->second.tokens : 0U) == tokens)
        return;
    if (is_known)
        view.changes.erase(known->second.generation);
    ++view.generation;
    view.parts[part] = {tokens, view.generation};
    view.changes[view.generation] = part;
    if (tokens != 0)
        return;
    view.removals.push_back(view.generation);
    if (view.removals.size() > removals_limit)
        discard_oldest_removal(view);
}

} // namespace

part_hash hash_of(std::string_view scope, std::uint64_t part) noexcept
{
    return static_cast<part_hash>(
        XXH3_64bits_withSeed(scope.data(), scope.size(), part));
}

void begin(cache_view& view, std::uint64_t generation)
{
    view.generation = generation;
    view.horizon = generation;
}

bool on_events(cache_view& view, cache_events const& events)
{
    bool const is_restart = view.epoch != events.epoch;
    if (is_restart)
        clear(view);
    view.epoch = events.epoch;
    view.next = events.next;
    for (auto const& change : events.changes)
        apply_change(view, change.part, change.is_dropped ? 0 : change.tokens);
    return !events.is_gap;
}

void on_list(cache_view& view, cache_events const& list)
{
    clear(view);
    view.epoch = list.epoch;
    view.next = list.next;
    for (auto const& change : list.changes)
        apply_change(view, change.part, change.tokens);
}

// The horizon passes the generation of every copy, so each copy gets the whole
// view again.
void clear(cache_view& view)
{
    view.parts.clear();
    view.changes.clear();
    view.removals.clear();
    ++view.generation;
    view.horizon = view.generation;
}

cache_delta delta_since(cache_view const& view, cache_position const& known)
{
    cache_delta delta;
    delta.is_full = known.generation > view.generation ||
                    std::max(known.base, known.generation) < view.horizon;
    delta.after = delta.is_full ? 0 : known.generation;
    delta.position.base = delta.is_full ? view.generation : known.base;
    delta.position.generation = view.generation;
    for (auto at = view.changes.upper_bound(delta.after);
         at != view.changes.end(); ++at)
    {
        auto const tokens = view.parts.at(at->second).tokens;
        // Nothing to remove from an empty copy.
        if (delta.is_full && tokens == 0)
            continue;
        if (delta.entries.size() == delta_entries_limit)
            return delta;
        delta.entries.push_back({at->second, tokens});
        delta.position.generation = at->first;
    }
    delta.position.generation = view.generation;
    return delta;
}

void on_delta(cache_copy& copy, cache_delta const& delta)
{
    if (delta.is_full)
        copy.parts.clear();
    else if (delta.after != copy.position.generation ||
             delta.position.base != copy.position.base)
        return;
    for (auto const& entry : delta.entries)
    {
        if (entry.tokens == 0)
            copy.parts.erase(entry.part);
        else
            copy.parts[entry.part] = entry.tokens;
    }
    copy.position = delta.position;
}

} // namespace jujubestand::status
