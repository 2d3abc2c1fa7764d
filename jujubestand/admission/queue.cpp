#include <jujubestand/admission/queue.hpp>

#include <algorithm>
#include <jujubestand/admission/queue_items.hpp>
#include <jujubestand/admission/start_limit.hpp>

namespace jujubestand::admission
{

namespace
{

constexpr double turnover_smoothing = 0.1;
constexpr double cost_smoothing = 0.05;
/// Below this prefill length the fixed cost of a request outweighs the cost
/// per token, so the sample is not used.
constexpr std::uint64_t min_sample_tokens = 512;

microseconds clamped_retry_delay(queue_options const& options,
                                 microseconds wait)
{
    return std::clamp<microseconds>(wait, options.retry_after_min,
                                    options.retry_after_max);
}

/// Limit on the prompt tokens at the engine before their first token. It
/// grows with the engine's speed, since a fixed limit would leave a fast
/// engine short of work.
double ahead_tokens_limit(queue_state const& state)
{
    auto const minimum = static_cast<double>(state.options.ahead_tokens);
    if (state.prefill_us_per_token <= 0)
        return minimum;
    auto const window =
        std::chrono::duration<double, std::micro>(state.options.ahead_time);
    return std::max(minimum, window.count() / state.prefill_us_per_token);
}

/// An engine with no prefill outstanding accepts a request of any length;
/// further requests only within `ahead_tokens_limit`.
bool has_room(queue_state const& state, queue_item const& item)
{
    if (state.prefilling_tokens == 0)
        return true;
    return static_cast<double>(state.prefilling_tokens + item.tokens) <=
           ahead_tokens_limit(state);
}

/// Drops expired requests as soon as they expire instead of when they reach
/// the front, so that the caller gets the error early.
void drop_expired(queue_state& state, mono_time now, schedule_result& into)
{
    while (!state.expiries.empty() && state.expiries.begin()->at <= now)
    {
        request_id const request = state.expiries.begin()->request;
        queue_item const item = state.waiting.find(request)->second.item;
        remove_item(state, item);
        into.dropped.push_back(dropped_item{
            request,
            reason{reason_code::deadline_passed, "waited too long", {}},
            clamped_retry_delay(state.options,
                                expected_wait(state, item.priority, now))});
    }
}

class_queue* most_urgent_class(queue_state& state)
{
    for (auto& priority_class : state.classes)
    {
        if (priority_class.items > 0)
            return &priority_class;
    }
    return nullptr;
}

offer_result refusal(reason_code code, std::string text,
                     microseconds retry_delay)
{
    offer_result result;
    result.why = reason{code, std::move(text), {}};
    result.retry_after = retry_delay;
    return result;
}

bool is_full(queue_state const& state, queue_item const& item)
{
    if (state.waiting.empty())
        return false;
    return state.waiting.size() >= state.options.waiting_limit ||
           state.waiting_tokens + item.tokens >
               state.options.waiting_tokens_limit;
}

/// The newest item of the least urgent class below `priority`.
std::optional<queue_item> displacement_candidate(queue_state const& state,
                                                 std::uint8_t priority)
{
    for (std::size_t index = priority_classes; index > class_of(priority) + 1;
         --index)
    {
        class_queue const& priority_class = state.classes[index - 1];
        if (!priority_class.rotation.empty())
            return priority_class.teams.find(priority_class.rotation.back())
                ->second.items.back();
    }
    return std::nullopt;
}

/// Whether dropping less urgent requests would free enough tokens and places
/// for the item.
bool can_make_room(queue_state const& state, queue_item const& item)
{
    std::uint64_t tokens = 0;
    std::size_t items = 0;
    for (std::size_t index = class_of(item.priority) + 1;
         index < priority_classes; ++index)
    {
        tokens += state.classes[index].tokens;
        items += state.classes[index].items;
    }
    bool const fits_tokens = state.waiting_tokens - tokens + item.tokens <=
                             state.options.waiting_tokens_limit;
    bool const fits_items =
        state.waiting.size() - items < state.options.waiting_limit;
    return items > 0 && (fits_tokens || items == state.waiting.size()) &&
           fits_items;
}

bool is_over_team_limit(queue_state const& state, queue_item const& item)
{
    auto const team_total = state.team_tokens.find(item.team);
    if (team_total == state.team_tokens.end())
        return false;
    std::uint64_t const limit = item.team_tokens_limit > 0
                                    ? item.team_tokens_limit
                                    : state.options.team_tokens_limit;
    return team_total->second + item.tokens > limit;
}

/// Updates the prefill cost per token from the observed time to first token.
/// The cost that an engine reports leaves out the time in which it shares its
/// steps with other requests.
void update_prefill_cost(queue_state& state, running_item const& item,
                         mono_time now)
{
    if (item.prefill_backlog_tokens < min_sample_tokens)
        return;
    double const observed = static_cast<double>((now - item.started).count()) /
                            static_cast<double>(item.prefill_backlog_tokens);
    state.prefill_us_per_token +=
        cost_smoothing * (observed - state.prefill_us_per_token);
    state.has_observed_cost = true;
}

void release_prefill_tokens(queue_state& state, running_item& item)
{
    if (!item.has_first_token)
        state.prefilling_tokens -= item.tokens;
    item.has_first_token = true;
}

microseconds stalled_time(queue_state const& state, mono_time now)
{
    if (state.running.empty() || now <= state.last_progress)
        return microseconds{0};
    auto const since_progress = now - state.last_progress;
    return since_progress > state.options.stall_timeout ? since_progress
                                                        : microseconds{0};
}

/// Time by which a request offered now would exceed its first-token deadline
/// or its overall deadline, whichever is earlier.
microseconds lateness(queue_state const& state, queue_item const& item,
                      mono_time now)
{
    mono_time const limit = std::min(item.deadline, item.first_token_deadline);
    if (limit == mono_time::max())
        return microseconds{0};
    mono_time const expected_first_token =
        now + expected_wait(state, item.priority, now) +
        prefill_time(state, item.tokens);
    return std::max(expected_first_token - limit, microseconds{0});
}

} // namespace

queue_state::queue_state(queue_options const& limits)
    : options(limits)
    , slots(limits.slots)
    , prefill_us_per_token(limits.prefill_us_per_token)
{
}

void apply_report(queue_state& state, engine_report const& report)
{
    if (report.slots > 0)
        state.slots = report.slots;
    if (report.prefill_us_per_token > 0 && !state.has_observed_cost)
        state.prefill_us_per_token = report.prefill_us_per_token;
}

microseconds expected_wait(queue_state const& state, std::uint8_t priority,
                           mono_time now)
{
    std::uint64_t tokens = state.prefilling_tokens;
    std::size_t items = 0;
    for (std::size_t index = 0; index <= class_of(priority); ++index)
    {
        tokens += state.classes[index].tokens;
        items += state.classes[index].items;
    }
    microseconds const compute =
        prefill_time(state, tokens) + stalled_time(state, now);
    microseconds const limited =
        std::max(compute, wait_for_limit(state, items, now));
    std::size_t const occupied = state.running.size() + items;
    if (occupied < state.slots)
        return limited;
    auto const excess = static_cast<double>(occupied - state.slots + 1);
    return std::max(limited, scaled(excess * state.slot_turnover_us));
}

offer_result offer(queue_state& state, queue_item const& offered, mono_time now)
{
    queue_item item = offered;
    item.tokens = std::max(item.tokens, 1U);
    microseconds const retry_delay = clamped_retry_delay(
        state.options, expected_wait(state, item.priority, now) / 2);
    if (state.waiting.contains(item.request) ||
        state.running.contains(item.request))
        return refusal(reason_code::malformed_request,
                       "this request is here already", retry_delay);
    if (now >= item.deadline)
        return refusal(reason_code::deadline_passed, "came too late",
                       microseconds{0});
    if (is_over_team_limit(state, item))
        return refusal(reason_code::team_limit,
                       "the team has too much waiting here", retry_delay);
    microseconds const late = lateness(state, item, now);
    if (late > microseconds{0})
        return refusal(reason_code::deadline_unreachable,
                       "the first token would come too late",
                       clamped_retry_delay(state.options, late));
    if (is_full(state, item) && !can_make_room(state, item))
        return refusal(reason_code::queue_full, "the queue is full",
                       retry_delay);
    offer_result result;
    result.is_accepted = true;
    while (is_full(state, item))
    {
        auto const victim = displacement_candidate(state, item.priority);
        if (!victim)
            break;
        remove_item(state, *victim);
        result.displaced.push_back(victim->request);
    }
    push_item(state, item);
    return result;
}

schedule_result schedule(queue_state& state, mono_time now)
{
    schedule_result result;
    drop_expired(state, now, result);
    while (state.running.size() < state.slots)
    {
        class_queue* const priority_class = most_urgent_class(state);
        if (priority_class == nullptr)
            break;
        queue_item const* const front = front_of(state, *priority_class);
        if (front == nullptr || !has_room(state, *front) ||
            !has_start_token(state, now))
            break;
        queue_item const item = *front;
        pop_front(state, *priority_class, item);
        count_start(state, now);
        state.prefilling_tokens += item.tokens;
        if (state.running.empty())
            state.last_progress = now;
        state.running.emplace(
            item.request,
            running_item{item.tokens, false, now, state.prefilling_tokens});
        result.started.push_back(item.request);
    }
    return result;
}

std::optional<mono_time> next_expiry(queue_state const& state)
{
    if (state.expiries.empty())
        return std::nullopt;
    return state.expiries.begin()->at;
}

std::optional<mono_time> next_schedule(queue_state const& state, mono_time now)
{
    auto const expiry_at = next_expiry(state);
    if (!expiry_at || !limits::applies(state.limit, now))
        return expiry_at;
    // A token that is there already waits for something else.
    auto const token_in = wait_for_limit(state, 0, now);
    if (token_in.count() == 0)
        return expiry_at;
    return std::min(*expiry_at, now + token_in);
}

bool cancel(queue_state& state, request_id const& request)
{
    auto const found = state.waiting.find(request);
    if (found == state.waiting.end())
        return false;
    queue_item const item = found->second.item;
    remove_item(state, item);
    return true;
}

std::vector<request_id> cancel_all(queue_state& state)
{
    std::vector<request_id> removed;
    removed.reserve(state.waiting.size());
    for (auto const& [request, each] : state.waiting)
        removed.push_back(request);
    state.waiting.clear();
    state.expiries.clear();
    state.team_tokens.clear();
    state.waiting_tokens = 0;
    state.classes = {};
    std::sort(removed.begin(), removed.end());
    return removed;
}

void record_first_token(queue_state& state, request_id const& request,
                        mono_time now)
{
    auto const found = state.running.find(request);
    if (found == state.running.end() || found->second.has_first_token)
        return;
    update_prefill_cost(state, found->second, now);
    state.last_progress = now;
    release_prefill_tokens(state, found->second);
}

void record_progress(queue_state& state, mono_time now)
{
    state.last_progress = std::max(state.last_progress, now);
}

void record_finish(queue_state& state, request_id const& request, mono_time now)
{
    auto const found = state.running.find(request);
    if (found == state.running.end())
        return;
    release_prefill_tokens(state, found->second);
    bool const was_full = state.running.size() >= state.slots;
    if (was_full && state.last_finish != mono_time{})
    {
        auto const interval =
            static_cast<double>((now - state.last_finish).count());
        state.slot_turnover_us +=
            turnover_smoothing * (interval - state.slot_turnover_us);
    }
    state.last_finish = now;
    state.running.erase(found);
}

} // namespace jujubestand::admission
