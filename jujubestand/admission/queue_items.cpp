#include <jujubestand/admission/queue_items.hpp>

#include <algorithm>

namespace jujubestand::admission
{

namespace
{

/// Updates counters and indexes for an item removed from its team's queue.
void forget_item(queue_state& state, queue_item const& item)
{
    class_queue& group = state.classes[class_of(item.priority)];
    --group.items;
    group.tokens -= item.tokens;
    state.waiting_tokens -= item.tokens;
    auto const spent = state.team_tokens.find(item.team);
    spent->second -= item.tokens;
    if (spent->second == 0)
        state.team_tokens.erase(spent);
    auto const place = state.waiting.find(item.request);
    state.expiries.erase(place->second.last);
    state.waiting.erase(place);
}

/// Removes a team without items from the rotation; its deficit is discarded.
void end_team_if_empty(class_queue& group, team_id const& team)
{
    auto const found = group.teams.find(team);
    if (found == group.teams.end() || !found->second.items.empty())
        return;
    group.teams.erase(found);
    auto const turn = std::find(group.turns.begin(), group.turns.end(), team);
    if (turn == group.turns.begin())
        group.is_turn_begun = false;
    if (turn != group.turns.end())
        group.turns.erase(turn);
}

} // namespace

std::size_t class_of(std::uint8_t priority)
{
    return std::min<std::size_t>(priority, priority_classes - 1);
}

microseconds compute_time(queue_state const& state, std::uint64_t tokens)
{
    return scaled(static_cast<double>(tokens) * state.prefill_us_per_token);
}

// A request that can no longer meet its first-token deadline expires even if
// its overall deadline is later.
expiry expiry_of(queue_state const& state, queue_item const& item)
{
    mono_time at = item.deadline;
    if (item.first_token_deadline != mono_time::max())
        at = std::min(at, item.first_token_deadline -
                              compute_time(state, item.tokens));
    return expiry{at, item.request};
}

void push_item(queue_state& state, queue_item const& item)
{
    class_queue& group = state.classes[class_of(item.priority)];
    team_queue& team = group.teams[item.team];
    if (team.items.empty())
        group.turns.push_back(item.team);
    team.items.push_back(item);
    ++group.items;
    group.tokens += item.tokens;
    state.waiting_tokens += item.tokens;
    state.team_tokens[item.team] += item.tokens;
    expiry const last = expiry_of(state, item);
    state.expiries.insert(last);
    state.waiting.emplace(item.request, waiting_item{item, last});
}

void remove_item(queue_state& state, queue_item const& item)
{
    class_queue& group = state.classes[class_of(item.priority)];
    auto const team = group.teams.find(item.team);
    auto& items = team->second.items;
    auto const place = std::find_if(items.begin(), items.end(),
                                    [&](queue_item const& each)
                                    {
                                        return each.request == item.request;
                                    });
    items.erase(place);
    forget_item(state, item);
    end_team_if_empty(group, item.team);
}

// Rotates the teams until the deficit of one covers its first item. Terminates
// because each round adds a quantum to every deficit.
queue_item const* front_of(queue_state const& state, class_queue& group)
{
    while (!group.turns.empty())
    {
        team_id const team = group.turns.front();
        team_queue& queue = group.teams.find(team)->second;
        if (!group.is_turn_begun)
        {
            queue.deficit_tokens += state.options.quantum_tokens;
            group.is_turn_begun = true;
        }
        if (queue.deficit_tokens >= queue.items.front().tokens)
            return &queue.items.front();
        group.turns.pop_front();
        group.turns.push_back(team);
        group.is_turn_begun = false;
    }
    return nullptr;
}

void pop_front(queue_state& state, class_queue& group, queue_item const& item)
{
    team_queue& queue = group.teams.find(item.team)->second;
    queue.deficit_tokens -= item.tokens;
    queue.items.pop_front();
    forget_item(state, item);
    end_team_if_empty(group, item.team);
}

} // namespace jujubestand::admission
