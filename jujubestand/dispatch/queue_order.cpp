#include <jujubestand/dispatch/queue_order.hpp>

#include <algorithm>
#include <cmath>
#include <queue>
#include <unordered_map>

namespace jujubestand::dispatch
{

namespace
{

/// A new call may be expected to wait for this share of the time that it has.
/// The rest covers errors of the estimate, and the part of its target that a
/// caller which was refused before has used already.
constexpr double admission_share = 0.75;

/// Teams whose use differs by less count as equal, as one quantum of the
/// deficit round robin in `admission`.
constexpr double quantum_tokens = 2'048;

/// Callers return only if Retry-After is at most this share of their time.
constexpr double return_share = 1.0 / 3;

// Expected time from sending a call to its first output.
double service_time(priority_flow const* flow, queue_entry const& entry,
                    queue_terms const& terms)
{
    double const least = to_ms(terms.service_time_min);
    std::optional<double> const measured =
        flow == nullptr ? std::nullopt : measured_service_ms(*flow, terms.now);
    if (measured)
        return std::max(least, *measured);
    if (terms.prefill_tokens_per_ms <= 0)
        return least;
    return std::max(least, entry.tokens / terms.prefill_tokens_per_ms);
}

bool is_earlier(queue_entry const* left, queue_entry const* right)
{
    return left->due_at != right->due_at ? left->due_at < right->due_at
                                         : left->key < right->key;
}

using call_list = std::vector<queue_entry const*>;

/// Calls of one priority, in the order of sending.
struct priority_list
{
    priority_flow const* flow = nullptr;
    call_list calls;
    std::size_t next = 0;
    /// One of the calls can be in time.
    bool has_in_time = false;
    double owed_tokens = 0;
    double ahead_tokens = 0;
    double returning_tokens = 0;
    std::optional<double> rate;
};

/// By priority.
using priority_lists = std::map<std::uint8_t, priority_list>;

/// The next call of a team, ordered by the tokens that the team used.
struct team_turn
{
    double used_quanta = 0;
    queue_entry const* call = nullptr;
};

struct is_later_turn
{
    bool operator()(team_turn const& left, team_turn const& right) const
    {
        if (left.used_quanta != right.used_quanta)
            return left.used_quanta > right.used_quanta;
        return is_earlier(right.call, left.call);
    }
};

// Appends the calls of a group: the team that used least is next, and each call
// counts for its team. The recently used tokens are what deficit round robin
// keeps as deficits; the queue is ordered anew each time, without a rotation.
void append_fairly(call_list& result, call_list group,
                   std::unordered_map<std::string_view, double>& used)
{
    std::sort(group.begin(), group.end(), is_earlier);
    std::unordered_map<std::string_view, call_list> by_team;
    for (auto const* call : group)
        by_team[call->team].push_back(call);
    std::unordered_map<std::string_view, std::size_t> next;
    std::priority_queue<team_turn, std::vector<team_turn>, is_later_turn> turns;
    auto const add_turn = [&](std::string_view team)
    {
        auto const& calls = by_team[team];
        if (next[team] < calls.size())
            turns.push(
                {std::floor(used[team] / quantum_tokens), calls[next[team]]});
    };
    for (auto const& [team, calls] : by_team)
        add_turn(team);
    while (!turns.empty())
    {
        auto const* const call = turns.top().call;
        turns.pop();
        result.push_back(call);
        used[call->team] += call->tokens;
        ++next[call->team];
        add_turn(call->team);
    }
}

// Orders the calls of one priority: those that can be in time come first.
void order_list(priority_list& list, queue_terms const& terms)
{
    std::unordered_map<std::string_view, double> used;
    call_list in_time;
    call_list late;
    for (auto const* call : list.calls)
    {
        double const time_left = to_ms(call->due_at - terms.now);
        bool const is_late = !call->is_committed &&
                             time_left < service_time(list.flow, *call, terms);
        (is_late ? late : in_time).push_back(call);
        if (list.flow != nullptr)
            used[call->team] = team_use(*list.flow, call->team, terms.now);
    }
    list.has_in_time = !in_time.empty();
    list.calls.clear();
    append_fairly(list.calls, std::move(in_time), used);
    append_fairly(list.calls, std::move(late), used);
}

priority_lists list_calls(pool_flow const& flow,
                          std::vector<queue_entry> const& entries,
                          queue_terms const& terms)
{
    priority_lists lists;
    for (auto const& entry : entries)
        lists[entry.priority].calls.push_back(&entry);
    for (auto& [priority, list] : lists)
    {
        auto const known = flow.priorities.find(priority);
        if (known != flow.priorities.end())
        {
            list.flow = &known->second;
            list.owed_tokens = list.flow->owed_tokens;
            list.returning_tokens = list.flow->returning_tokens;
            list.rate = accepted_rate(*list.flow, list.calls.front()->tokens);
        }
        order_list(list, terms);
    }
    return lists;
}

bool has_next(priority_list const& list)
{
    return list.next < list.calls.size();
}

// The list that the next call comes from: the most urgent one, unless it owes
// less urgent calls their share.
priority_lists::iterator select_list(priority_lists& lists)
{
    auto chosen = lists.end();
    for (auto at = lists.begin(); at != lists.end(); ++at)
    {
        if (!has_next(at->second))
            continue;
        chosen = at;
        if (at->second.owed_tokens <= 0)
            break;
    }
    return chosen;
}

// Takes the next call and updates what is owed as if it were accepted.
// Returns whether more urgent calls are left.
bool take_next(priority_lists& lists, priority_lists::iterator chosen)
{
    double const tokens = chosen->second.calls[chosen->second.next]->tokens;
    bool is_before_urgent = false;
    for (auto at = lists.begin(); at != chosen; ++at)
    {
        if (!has_next(at->second))
            continue;
        at->second.owed_tokens -= tokens;
        is_before_urgent = true;
    }
    ++chosen->second.next;
    chosen->second.owed_tokens += owed_for(tokens);
    return is_before_urgent;
}

bool is_standing(pool_flow const& flow, std::vector<queue_entry> const& entries,
                 mono_time now)
{
    std::chrono::milliseconds longest{0};
    for (auto const& entry : entries)
        longest = std::max(longest, entry.target_latency);
    return flow.waiting_since && now - *flow.waiting_since > longest;
}

// When a refused caller should return: when the calls ahead and those that
// return before it leave it room. One that could then only be late would take
// the room of a call that can be in time, and would be refused if the gateway
// saw how old it is; it is told all of the time that it has.
void set_retry_after(queue_place& place, priority_list& list, double service_ms,
                     bool is_queue_standing, queue_terms const& terms)
{
    auto const& entry = place.entry;
    double const allowed_ms =
        admission_share *
        std::max(0.0, to_ms(entry.target_latency) - service_ms);
    double const time_left_ms = to_ms(entry.deadline - terms.now);
    double const room_ms =
        list.rate ? (list.ahead_tokens + list.returning_tokens) / *list.rate -
                        allowed_ms
                  : place.wait_ms / 2;
    double retry_ms = std::max(to_ms(terms.retry_after_min), room_ms);
    bool const is_late_then =
        retry_ms + allowed_ms + service_ms > to_ms(entry.due_at - terms.now);
    if (is_queue_standing && is_late_then)
        retry_ms = std::max(retry_ms, time_left_ms);
    place.retry_after = std::chrono::milliseconds{static_cast<std::int64_t>(
        std::min(std::ceil(retry_ms), to_ms(terms.retry_after_max)))};
    place.is_returning = retry_ms <= time_left_ms * return_share;
    if (place.is_returning)
        list.returning_tokens += entry.tokens;
}

// Decides whether a call can still be useful at its place.
void judge(queue_place& place, priority_list& list, bool is_queue_standing,
           bool has_in_time, queue_terms const& terms)
{
    auto const& entry = place.entry;
    bool const is_new = terms.newcomer == entry.key;
    bool const is_rate_known = list.rate.has_value();
    if (is_rate_known)
        place.wait_ms = list.ahead_tokens / *list.rate;
    else if (is_new)
        place.wait_ms = terms.assumed_wait_ms;
    double const service_ms = service_time(list.flow, entry, terms);
    double const share = is_new && is_rate_known ? admission_share : 1.0;
    double const measured_wait_ms = is_rate_known ? place.wait_ms : 0.0;
    double const until_deadline = to_ms(entry.deadline - terms.now);
    double const until_due = to_ms(entry.due_at - terms.now);
    bool const is_unreachable =
        place.wait_ms > (until_deadline - service_ms) * share;
    // A refusal helps only if the room goes to a call that is then in time.
    bool const is_late = is_queue_standing && has_in_time &&
                         measured_wait_ms > (until_due - service_ms) * share;
    place.is_refused = !entry.is_committed && (is_unreachable || is_late);
    if (place.is_refused)
        set_retry_after(place, list, service_ms, is_queue_standing, terms);
    else
        list.ahead_tokens += entry.tokens;
}

} // namespace

std::vector<queue_place> plan_queue(pool_flow const& flow,
                                    std::vector<queue_entry> const& entries,
                                    queue_terms const& terms)
{
    auto lists = list_calls(flow, entries, terms);
    bool const is_queue_standing = is_standing(flow, entries, terms.now);
    std::vector<queue_place> result;
    result.reserve(entries.size());
    for (auto chosen = select_list(lists); chosen != lists.end();
         chosen = select_list(lists))
    {
        priority_list& list = chosen->second;
        queue_place place;
        place.entry = *list.calls[list.next];
        bool const has_in_time = std::any_of(lists.begin(), std::next(chosen),
                                             [](auto const& row)
                                             {
                                                 return row.second.has_in_time;
                                             });
        judge(place, list, is_queue_standing, has_in_time, terms);
        if (place.is_refused)
            ++list.next;
        else
            place.is_before_urgent = take_next(lists, chosen);
        result.push_back(place);
    }
    return result;
}

} // namespace jujubestand::dispatch
