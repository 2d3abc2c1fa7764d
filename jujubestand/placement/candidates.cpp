#include <jujubestand/placement/candidates.hpp>

#include <algorithm>
#include <jujubestand/placement/rendezvous.hpp>
#include <jujubestand/placement/upstream_rules.hpp>

namespace jujubestand::placement
{

std::vector<ranked_upstream> rank_upstreams(placement_state const& state,
                                            placement_request const& request,
                                            prefix::level_key const& key,
                                            std::size_t count, mono_time now)
{
    std::vector<ranked_upstream> best;
    auto const half_distance = std::chrono::duration<double, std::milli>(
        state.options.half_weight_distance);
    for (std::size_t position = 0; position < state.views.size(); ++position)
    {
        upstream_view const& view = state.views[position];
        if (!is_candidate(view, request, now, state.options.sent_work_lifetime))
            continue;
        double const weight =
            1.0 / (1.0 + std::chrono::duration<double, std::milli>(
                             view.membership.distance) /
                             half_distance);
        double const score =
            rendezvous_score(key.high ^ key.low, view.name_hash, weight);
        best.push_back(ranked_upstream{position, score});
    }
    std::size_t const result_size = std::min(count, best.size());
    std::partial_sort(
        best.begin(), best.begin() + static_cast<std::ptrdiff_t>(result_size),
        best.end(),
        [](ranked_upstream const& left, ranked_upstream const& right)
        {
            return left.score > right.score;
        });
    best.resize(result_size);
    return best;
}

// If the prompt contains a long shared text, that text ends at this level.
std::size_t heaviest_level(prefix::chain const& prompt)
{
    std::size_t heaviest = 0;
    std::uint32_t most_tokens = 0;
    std::uint32_t previous_tokens = 0;
    for (std::size_t position = 0; position < prompt.levels.size(); ++position)
    {
        std::uint32_t const tokens = prompt.levels[position].tokens;
        if (tokens - previous_tokens >= most_tokens)
        {
            most_tokens = tokens - previous_tokens;
            heaviest = position;
        }
        previous_tokens = tokens;
    }
    return heaviest;
}

void add_unique(std::vector<std::size_t>& into, std::size_t view)
{
    if (std::find(into.begin(), into.end(), view) == into.end())
        into.push_back(view);
}

void add_from_history(placement_state const& state,
                      placement_request const& request, mono_time now,
                      std::vector<std::size_t>& into)
{
    auto const& levels = request.prompt.levels;
    for (std::size_t depth = levels.size(); depth > 0; --depth)
    {
        prefix::level const& each = levels[depth - 1];
        placed_level const* const placed = state.history.peek(each.key);
        if (placed == nullptr ||
            now - placed->at > state.options.history_lifetime)
            continue;
        for (auto const& upstream : placed->upstreams)
        {
            auto const found = state.index.find(upstream);
            if (found == state.index.end())
                continue;
            upstream_view const& view = state.views[found->second];
            if (is_candidate(view, request, now,
                             state.options.sent_work_lifetime))
                add_unique(into, found->second);
        }
        return;
    }
}

// Keeps an alternative among the probed upstreams when all those that cache the
// prefix are overloaded.
std::optional<std::size_t> less_busy_of_two(placement_state const& state,
                                            placement_request const& request,
                                            mono_time now,
                                            std::uint64_t random_bits)
{
    std::vector<std::size_t> candidates;
    for (std::size_t position = 0; position < state.views.size(); ++position)
    {
        if (is_candidate(state.views[position], request, now,
                         state.options.sent_work_lifetime))
            candidates.push_back(position);
    }
    if (candidates.empty())
        return std::nullopt;
    std::size_t const first =
        candidates[(random_bits & 0xffffffffU) % candidates.size()];
    std::size_t const second =
        candidates[(random_bits >> 32U) % candidates.size()];
    microseconds const first_cost =
        estimated_wait(state.views[first], state.options, now) +
        round_trip_of(state.views[first]);
    microseconds const second_cost =
        estimated_wait(state.views[second], state.options, now) +
        round_trip_of(state.views[second]);
    return second_cost < first_cost ? second : first;
}

} // namespace jujubestand::placement
