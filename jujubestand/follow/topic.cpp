#include <jujubestand/follow/topic.hpp>

#include <algorithm>
#include <set>

namespace jujubestand::follow
{

namespace
{

bool apply_record(topic& state, record const& row)
{
    auto const known = state.newest.find(row.key);
    if (known != state.newest.end() && known->second.offset >= row.offset)
        return false;
    state.newest[row.key] = row;
    return true;
}

void confirm(topic& state, mono_time at)
{
    state.current_as_of =
        state.current_as_of ? std::max(*state.current_as_of, at) : at;
}

// Removes the keys that are not in the list and were not written after it was
// created.
std::vector<record> remove_unlisted(topic& state, listing const& list)
{
    std::set<std::string> listed;
    for (auto const& row : list.records)
        listed.insert(row.key);
    std::vector<record> removed;
    for (auto& [key, known] : state.newest)
    {
        if (known.value.empty() || known.offset >= list.end ||
            listed.contains(key))
            continue;
        // The removal gets the last offset of the list, so that
        // `changes_since` an earlier offset includes it.
        known.value.clear();
        known.offset = list.end - 1;
        removed.push_back(known);
    }
    return removed;
}

} // namespace

std::vector<record> on_listing(topic& state, listing const& list,
                               mono_time requested_at)
{
    if (list.end < state.next)
        return {};
    std::vector<record> changes;
    for (auto const& row : list.records)
    {
        if (apply_record(state, row))
            changes.push_back(row);
    }
    for (auto& row : remove_unlisted(state, list))
        changes.push_back(std::move(row));
    if (!state.is_listed)
        state.changes_from = list.end;
    state.next = list.end;
    state.is_listed = true;
    confirm(state, requested_at);
    return changes;
}

std::vector<record> on_page(topic& state, read_page const& page,
                            mono_time requested_at)
{
    if (page.end < state.next)
        return {};
    std::vector<record> changes;
    for (auto const& row : page.records)
    {
        if (apply_record(state, row))
            changes.push_back(row);
        state.next = std::max(state.next, row.offset + 1);
    }
    // A page may end before the topic does; only the last page confirms that
    // the copy is current.
    if (state.next >= page.end)
        confirm(state, requested_at);
    return changes;
}

void on_confirmation(topic& state, std::uint64_t end, mono_time confirmed_at)
{
    if (state.is_listed && state.next >= end)
        confirm(state, confirmed_at);
}

std::size_t live_keys(topic const& state)
{
    return static_cast<std::size_t>(
        std::count_if(state.newest.begin(), state.newest.end(),
                      [](auto const& row)
                      {
                          return !row.second.value.empty();
                      }));
}

listing changes_since(topic const& state, std::uint64_t since)
{
    listing result;
    result.end = state.next;
    result.is_complete = since == 0 || since < state.changes_from;
    for (auto const& [key, row] : state.newest)
    {
        if (result.is_complete || row.offset >= since)
            result.records.push_back(row);
    }
    return result;
}

std::vector<record> on_peer_records(topic& state, listing const& list,
                                    std::uint64_t since, mono_time confirmed_at)
{
    if (list.is_complete)
        return on_listing(state, list, confirmed_at);
    bool const has_gap = since > state.next || (since > 0 && !state.is_listed);
    if (has_gap || list.end < state.next)
        return {};
    std::vector<record> changes;
    for (auto const& row : list.records)
    {
        if (apply_record(state, row))
            changes.push_back(row);
    }
    state.next = list.end;
    state.is_listed = true;
    confirm(state, confirmed_at);
    return changes;
}

std::optional<microseconds> staleness(topic const& state, mono_time now)
{
    if (!state.current_as_of)
        return std::nullopt;
    return now - *state.current_as_of;
}

} // namespace jujubestand::follow
