#include <jujubestand/placement/placement.hpp>

#include <algorithm>
#include <jujubestand/placement/candidates.hpp>
#include <jujubestand/placement/rendezvous.hpp>
#include <jujubestand/placement/upstream_rules.hpp>
#include <limits>

namespace jujubestand::placement
{

namespace
{

/// Resets the fields of an outdated reply that would rule the upstream out.
/// Otherwise, an upstream that gets no probes would never be used again; its
/// sidecar still refuses requests that it must not run.
void forget_old_refusals(link::probe_reply& reply, upstream_view const& view,
                         placement_options const& options,
                         placement_request const& request, mono_time now)
{
    auto const age = now - view.reply_at;
    if (view.has_reply && age < options.sent_lifetime)
        return;
    reply.ready = true;
    reply.role.clear();
    reply.weights_version = request.weights_version;
    reply.leaving = reply.leaving && age < options.memory_lifetime;
}

/// Substitute for the reply of an upstream that was not probed: its last reply,
/// with the cached tokens estimated from the placement history of this entry.
link::probe_reply assumed_reply(placement_state const& state,
                                upstream_view const& view,
                                placement_request const& request, mono_time now)
{
    link::probe_reply reply;
    if (view.has_reply)
        reply = view.reply;
    else
        reply.engine_age_us = std::numeric_limits<std::uint64_t>::max();
    forget_old_refusals(reply, view, state.options, request, now);
    reply.cached_tokens = 0;
    for (auto const& each : request.prompt.levels)
    {
        placed_level const* const placed = state.memory.peek(each.key);
        if (placed == nullptr ||
            now - placed->at > state.options.memory_lifetime)
            continue;
        auto const& where = placed->upstreams;
        if (std::find(where.begin(), where.end(), view.who.upstream) !=
            where.end())
            reply.cached_tokens = each.tokens;
    }
    return reply;
}

void keep_better(std::optional<choice>& best, choice const& next)
{
    if (next.expected.refused != rejection::none)
        return;
    if (!best || next.expected.weighed_us < best->expected.weighed_us)
        best = next;
}

std::optional<choice> choose_unprobed(placement_state const& state,
                                      placement_request const& request,
                                      mono_time now, std::uint64_t draw)
{
    std::vector<std::size_t> places;
    add_remembered(state, request, now, places);
    if (!request.prompt.levels.empty())
    {
        auto const& heavy =
            request.prompt.levels[heaviest_level(request.prompt)];
        for (auto const& each : ranks_of(state, request, heavy.key, 2, now))
            add_unique(places, each.view);
    }
    if (auto const other = less_busy_of_two(state, request, now, draw))
        add_unique(places, *other);
    std::optional<choice> best;
    for (auto const place : places)
    {
        upstream_view const& view = state.views[place];
        auto const reply = assumed_reply(state, view, request, now);
        keep_better(best,
                    choice{view.who.upstream,
                           cost_of(state, view, request, reply, now), false});
    }
    return best;
}

void forget_sent(upstream_view& view, mono_time now,
                 std::chrono::milliseconds lifetime)
{
    while (!view.sent.empty() && now - view.sent.front().at >= lifetime)
        view.sent.pop_front();
}

void remember(placement_state& state, prefix::level_key const& key,
              upstream_id const& upstream, mono_time now)
{
    placed_level placed;
    if (placed_level const* const known = state.memory.find(key))
        placed = *known;
    if (placed.upstreams[0] != upstream)
    {
        placed.upstreams[1] = placed.upstreams[0];
        placed.upstreams[0] = upstream;
    }
    placed.at = now;
    state.memory.insert(key, placed);
}

} // namespace

placement_state::placement_state(placement_options const& tuning)
    : options(tuning)
    , memory(tuning.memory_levels)
{
}

void set_members(placement_state& state, std::span<member const> members)
{
    std::vector<upstream_view> views;
    std::unordered_map<upstream_id, std::size_t> index;
    for (auto const& each : members)
    {
        upstream_view view;
        auto const known = state.index.find(each.upstream);
        if (known != state.index.end())
            view = std::move(state.views[known->second]);
        view.who = each;
        view.name_hash = name_hash_of(each.upstream.text);
        index.emplace(each.upstream, views.size());
        views.push_back(std::move(view));
    }
    state.views = std::move(views);
    state.index = std::move(index);
}

probe_plan plan_probes(placement_state const& state,
                       placement_request const& request, mono_time now,
                       std::uint64_t draw)
{
    probe_plan plan;
    double const whole_cost =
        request.prompt.prompt_tokens * state.options.prefill_us_per_token;
    bool const pays = whole_cost >= static_cast<double>(
                                        state.options.probe_pays_from.count());
    if (!pays || state.views.size() < 2)
        return plan;
    std::vector<std::size_t> places;
    auto const& levels = request.prompt.levels;
    prefix::level_key const key = levels[heaviest_level(request.prompt)].key;
    auto const ranks =
        ranks_of(state, request, key, state.options.probes_limit, now);
    if (!ranks.empty())
        add_unique(places, ranks.front().view);
    add_remembered(state, request, now, places);
    if (places.size() >= state.options.probes_limit)
        places.resize(state.options.probes_limit - 1);
    if (auto const other = less_busy_of_two(state, request, now, draw))
        add_unique(places, *other);
    for (auto const& each : ranks)
        add_unique(places, each.view);
    places.resize(std::min(places.size(), state.options.probes_limit));
    for (auto const place : places)
        plan.probes.push_back(state.views[place].who.upstream);
    return plan;
}

void take_reply(placement_state& state, probe_outcome const& outcome,
                mono_time now)
{
    auto const found = state.index.find(outcome.upstream);
    if (found == state.index.end())
        return;
    upstream_view& view = state.views[found->second];
    if (view.has_reply && view.probed_at > outcome.sent_at)
        return;
    view.has_reply = true;
    view.round_trip =
        learned_round_trip(view.round_trip, now - outcome.sent_at);
    view.reply_at = now;
    view.probed_at = outcome.sent_at;
    view.reply = outcome.reply;
    forget_sent(view, now, state.options.sent_lifetime);
}

cost cost_of(placement_state const& state, upstream_view const& view,
             placement_request const& request, link::probe_reply const& reply,
             mono_time now)
{
    cost result;
    result.refused = rejection_of(view, request, reply);
    if (result.refused != rejection::none)
        return result;
    placement_options const& options = state.options;
    std::uint32_t const prompt = request.prompt.prompt_tokens;
    result.cached_tokens = std::min(reply.cached_tokens, prompt);
    double const per_token = reply.prefill_us_per_token > 0
                                 ? reply.prefill_us_per_token
                                 : options.prefill_us_per_token;
    double const factor = slow_start_factor(options, reply);
    result.compute =
        scaled(factor * per_token * (prompt - result.cached_tokens));
    result.wait = scaled(factor * static_cast<double>(reply.queue_wait_us));
    if (!has_adapter(reply, request.adapter))
        result.wait += options.adapter_load;
    result.own_unseen =
        unseen_work(view, view.probed_at, now, options.sent_lifetime);
    result.distance = round_trip_of(view);
    result.first_token =
        result.wait + result.own_unseen + result.compute + result.distance;
    double const reuse = options.reuse_weight * (1.0 - request.tail_weight);
    result.weighed_us = static_cast<double>(result.first_token.count()) +
                        reuse * static_cast<double>(result.compute.count());
    return result;
}

std::optional<choice> choose(placement_state const& state,
                             placement_request const& request,
                             std::span<probe_outcome const> replies,
                             mono_time now, std::uint64_t draw)
{
    std::optional<choice> best;
    for (auto const& each : replies)
    {
        auto const found = state.index.find(each.upstream);
        if (found == state.index.end())
            continue;
        upstream_view const& view = state.views[found->second];
        keep_better(best, choice{each.upstream,
                                 cost_of(state, view, request, each.reply, now),
                                 true});
    }
    if (best)
        return best;
    return choose_unprobed(state, request, now, draw);
}

void take_sent(placement_state& state, placement_request const& request,
               choice const& chosen, mono_time now)
{
    auto const found = state.index.find(chosen.upstream);
    if (found == state.index.end())
        return;
    upstream_view& view = state.views[found->second];
    forget_sent(view, now, state.options.sent_lifetime);
    view.sent.push_back(sent_work{now, chosen.expected.compute});
    for (auto const& each : request.prompt.levels)
        remember(state, each.key, chosen.upstream, now);
}

void take_refusal(placement_state& state, upstream_id const& upstream,
                  bool is_leaving, mono_time now)
{
    auto const found = state.index.find(upstream);
    if (found == state.index.end())
        return;
    upstream_view& view = state.views[found->second];
    view.reply.leaving = view.reply.leaving || is_leaving;
    view.has_reply = view.reply.leaving;
    view.reply_at = now;
    view.sent.clear();
}

void take_usage(placement_state& state, placement_request const& request,
                upstream_id const& upstream, std::uint32_t cached_tokens,
                mono_time now)
{
    if (!state.index.contains(upstream))
        return;
    for (auto const& each : request.prompt.levels)
    {
        if (each.tokens <= cached_tokens)
            remember(state, each.key, upstream, now);
    }
}

} // namespace jujubestand::placement
