#include <jujubestand/membership/members.hpp>
#include <set>
#include <utility>

namespace jujubestand::membership
{

namespace
{

// The list may be behind or ahead of the instance, so a member is leaving as
// soon as either source reports it, even if the list still says "live".
member_state state_of(member const& one)
{
    bool const is_listed_leaving =
        one.row.state == platform::listed_state::leaving;
    if (!one.is_listed || is_listed_leaving || one.said_leaving)
        return member_state::leaving;
    return one.is_suspect ? member_state::suspect : member_state::live;
}

void settle(member& one, std::vector<member_change>& changes,
            bool is_restarted = false, bool may_have_paused = false)
{
    auto const before = one.state;
    one.state = state_of(one);
    if (one.state != before || is_restarted || may_have_paused)
        changes.push_back({one.row.instance, before, one.state, is_restarted,
                           may_have_paused});
}

void begin_life(member& one, incarnation_id incarnation)
{
    one.incarnation = incarnation;
    one.said_leaving = false;
    one.is_suspect = false;
    one.failures = 0;
    one.answers = 0;
}

void count_answer(members const& state, member& one)
{
    one.failures = 0;
    ++one.answers;
    if (one.answers >= state.options.answers_needed)
        one.is_suspect = false;
}

constexpr event_number number_of(member_state to) noexcept
{
    switch (to)
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
on_list(members& state, platform::instance_list const& list, mono_time now)
{
    std::vector<member_change> changes;
    std::set<instance_id> listed;
    for (auto const& row : list.instances)
    {
        listed.insert(row.instance);
        auto const [place, is_new] = state.known.try_emplace(row.instance);
        auto& one = place->second;
        one.row = row;
        one.is_listed = true;
        if (is_new)
            one.heard = now;
        settle(one, changes);
    }
    for (auto& [id, one] : state.known)
    {
        if (listed.contains(id))
            continue;
        one.is_listed = false;
        settle(one, changes);
    }
    return changes;
}

std::vector<member_change> on_answer(members& state, instance_id const& from,
                                     evidence const& seen, mono_time now)
{
    std::vector<member_change> changes;
    auto const found = state.known.find(from);
    if (found == state.known.end() ||
        seen.incarnation < found->second.incarnation)
        return changes;
    auto& one = found->second;
    bool const is_known = one.incarnation != incarnation_id{};
    bool const is_new_life = one.incarnation < seen.incarnation;
    bool const was_silent = now - one.heard > state.options.pause_limit;
    if (is_new_life)
        begin_life(one, seen.incarnation);
    one.heard = now;
    one.said_leaving = one.said_leaving || seen.is_leaving;
    count_answer(state, one);
    settle(one, changes, is_known && is_new_life,
           is_known && !is_new_life && was_silent);
    return changes;
}

std::vector<member_change> on_failure(members& state, instance_id const& from,
                                      mono_time)
{
    std::vector<member_change> changes;
    auto const found = state.known.find(from);
    if (found == state.known.end())
        return changes;
    auto& one = found->second;
    one.answers = 0;
    ++one.failures;
    if (one.failures >= state.options.failures_limit)
        one.is_suspect = true;
    settle(one, changes);
    return changes;
}

std::vector<member_change> on_tick(members& state, mono_time now)
{
    std::vector<member_change> changes;
    for (auto at = state.known.begin(); at != state.known.end();)
    {
        auto const& one = at->second;
        bool const is_silent = now - one.heard >= state.options.gone_after;
        if (one.is_listed || !is_silent)
        {
            ++at;
            continue;
        }
        changes.push_back({at->first, one.state, member_state::gone});
        at = state.known.erase(at);
    }
    return changes;
}

member const* find_upstream(members const& state, upstream_id const& upstream)
{
    member const* found = nullptr;
    for (auto const& [id, one] : state.known)
    {
        // If two instances serve the upstream, prefer the one that receives
        // new work.
        bool const is_better = found == nullptr || one.state < found->state;
        if (one.row.upstream == upstream && is_better)
            found = &one;
    }
    return found;
}

event_note to_note(member_change const& change)
{
    event_note note;
    note.number = number_of(change.to);
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
