#include <jujubestand/placement/placement.hpp>

#include <algorithm>
#include <jujubestand/placement/rendezvous.hpp>
#include <limits>

namespace jujubestand::placement
{

namespace
{

bool is_excluded(placement_request const& request, upstream_id const& upstream)
{
    return std::find(request.excluded.begin(), request.excluded.end(),
                     upstream) != request.excluded.end();
}

bool has_adapter(link::probe_reply const& reply, std::string const& adapter)
{
    return adapter.empty() ||
           std::find(reply.adapters.begin(), reply.adapters.end(), adapter) !=
               reply.adapters.end();
}

rejection rejection_of(upstream_view const& view,
                       placement_request const& request,
                       link::probe_reply const& reply)
{
    if (view.who.is_leaving || reply.leaving)
        return rejection::leaving;
    if (!reply.ready)
        return rejection::not_ready;
    if (is_excluded(request, view.who.upstream))
        return rejection::excluded;
    if (!reply.role.empty() && reply.role != request.role)
        return rejection::other_role;
    bool const wants_version = !request.weights_version.empty();
    if (wants_version && reply.weights_version != request.weights_version)
        return rejection::other_weights;
    return rejection::none;
}

/// Whether an upstream is worth a probe, by what is known without one.
bool is_candidate(upstream_view const& view, placement_request const& request,
                  mono_time now, std::chrono::milliseconds lifetime)
{
    if (view.who.is_leaving || is_excluded(request, view.who.upstream))
        return false;
    bool const is_recent = view.has_reply && now - view.reply_at < lifetime;
    if (!is_recent)
        return true;
    return rejection_of(view, request, view.reply) == rejection::none;
}

/// Work sent after the probe that a reply answers: the reply cannot know it.
microseconds unseen_work(upstream_view const& view, mono_time probed_at,
                         mono_time now, std::chrono::milliseconds lifetime)
{
    microseconds total{0};
    for (auto const& each : view.sent)
    {
        bool const is_recent = now - each.at < lifetime;
        if (is_recent && each.at >= probed_at)
            total += each.work;
    }
    return total;
}

double slow_start_factor(placement_options const& options,
                         link::probe_reply const& reply)
{
    auto const window =
        std::chrono::duration_cast<microseconds>(options.slow_start);
    auto const age = static_cast<double>(reply.engine_age_us);
    auto const whole = static_cast<double>(window.count());
    if (age >= whole)
        return 1.0;
    return 1.0 + (options.slow_start_factor - 1.0) * (1.0 - age / whole);
}

microseconds scaled(double microseconds_count)
{
    return microseconds(static_cast<std::int64_t>(microseconds_count));
}

/// Follows a shorter time at once and a longer one slowly: a reply may be
/// late for other reasons than distance.
microseconds learned_round_trip(microseconds known, microseconds seen)
{
    if (known == microseconds{0} || seen < known)
        return seen;
    constexpr std::int64_t share = 16;
    return known + (seen - known) / share;
}

microseconds round_trip_of(upstream_view const& view)
{
    return std::max(view.round_trip, 2 * view.who.distance);
}

struct ranked
{
    std::size_t view = 0;
    double score = 0;
};

/// The candidates of one level, best first.
std::vector<ranked> ranks_of(placement_state const& state,
                             placement_request const& request,
                             prefix::level_key const& key, std::size_t count,
                             mono_time now)
{
    std::vector<ranked> best;
    auto const half =
        std::chrono::duration<double, std::milli>(state.options.distance_half);
    for (std::size_t place = 0; place < state.views.size(); ++place)
    {
        upstream_view const& view = state.views[place];
        if (!is_candidate(view, request, now, state.options.sent_lifetime))
            continue;
        double const weight =
            1.0 / (1.0 + std::chrono::duration<double, std::milli>(
                             view.who.distance) /
                             half);
        double const score =
            rendezvous_score(key.high ^ key.low, view.name_hash, weight);
        best.push_back(ranked{place, score});
    }
    std::size_t const kept = std::min(count, best.size());
    std::partial_sort(best.begin(),
                      best.begin() + static_cast<std::ptrdiff_t>(kept),
                      best.end(),
                      [](ranked const& left, ranked const& right)
                      {
                          return left.score > right.score;
                      });
    best.resize(kept);
    return best;
}

/// The level that brings the most tokens: the longest shared text ends
/// there, if the prompt has one.
std::size_t heaviest_level(prefix::chain const& prompt)
{
    std::size_t heaviest = 0;
    std::uint32_t most = 0;
    std::uint32_t before = 0;
    for (std::size_t place = 0; place < prompt.levels.size(); ++place)
    {
        std::uint32_t const tokens = prompt.levels[place].tokens;
        if (tokens - before >= most)
        {
            most = tokens - before;
            heaviest = place;
        }
        before = tokens;
    }
    return heaviest;
}

void add_unique(std::vector<std::size_t>& into, std::size_t view)
{
    if (std::find(into.begin(), into.end(), view) == into.end())
        into.push_back(view);
}

/// Upstreams at which the deepest remembered level was placed last.
void add_remembered(placement_state const& state,
                    placement_request const& request, mono_time now,
                    std::vector<std::size_t>& into)
{
    auto const& levels = request.prompt.levels;
    for (std::size_t depth = levels.size(); depth > 0; --depth)
    {
        prefix::level const& each = levels[depth - 1];
        placed_level const* const placed = state.memory.peek(each.key);
        if (placed == nullptr ||
            now - placed->at > state.options.memory_lifetime)
            continue;
        for (auto const& upstream : placed->upstreams)
        {
            auto const found = state.index.find(upstream);
            if (found == state.index.end())
                continue;
            upstream_view const& view = state.views[found->second];
            if (is_candidate(view, request, now, state.options.sent_lifetime))
                add_unique(into, found->second);
        }
        return;
    }
}

/// Wait at an upstream by its last reply, plus what was sent since.
microseconds known_wait(upstream_view const& view,
                        placement_options const& options, mono_time now)
{
    auto const unseen =
        unseen_work(view, view.probed_at, now, options.sent_lifetime);
    bool const is_recent =
        view.has_reply && now - view.reply_at < options.sent_lifetime;
    if (!is_recent)
        return unseen;
    return unseen + scaled(static_cast<double>(view.reply.queue_wait_us));
}

/// Of two drawn upstreams the one that is known to be less busy: keeps an
/// escape among the probes when all that hold the prefix are overloaded.
std::optional<std::size_t> less_busy_of_two(placement_state const& state,
                                            placement_request const& request,
                                            mono_time now, std::uint64_t draw)
{
    std::vector<std::size_t> open;
    for (std::size_t place = 0; place < state.views.size(); ++place)
    {
        if (is_candidate(state.views[place], request, now,
                         state.options.sent_lifetime))
            open.push_back(place);
    }
    if (open.empty())
        return std::nullopt;
    std::size_t const first = open[(draw & 0xffffffffU) % open.size()];
    std::size_t const second = open[(draw >> 32U) % open.size()];
    microseconds const first_cost =
        known_wait(state.views[first], state.options, now) +
        round_trip_of(state.views[first]);
    microseconds const second_cost =
        known_wait(state.views[second], state.options, now) +
        round_trip_of(state.views[second]);
    return second_cost < first_cost ? second : first;
}

/// Takes back what an old reply would rule out: nothing else would ask the
/// upstream again, and its sidecar refuses what it must not run.
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

/// A reply to stand in where there was no probe: what the upstream said
/// last, with the tokens that this entry remembers placing there.
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
