#include <jujubestand/dispatch/useful_first.hpp>

#include <algorithm>
#include <iterator>
#include <jujubestand/dispatch/decision_steps.hpp>
#include <jujubestand/dispatch/queue_order.hpp>
#include <jujubestand/dispatch/speeds.hpp>
#include <jujubestand/dispatch/upstreams.hpp>
#include <map>
#include <set>

namespace jujubestand::dispatch
{

namespace
{

/// Calls of one model that are tried without success in one review; trying all
/// takes too long on a gateway with a small share of a core and a long queue.
constexpr std::size_t attempts_limit = 16;

bool is_committed(call const& request)
{
    return request.software_version || !request.tried.empty();
}

queue_entry entry_of(call const& request)
{
    queue_entry entry;
    entry.key = request.key;
    entry.team = request.team;
    entry.priority = request.priority;
    entry.target_latency = request.target_latency;
    entry.due_at = request.arrived_at + request.target_latency;
    entry.deadline = request.deadline;
    entry.tokens = tokens_of(request);
    entry.is_committed = is_committed(request);
    return entry;
}

std::vector<queue_entry> waiting_entries(state const& dispatcher,
                                         std::string const& pool)
{
    std::vector<queue_entry> result;
    for (auto const& [key, request] : dispatcher.waiting)
    {
        if (request.pool == pool)
            result.push_back(entry_of(request));
    }
    return result;
}

queue_terms terms_of(state const& dispatcher, call const& request,
                     mono_time now)
{
    auto const& limits = dispatcher.limits;
    queue_terms terms;
    terms.now = now;
    if (request.model_prompt)
        terms.prefill_tokens_per_ms =
            pool_prefill_tokens_per_ms(dispatcher, request.pool, now);
    terms.service_time_min = limits.service_time_min;
    terms.retry_after_min = limits.return_margin;
    terms.retry_after_max = limits.limited_retry_limit;
    return terms;
}

pool_flow& begin_pool_turn(state& dispatcher, std::string const& pool,
                           std::vector<queue_entry> const& waiting,
                           mono_time now)
{
    record_need(dispatcher, pool, now);
    pool_flow& flow = dispatcher.flows[pool];
    begin_turn(flow, waiting, available_count(dispatcher, pool, now), now);
    return flow;
}

decision refuse_place(pool_flow& flow, call const& request,
                      queue_place const& place)
{
    if (place.is_returning)
        record_returning(flow, place.entry);
    return refuse(request, no_time_left(request), place.retry_after);
}

/// A review of the calls that wait for one pool.
struct pool_review
{
    state& dispatcher;
    pool_flow& flow;
    std::vector<queue_entry> waiting;
    pool_queue queue;
    mono_time now{};
    /// Calls that found no room, by model.
    std::map<std::string, std::size_t> failures;
    /// A call that less urgent calls are owed found no room.
    bool is_blocked = false;
    /// Model of that call while room is kept for it.
    std::optional<std::string> kept_model;
};

std::string model_of(call const& request)
{
    return request.model_prompt ? request.model_prompt->model : std::string();
}

// What only some upstreams can serve says nothing of the room at the others.
bool is_constrained(call const& request)
{
    return is_committed(request) || !request.reached.empty();
}

std::optional<choice> find_room(pool_review& review, queue_place const& place,
                                call const& request)
{
    auto const model = model_of(request);
    auto& failures = review.failures[model];
    if (review.kept_model == model || failures >= attempts_limit)
        return std::nullopt;
    auto chosen = choose(review.dispatcher, request, review.now);
    if (chosen || is_constrained(request))
        return chosen;
    ++failures;
    if (place.is_before_urgent && !review.is_blocked)
    {
        review.is_blocked = true;
        if (keeps_room(review.flow, true, review.now))
            review.kept_model = model;
    }
    return std::nullopt;
}

std::optional<decision> decide_place(pool_review& review,
                                     queue_place const& place)
{
    state& dispatcher = review.dispatcher;
    call const& request = dispatcher.waiting.at(place.entry.key);
    if (auto refusal = refuse_hopeless(dispatcher, request, review.now))
        return refusal;
    if (place.is_refused)
        return refuse_place(review.flow, request, place);
    if (auto const chosen = find_room(review, place, request))
    {
        record_accepted(review.flow, place.entry, review.waiting, review.now);
        return send(dispatcher, request, *chosen, review.now);
    }
    if (auto paused = refuse_paused(dispatcher, request, review.now))
        return paused;
    return refuse_limited(dispatcher, request, review.queue, 1.0, review.now);
}

void review_pool(state& dispatcher, std::string const& pool,
                 std::vector<decision>& result, mono_time now)
{
    auto entries = waiting_entries(dispatcher, pool);
    pool_flow& flow = begin_pool_turn(dispatcher, pool, entries, now);
    auto const terms =
        terms_of(dispatcher, dispatcher.waiting.at(entries.front().key), now);
    auto const places = plan_queue(flow, entries, terms);
    pool_review review{dispatcher,
                       flow,
                       std::move(entries),
                       {find_flow(dispatcher, pool, now), 0},
                       now,
                       {},
                       false,
                       {}};
    for (auto const& place : places)
    {
        auto const decided = decide_place(review, place);
        if (!decided)
        {
            ++review.queue.ahead;
            continue;
        }
        result.push_back(*decided);
        std::erase_if(review.waiting,
                      [&](queue_entry const& entry)
                      {
                          return entry.key == place.entry.key;
                      });
    }
    if (!review.is_blocked)
        (void)keeps_room(flow, false, now);
}

} // namespace

double tokens_of(call const& request)
{
    if (!request.model_prompt)
        return 1;
    return std::max(1.0,
                    static_cast<double>(request.model_prompt->input_tokens) +
                        request.model_prompt->output_tokens_limit);
}

decision submit_useful_first(state& dispatcher, call const& request,
                             mono_time now)
{
    if (auto const refusal = refuse_hopeless(dispatcher, request, now))
        return *refusal;
    auto const waiting = waiting_entries(dispatcher, request.pool);
    pool_flow& flow = begin_pool_turn(dispatcher, request.pool, waiting, now);
    auto entries = waiting;
    entries.push_back(entry_of(request));
    auto terms = terms_of(dispatcher, request, now);
    terms.newcomer = request.key;
    if (!waiting.empty())
        terms.assumed_wait_ms = expected_wait_ms(dispatcher, request, now);
    auto const places = plan_queue(flow, entries, terms);
    auto const place = std::find_if(places.begin(), places.end(),
                                    [&](queue_place const& row)
                                    {
                                        return row.entry.key == request.key;
                                    });
    // Room that no call waits for costs nothing.
    bool const is_next =
        waiting.empty() || (place == places.begin() && !place->is_refused);
    if (is_next)
    {
        if (auto const chosen = choose(dispatcher, request, now))
        {
            record_accepted(flow, place->entry, waiting, now);
            return send(dispatcher, request, *chosen, now);
        }
    }
    if (auto const refusal = refuse_paused(dispatcher, request, now))
        return *refusal;
    pool_queue const queue{
        find_flow(dispatcher, request.pool, now),
        static_cast<std::size_t>(std::count_if(places.begin(), place,
                                               [](queue_place const& row)
                                               {
                                                   return !row.is_refused;
                                               }))};
    if (auto const refusal =
            refuse_limited(dispatcher, request, queue,
                           dispatcher.limits.limited_wait_share, now))
        return *refusal;
    if (dispatcher.waiting.size() >= dispatcher.limits.waiting_limit)
        return refuse(
            request, reason{reason_code::queue_full, "too many calls wait", {}},
            no_upstream_retry_after);
    if (place->is_refused)
        return refuse_place(flow, request, *place);
    dispatcher.waiting[request.key] = request;
    return hold(request);
}

std::vector<decision> decide_useful_first(state& dispatcher, mono_time now)
{
    std::set<std::string> pools;
    for (auto const& [key, request] : dispatcher.waiting)
        pools.insert(request.pool);
    std::vector<decision> result;
    for (auto const& pool : pools)
        review_pool(dispatcher, pool, result, now);
    for (auto const& decided : result)
        dispatcher.waiting.erase(decided.call);
    return result;
}

void record_first_output(state& dispatcher, open_send const& send,
                         bool has_output, mono_time at)
{
    if (dispatcher.limits.queue_discipline != queue_discipline::useful_first)
        return;
    auto const target = dispatcher.upstreams.find(send.upstream);
    if (target != dispatcher.upstreams.end())
        record_service_time(dispatcher.flows[target->second.record.pool],
                            send.priority, at - send.sent_at, !has_output, at);
}

} // namespace jujubestand::dispatch
