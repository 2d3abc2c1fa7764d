#include <jujubestand/status/cache_view.hpp>

#include <xxhash.h>

namespace jujubestand::status
{

namespace
{

/// Changes that are kept for gateways that lag; others get all parts.
constexpr std::size_t recent_limit = 256;

void change(cache_view& view, part_hash part, std::uint32_t tokens)
{
    auto const known = view.parts.find(part);
    std::uint32_t const before = known == view.parts.end() ? 0 : known->second;
    if (before == tokens)
        return;
    if (tokens == 0)
        view.parts.erase(part);
    else
        view.parts[part] = tokens;
    ++view.generation;
    view.recent.push_back({part, tokens});
    if (view.recent.size() > recent_limit)
        view.recent.pop_front();
}

} // namespace

part_hash hash_of(std::string_view scope, std::uint64_t part) noexcept
{
    return static_cast<part_hash>(
        XXH3_64bits_withSeed(scope.data(), scope.size(), part));
}

bool on_events(cache_view& view, cache_events const& events)
{
    bool const is_restart = view.epoch != events.epoch;
    if (is_restart)
        clear(view);
    view.epoch = events.epoch;
    view.next = events.next;
    for (auto const& one : events.changes)
        change(view, one.part, one.is_dropped ? 0 : one.tokens);
    return !events.is_gap;
}

void on_list(cache_view& view, cache_events const& list)
{
    clear(view);
    view.epoch = list.epoch;
    view.next = list.next;
    for (auto const& one : list.changes)
        change(view, one.part, one.tokens);
}

// A generation skip of the whole ring makes every gateway ask for all.
void clear(cache_view& view)
{
    view.parts.clear();
    view.recent.clear();
    ++view.generation;
}

cache_delta delta_since(cache_view const& view, std::uint64_t generation)
{
    cache_delta delta;
    delta.generation = view.generation;
    if (generation > view.generation ||
        view.generation - generation > view.recent.size())
    {
        delta.is_whole = true;
        for (auto const& [part, tokens] : view.parts)
            delta.entries.push_back({part, tokens});
        return delta;
    }
    auto const missing =
        static_cast<std::ptrdiff_t>(view.generation - generation);
    delta.entries.assign(view.recent.end() - missing, view.recent.end());
    return delta;
}

void on_delta(cache_copy& copy, cache_delta const& delta)
{
    if (delta.is_whole)
        copy.parts.clear();
    else if (delta.generation < copy.generation || delta.entries.empty())
        return;
    for (auto const& entry : delta.entries)
    {
        if (entry.tokens == 0)
            copy.parts.erase(entry.part);
        else
            copy.parts[entry.part] = entry.tokens;
    }
    copy.generation = delta.generation;
}

} // namespace jujubestand::status
