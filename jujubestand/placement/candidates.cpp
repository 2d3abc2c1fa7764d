#include <jujubestand/placement/candidates.hpp>

#include <algorithm>
#include <jujubestand/placement/rendezvous.hpp>
#include <jujubestand/placement/upstream_rules.hpp>

namespace jujubestand::placement
{

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

// If the prompt contains a long shared text, that text ends at this level.
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

// Keeps an alternative among the probed upstreams when all those that cache the
// prefix are overloaded.
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

} // namespace jujubestand::placement
