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
void reset_outdated_refusals(link::probe_reply& reply,
                             upstream_view const& view,
                             placement_options const& options,
                             placement_request const& request, mono_time now)
{
    auto const age = now - view.reply_at;
    if (view.has_reply && age < options.sent_work_lifetime)
        return;
    reply.ready = true;
    reply.role.clear();
    reply.weights_version = request.weights_version;
    reply.leaving = reply.leaving && age < options.history_lifetime;
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
    reset_outdated_refusals(reply, view, state.options, request, now);
    reply.cached_tokens = 0;
    for (auto const& each : request.prompt.levels)
    {
        placed_level const* const placed = state.history.peek(each.key);
        if (placed == nullptr ||
            now - placed->at > state.options.history_lifetime)
            continue;
        auto const& placed_at = placed->upstreams;
        if (std::find(placed_at.begin(), placed_at.end(),
                      view.membership.upstream) != placed_at.end())
            reply.cached_tokens = each.tokens;
    }
    return reply;
}

void keep_cheaper(std::optional<choice>& best, choice const& candidate)
{
    if (candidate.expected_cost.rejection_reason != rejection::none)
        return;
    if (!best ||
        candidate.expected_cost.weighted_us < best->expected_cost.weighted_us)
        best = candidate;
}

std::optional<choice> choose_unprobed(placement_state const& state,
                                      placement_request const& request,
                                      mono_time now, std::uint64_t random_bits)
{
    std::vector<std::size_t> positions;
    add_from_history(state, request, now, positions);
    if (!request.prompt.levels.empty())
    {
        auto const& level =
            request.prompt.levels[heaviest_level(request.prompt)];
        for (auto const& each :
             rank_upstreams(state, request, level.key, 2, now))
            add_unique(positions, each.view_index);
    }
    if (auto const other = less_busy_of_two(state, request, now, random_bits))
        add_unique(positions, *other);
    std::optional<choice> best;
    for (auto const position : positions)
    {
        upstream_view const& view = state.views[position];
        auto const reply = assumed_reply(state, view, request, now);
        keep_cheaper(best,
                     choice{view.membership.upstream,
                            cost_of(state, view, request, reply, now), false});
    }
    return best;
}

void drop_expired_work(upstream_view& view, mono_time now,
                       std::chrono::milliseconds lifetime)
{
    while (!view.recent_work.empty() &&
           now - view.recent_work.front().at >= lifetime)
        view.recent_work.pop_front();
}

void record_placement(placement_state& state, prefix::level_key const& key,
                      upstream_id const& upstream, mono_time now)
{
    placed_level placed;
    if (placed_level const* const previous = state.history.find(key))
        placed = *previous;
    if (placed.upstreams[0] != upstream)
    {
        placed.upstreams[1] = placed.upstreams[0];
        placed.upstreams[0] = upstream;
    }
    placed.at = now;
    state.history.insert(key, placed);
}

} // namespace

placement_state::placement_state(placement_options const& parameters)
    : options(parameters)
    , history(parameters.history_levels)
{
}

void set_members(placement_state& state, std::span<member const> members)
{
    std::vector<upstream_view> views;
    std::unordered_map<upstream_id, std::size_t> index;
    for (auto const& each : members)
    {
        upstream_view view;
        auto const previous = state.index.find(each.upstream);
        if (previous != state.index.end())
            view = std::move(state.views[previous->second]);
        view.membership = each;
        view.name_hash = name_hash_of(each.upstream.text);
        index.emplace(each.upstream, views.size());
        views.push_back(std::move(view));
    }
    state.views = std::move(views);
    state.index = std::move(index);
}

probe_plan plan_probes(placement_state const& state,
                       placement_request const& request, mono_time now,
                       std::uint64_t random_bits)
{
    probe_plan plan;
    double const full_prefill_us =
        request.prompt.prompt_tokens * state.options.prefill_us_per_token;
    bool const is_worth_probing =
        full_prefill_us >=
        static_cast<double>(state.options.probe_min_prefill.count());
    if (!is_worth_probing || state.views.size() < 2)
        return plan;
    std::vector<std::size_t> positions;
    auto const& levels = request.prompt.levels;
    prefix::level_key const key = levels[heaviest_level(request.prompt)].key;
    auto const ranks =
        rank_upstreams(state, request, key, state.options.probes_limit, now);
    if (!ranks.empty())
        add_unique(positions, ranks.front().view_index);
    add_from_history(state, request, now, positions);
    if (positions.size() >= state.options.probes_limit)
        positions.resize(state.options.probes_limit - 1);
    if (auto const other = less_busy_of_two(state, request, now, random_bits))
        add_unique(positions, *other);
    for (auto const& each : ranks)
        add_unique(positions, each.view_index);
    positions.resize(std::min(positions.size(), state.options.probes_limit));
    for (auto const position : positions)
        plan.probes.push_back(state.views[position].membership.upstream);
    return plan;
}

void record_reply(placement_state& state, probe_outcome const& outcome,
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
        updated_round_trip(view.round_trip, now - outcome.sent_at);
    view.reply_at = now;
    view.probed_at = outcome.sent_at;
    view.reply = outcome.reply;
    drop_expired_work(view, now, state.options.sent_work_lifetime);
}

cost cost_of(placement_state const& state, upstream_view const& view,
             placement_request const& request, link::probe_reply const& reply,
             mono_time now)
{
    cost result;
    result.rejection_reason = rejection_of(view, request, reply);
    if (result.rejection_reason != rejection::none)
        return result;
    placement_options const& options = state.options;
    std::uint32_t const prompt = request.prompt.prompt_tokens;
    result.cached_tokens = std::min(reply.cached_tokens, prompt);
    double const per_token = reply.prefill_us_per_token > 0
                                 ? reply.prefill_us_per_token
                                 : options.prefill_us_per_token;
    double const factor = slow_start_factor(options, reply);
    result.prefill =
        scaled(factor * per_token * (prompt - result.cached_tokens));
    result.queue_wait =
        scaled(factor * static_cast<double>(reply.queue_wait_us));
    if (!has_adapter(reply, request.adapter))
        result.queue_wait += options.adapter_load_time;
    result.own_unreported_work = unreported_work_of(view, view.probed_at, now,
                                                    options.sent_work_lifetime);
    result.network_round_trip = round_trip_of(view);
    result.time_to_first_token = result.queue_wait +
                                 result.own_unreported_work + result.prefill +
                                 result.network_round_trip;
    double const reuse = options.reuse_weight * (1.0 - request.tail_weight);
    result.weighted_us =
        static_cast<double>(result.time_to_first_token.count()) +
        reuse * static_cast<double>(result.prefill.count());
    return result;
}

std::optional<choice> choose(placement_state const& state,
                             placement_request const& request,
                             std::span<probe_outcome const> replies,
                             mono_time now, std::uint64_t random_bits)
{
    std::optional<choice> best;
    for (auto const& each : replies)
    {
        auto const found = state.index.find(each.upstream);
        if (found == state.index.end())
            continue;
        upstream_view const& view = state.views[found->second];
        keep_cheaper(
            best, choice{each.upstream,
                         cost_of(state, view, request, each.reply, now), true});
    }
    if (best)
        return best;
    return choose_unprobed(state, request, now, random_bits);
}

void record_sent(placement_state& state, placement_request const& request,
                 choice const& chosen, mono_time now)
{
    auto const found = state.index.find(chosen.upstream);
    if (found == state.index.end())
        return;
    upstream_view& view = state.views[found->second];
    drop_expired_work(view, now, state.options.sent_work_lifetime);
    view.recent_work.push_back(sent_work{now, chosen.expected_cost.prefill});
    for (auto const& each : request.prompt.levels)
        record_placement(state, each.key, chosen.upstream, now);
}

void record_refusal(placement_state& state, upstream_id const& upstream,
                    bool is_leaving, mono_time now)
{
    auto const found = state.index.find(upstream);
    if (found == state.index.end())
        return;
    upstream_view& view = state.views[found->second];
    view.reply.leaving = view.reply.leaving || is_leaving;
    view.has_reply = view.reply.leaving;
    view.reply_at = now;
    view.recent_work.clear();
}

void record_usage(placement_state& state, placement_request const& request,
                  upstream_id const& upstream, std::uint32_t cached_tokens,
                  mono_time now)
{
    if (!state.index.contains(upstream))
        return;
    for (auto const& each : request.prompt.levels)
    {
        if (each.tokens <= cached_tokens)
            record_placement(state, each.key, upstream, now);
    }
}

} // namespace jujubestand::placement
