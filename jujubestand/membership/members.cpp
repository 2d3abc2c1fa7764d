#include <jujubestand/membership/members.hpp>
#include <set>
#include <utility>

namespace jujubestand::membership
{

namespace
{

// The list may be behind or ahead of the instance, so a member is leaving as
// soon as either source reports it, even if the list still says "live".
member_state state_of(member const& entry)
{
    bool const is_listed_leaving =
        entry.list_entry.state == platform::listed_state::leaving;
    if (!entry.is_listed || is_listed_leaving || entry.has_reported_leaving)
        return member_state::leaving;
    return entry.is_suspect ? member_state::suspect : member_state::live;
}

void update_state(member& entry, std::vector<member_change>& changes,
                  bool is_restarted = false, bool may_have_paused = false)
{
    auto const before = entry.state;
    entry.state = state_of(entry);
    if (entry.state != before || is_restarted || may_have_paused)
        changes.push_back({entry.list_entry.instance, before, entry.state,
                           is_restarted, may_have_paused});
}

void begin_incarnation(member& entry, incarnation_id incarnation)
{
    entry.incarnation = incarnation;
    entry.has_reported_leaving = false;
    entry.is_suspect = false;
    entry.consecutive_failures = 0;
    entry.consecutive_answers = 0;
}

void count_answer(member_table const& state, member& entry)
{
    entry.consecutive_failures = 0;
    ++entry.consecutive_answers;
    if (entry.consecutive_answers >= state.options.answers_needed)
        entry.is_suspect = false;
}

constexpr event_number event_number_of(member_state new_state) noexcept
{
    switch (new_state)
    {
    case member_state::suspect:
        return event_number::member_suspect;
    case member_state::leaving:
        return event_number::member_leaving;
    case member_state::gone:
        return event_number::member_gone;
    case member_state::live:
        break;
    }
    return event_number::member_live;
}

} // namespace

std::vector<member_change>
on_list(member_table& state, platform::instance_list const& list, mono_time now)
{
    std::vector<member_change> changes;
    std::set<instance_id> listed;
    for (auto const& row : list.instances)
    {
        listed.insert(row.instance);
        auto const [position, is_new] = state.by_id.try_emplace(row.instance);
        auto& entry = position->second;
        entry.list_entry = row;
        entry.is_listed = true;
        if (is_new)
            entry.last_seen = now;
        update_state(entry, changes);
    }
    for (auto& [id, entry] : state.by_id)
    {
        if (listed.contains(id))
            continue;
        entry.is_listed = false;
        update_state(entry, changes);
    }
    return changes;
}

std::vector<member_change> on_answer(member_table& state,
                                     instance_id const& member_id,
                                     member_report const& report, mono_time now)
{
    std::vector<member_change> changes;
    auto const found = state.by_id.find(member_id);
    if (found == state.by_id.end() ||
        report.incarnation < found->second.incarnation)
        return changes;
    auto& entry = found->second;
    bool const has_answered = entry.incarnation != incarnation_id{};
    bool const is_new_incarnation = entry.incarnation < report.incarnation;
    bool const was_silent = now - entry.last_seen > state.options.pause_limit;
    if (is_new_incarnation)
        begin_incarnation(entry, report.incarnation);
    entry.last_seen = now;
    entry.has_reported_leaving =
        entry.has_reported_leaving || report.is_leaving;
    count_answer(state, entry);
    update_state(entry, changes, has_answered && is_new_incarnation,
                 has_answered && !is_new_incarnation && was_silent);
    return changes;
}

std::vector<member_change> on_failure(member_table& state,
                                      instance_id const& member_id, mono_time)
{
    std::vector<member_change> changes;
    auto const found = state.by_id.find(member_id);
    if (found == state.by_id.end())
        return changes;
    auto& entry = found->second;
    entry.consecutive_answers = 0;
    ++entry.consecutive_failures;
    if (entry.consecutive_failures >= state.options.failures_limit)
        entry.is_suspect = true;
    update_state(entry, changes);
    return changes;
}

std::vector<member_change> on_tick(member_table& state, mono_time now)
{
    std::vector<member_change> changes;
    for (auto it = state.by_id.begin(); it != state.by_id.end();)
    {
        auto const& entry = it->second;
        bool const is_silent =
            now - entry.last_seen >= state.options.gone_after;
        if (entry.is_listed || !is_silent)
        {
            ++it;
            continue;
        }
        changes.push_back({it->first, entry.state, member_state::gone});
        it = state.by_id.erase(it);
    }
    return changes;
}

member const* find_upstream(member_table const& state,
                            upstream_id const& upstream)
{
    member const* found = nullptr;
    for (auto const& [id, entry] : state.by_id)
    {
        // If two instances serve the upstream, prefer the one that receives
        // new work.
        bool const is_better = found == nullptr || entry.state < found->state;
        if (entry.list_entry.upstream == upstream && is_better)
            found = &entry;
    }
    return found;
}

event_note to_note(member_change const& change)
{
    event_note note;
    note.number = event_number_of(change.to);
    note.fields.push_back({"instance", change.instance.text});
    note.fields.push_back(
        {"from", std::string(to_name(member_state_names, change.from))});
    if (change.is_restarted)
        note.fields.push_back({"restarted", "true"});
    if (change.may_have_paused)
        note.fields.push_back({"paused", "true"});
    return note;
}

} // namespace jujubestand::membership
