#include <jujubestand/follow/topic.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace jujubestand::follow
{

namespace
{

std::optional<value_version> version_in(topic const& state, record const& row)
{
    return state.version_of == nullptr || row.value.empty()
               ? std::nullopt
               : state.version_of(row);
}

void set_value(topic& state, record& known, std::string value)
{
    auto const version = version_in(state, known);
    if (value.empty() && version)
        state.removed_versions[known.key] = *version;
    if (!value.empty())
        state.removed_versions.erase(known.key);
    known.value = std::move(value);
}

// A record from before the store's return is outdated if it is older than the
// known value, or not newer than the last one of a key that was removed.
bool is_outdated(topic const& state, record const& known, record const& row)
{
    auto const version = version_in(state, row);
    if (!version)
        return false;
    if (!known.value.empty())
    {
        auto const known_version = version_in(state, known);
        return known_version && *version < *known_version;
    }
    auto const removed = state.removed_versions.find(row.key);
    return removed != state.removed_versions.end() &&
           *version <= removed->second;
}

bool apply_to_unrestored(topic& state, record& known, record const& row)
{
    known.offset = row.offset;
    if (is_outdated(state, known, row))
        return false;
    state.unrestored.erase(row.key);
    if (known.value == row.value)
        return false;
    set_value(state, known, row.value);
    return true;
}

bool apply_record(topic& state, record const& row)
{
    auto const found = state.newest.find(row.key);
    if (found == state.newest.end())
    {
        state.newest.emplace(row.key, row);
        return true;
    }
    record& known = found->second;
    if (state.unrestored.contains(row.key))
        return apply_to_unrestored(state, known, row);
    if (known.offset >= row.offset)
        return false;
    known.offset = row.offset;
    set_value(state, known, row.value);
    return true;
}

// Applies a record that another process knows and the store has lost. It has
// the offset of the store's older one. A removal counts only for values that
// are not newer than the one that was removed.
bool apply_unrestored(topic& state, record const& row,
                      std::map<std::string, value_version> const& removed)
{
    auto const last = removed.find(row.key);
    auto const [found, is_new] = state.newest.emplace(row.key, row);
    record& known = found->second;
    if (is_new)
    {
        state.unrestored.insert(row.key);
        if (last != removed.end())
            state.removed_versions[row.key] = last->second;
        return true;
    }
    if (known.offset > row.offset)
        return false;
    auto const known_version = version_in(state, known);
    if (last != removed.end() && known_version && last->second < *known_version)
        return false;
    if (state.unrestored.contains(row.key))
        known.offset = row.offset;
    if (known.value == row.value || is_outdated(state, known, row))
        return false;
    state.unrestored.insert(row.key);
    known.offset = row.offset;
    set_value(state, known, row.value);
    if (last != removed.end())
        state.removed_versions[row.key] = last->second;
    return true;
}

std::vector<record> apply_rows(topic& state, listing const& list)
{
    std::vector<record> changes;
    for (auto const& row : list.records)
    {
        bool const is_changed =
            list.unrestored.contains(row.key)
                ? apply_unrestored(state, row, list.removed_versions)
                : apply_record(state, row);
        if (is_changed)
            changes.push_back(row);
    }
    return changes;
}

void confirm(topic& state, mono_time at)
{
    state.current_as_of =
        state.current_as_of ? std::max(*state.current_as_of, at) : at;
}

std::set<std::string> keys_of(listing const& list)
{
    std::set<std::string> listed;
    for (auto const& row : list.records)
        listed.insert(row.key);
    return listed;
}

// Removes the keys that are not in the list and were not written after it was
// created.
std::vector<record> remove_unlisted(topic& state, listing const& list)
{
    auto const listed = keys_of(list);
    std::vector<record> removed;
    for (auto& [key, known] : state.newest)
    {
        bool const is_kept =
            state.keeps_lost_keys && state.unrestored.contains(key);
        if (known.value.empty() || known.offset >= list.end ||
            listed.contains(key) || is_kept)
            continue;
        state.unrestored.erase(key);
        // The removal gets the last offset of the list, so that
        // `changes_since` an earlier offset includes it.
        set_value(state, known, {});
        known.offset = list.end - 1;
        removed.push_back(known);
    }
    return removed;
}

// Keeps or drops the keys that the store has lost. Those that are dropped are
// not remembered as removed: their owners may write the same values again.
std::vector<record> drop_lost_keys(topic& state, listing const& list)
{
    auto const listed = keys_of(list);
    std::vector<record> removed;
    std::erase_if(state.newest,
                  [&](auto const& entry)
                  {
                      auto const& [key, known] = entry;
                      bool const is_kept =
                          listed.contains(key) ||
                          (state.keeps_lost_keys && !known.value.empty());
                      if (is_kept)
                          return false;
                      state.unrestored.erase(key);
                      state.removed_versions.erase(key);
                      if (!known.value.empty())
                          removed.push_back({key, {}, 0});
                      return true;
                  });
    return removed;
}

// No offset of the copy means anything in the new era.
std::vector<record> adopt_era(topic& state, listing const& list)
{
    for (auto& [key, known] : state.newest)
    {
        known.offset = 0;
        state.unrestored.insert(key);
    }
    auto changes = apply_rows(state, list);
    for (auto& row : drop_lost_keys(state, list))
        changes.push_back(std::move(row));
    state.changes_from = list.end;
    return changes;
}

bool is_of_earlier_era(topic const& state, std::uint64_t era)
{
    return era != 0 && era < state.era;
}

} // namespace

bool has_returned(topic const& state, std::uint64_t era)
{
    return state.is_listed && era > state.era;
}

std::vector<record> on_listing(topic& state, listing const& list,
                               mono_time requested_at)
{
    bool const is_new_era = has_returned(state, list.era);
    if (is_of_earlier_era(state, list.era) ||
        (!is_new_era && list.end < state.next))
        return {};
    std::vector<record> changes;
    if (is_new_era)
        changes = adopt_era(state, list);
    else
    {
        changes = apply_rows(state, list);
        for (auto& row : remove_unlisted(state, list))
            changes.push_back(std::move(row));
    }
    state.changes_from = list.end;
    state.era = std::max(state.era, list.era);
    state.next = list.end;
    state.is_listed = true;
    confirm(state, requested_at);
    return changes;
}

std::vector<record> on_page(topic& state, read_page const& page,
                            mono_time requested_at)
{
    bool const is_same_era = page.era == 0 || page.era == state.era;
    // The copy may have been listed anew while the read was under way.
    bool const has_gap =
        !page.records.empty() && page.records.front().offset > state.next;
    if (!is_same_era || has_gap || page.end < state.next)
        return {};
    std::vector<record> changes;
    // A list may have superseded the first records of a late page.
    auto const known_end = state.next;
    for (auto const& row : page.records)
    {
        if (row.offset >= known_end && apply_record(state, row))
            changes.push_back(row);
        state.next = std::max(state.next, row.offset + 1);
    }
    // A page may end before the topic does; only the last page confirms that
    // the copy is current.
    if (state.next >= page.end)
        confirm(state, requested_at);
    return changes;
}

void on_confirmation(topic& state, std::uint64_t era, std::uint64_t end,
                     mono_time confirmed_at)
{
    if (state.is_listed && era == state.era && state.next >= end)
        confirm(state, confirmed_at);
}

std::map<std::string, value_version> unrestored_versions(topic const& state)
{
    std::map<std::string, value_version> result;
    for (auto const& key : state.unrestored)
    {
        auto const version = version_in(state, state.newest.at(key));
        if (version)
            result[key] = *version;
    }
    return result;
}

bool lacks_any(topic const& state,
               std::map<std::string, value_version> const& unrestored)
{
    return std::any_of(unrestored.begin(), unrestored.end(),
                       [&](auto const& entry)
                       {
                           auto const known = state.newest.find(entry.first);
                           if (known == state.newest.end())
                               return true;
                           auto const version =
                               version_in(state, known->second);
                           return version && *version < entry.second;
                       });
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
    result.era = state.era;
    result.is_complete =
        state.is_listed && (since == 0 || since < state.changes_from);
    for (auto const& [key, row] : state.newest)
    {
        if (!result.is_complete && row.offset < since)
            continue;
        result.records.push_back(row);
        if (state.unrestored.contains(key))
        {
            result.unrestored.insert(key);
            auto const last = state.removed_versions.find(key);
            if (last != state.removed_versions.end())
                result.removed_versions.insert(*last);
        }
    }
    return result;
}

std::vector<record> on_peer_records(topic& state, listing const& list,
                                    std::uint64_t since, mono_time confirmed_at)
{
    if (list.is_complete)
        return on_listing(state, list, confirmed_at);
    bool const has_gap = since > state.next || (since > 0 && !state.is_listed);
    bool const is_other_era = state.is_listed && list.era != state.era;
    // A process that has just started has nothing to pass on.
    bool const is_of_unlisted = !state.is_listed && list.end == 0;
    if (has_gap || is_other_era || is_of_unlisted || list.end < state.next)
        return {};
    auto changes = apply_rows(state, list);
    state.era = list.era;
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
