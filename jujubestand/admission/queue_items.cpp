#include <jujubestand/admission/queue_items.hpp>

#include <algorithm>

namespace jujubestand::admission
{

namespace
{

/// Updates counters and indexes for an item removed from its team's queue.
void untrack_item(queue_state& state, queue_item const& item)
{
    class_queue& priority_class = state.classes[class_of(item.priority)];
    --priority_class.items;
    priority_class.tokens -= item.tokens;
    state.waiting_tokens -= item.tokens;
    auto const team_total = state.team_tokens.find(item.team);
    team_total->second -= item.tokens;
    if (team_total->second == 0)
        state.team_tokens.erase(team_total);
    auto const position = state.waiting.find(item.request);
    state.expiries.erase(position->second.expiry_key);
    state.waiting.erase(position);
}

/// Removes a team without items from the rotation; its deficit is discarded.
void remove_team_if_empty(class_queue& priority_class, team_id const& team)
{
    auto const found = priority_class.teams.find(team);
    if (found == priority_class.teams.end() || !found->second.items.empty())
        return;
    priority_class.teams.erase(found);
    auto const turn = std::find(priority_class.rotation.begin(),
                                priority_class.rotation.end(), team);
    if (turn == priority_class.rotation.begin())
        priority_class.is_quantum_added = false;
    if (turn != priority_class.rotation.end())
        priority_class.rotation.erase(turn);
}

} // namespace

std::size_t class_of(std::uint8_t priority)
{
    return std::min<std::size_t>(priority, priority_classes - 1);
}

microseconds prefill_time(queue_state const& state, std::uint64_t tokens)
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
                              prefill_time(state, item.tokens));
    return expiry{at, item.request};
}

void push_item(queue_state& state, queue_item const& item)
{
    class_queue& priority_class = state.classes[class_of(item.priority)];
    team_queue& team = priority_class.teams[item.team];
    if (team.items.empty())
        priority_class.rotation.push_back(item.team);
    team.items.push_back(item);
    ++priority_class.items;
    priority_class.tokens += item.tokens;
    state.waiting_tokens += item.tokens;
    state.team_tokens[item.team] += item.tokens;
    expiry const key = expiry_of(state, item);
    state.expiries.insert(key);
    state.waiting.emplace(item.request, waiting_item{item, key});
}

void remove_item(queue_state& state, queue_item const& item)
{
    class_queue& priority_class = state.classes[class_of(item.priority)];
    auto const team = priority_class.teams.find(item.team);
    auto& items = team->second.items;
    auto const position = std::find_if(items.begin(), items.end(),
                                       [&](queue_item const& each)
                                       {
                                           return each.request == item.request;
                                       });
    items.erase(position);
    untrack_item(state, item);
    remove_team_if_empty(priority_class, item.team);
}

// Rotates the teams until the deficit of one covers its first item. Terminates
// because each round adds a quantum to every deficit.
queue_item const* front_of(queue_state const& state,
                           class_queue& priority_class)
{
    while (!priority_class.rotation.empty())
    {
        team_id const team = priority_class.rotation.front();
        team_queue& queue = priority_class.teams.find(team)->second;
        if (!priority_class.is_quantum_added)
        {
            queue.deficit_tokens += state.options.quantum_tokens;
            priority_class.is_quantum_added = true;
        }
        if (queue.deficit_tokens >= queue.items.front().tokens)
            return &queue.items.front();
        priority_class.rotation.pop_front();
        priority_class.rotation.push_back(team);
        priority_class.is_quantum_added = false;
    }
    return nullptr;
}

void pop_front(queue_state& state, class_queue& priority_class,
               queue_item const& item)
{
    team_queue& queue = priority_class.teams.find(item.team)->second;
    queue.deficit_tokens -= item.tokens;
    queue.items.pop_front();
    untrack_item(state, item);
    remove_team_if_empty(priority_class, item.team);
}

} // namespace jujubestand::admission
