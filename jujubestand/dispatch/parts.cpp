#include <jujubestand/dispatch/parts.hpp>

#include <algorithm>
#include <jujubestand/dispatch/standing.hpp>

namespace jujubestand::dispatch
{

namespace
{

/// Hashes of a prompt's shared parts under one version of the weights.
std::vector<status::part_hash>
hashes_of(call const& asked, prompt_split const& split, std::uint64_t weights)
{
    std::string const scope = cache_scope(asked.cache_owner, weights);
    std::vector<status::part_hash> result;
    for (auto const& part : split.shared)
        result.push_back(status::hash_of(scope, part.id));
    return result;
}

/// Tokens of the longest cached prefix: a cached part is usable only if all
/// parts before it are cached.
template <class TokensHeld>
double held_in_order(prompt_split const& split,
                     std::vector<status::part_hash> const& hashes,
                     TokensHeld const& tokens_held)
{
    constexpr std::uint32_t block_tokens = 16;
    double tokens = 0;
    for (std::size_t at = 0; at < hashes.size(); ++at)
    {
        std::uint32_t const size = split.shared[at].tokens;
        std::uint32_t const has = tokens_held(hashes[at], size);
        tokens += std::min(has, size);
        if (has + block_tokens <= size)
            break;
    }
    return tokens;
}

std::uint32_t held_part(status::cache_copy const& cache, status::part_hash part)
{
    auto const held = cache.parts.find(part);
    return held == cache.parts.end() ? 0 : held->second;
}

void offer(std::vector<source>& all, source const& candidate)
{
    auto const found = std::find_if(all.begin(), all.end(),
                                    [&](source const& row)
                                    {
                                        return row.weights == candidate.weights;
                                    });
    if (found == all.end())
        all.push_back(candidate);
    else if (candidate.tokens > found->tokens)
        *found = candidate;
}

} // namespace

prompt_split split_of(traffic::prompt const& asked)
{
    prompt_split result;
    if (asked.parts.empty())
    {
        result.own_tokens = asked.input_tokens;
        return result;
    }
    result.shared.assign(asked.parts.begin(), asked.parts.end() - 1);
    for (auto const& part : result.shared)
        result.shared_tokens += part.tokens;
    result.own_tokens = asked.parts.back().tokens;
    result.home_part =
        result.shared.empty() ? asked.parts.back().id : result.shared.back().id;
    return result;
}

double cached_tokens(state const& all, upstream const& one, call const& asked,
                     prompt_split const& split, std::uint64_t weights,
                     mono_time now)
{
    return held_in_order(
        split, hashes_of(asked, split, weights),
        [&](status::part_hash part, std::uint32_t size)
        {
            auto const expected = one.expected_parts.find(part);
            bool const is_expected =
                expected != one.expected_parts.end() &&
                now - expected->second < all.limits.expected_parts_limit;
            return is_expected ? size : held_part(one.cache, part);
        });
}

// One source for each version of the weights, since cached parts of one version
// can't be used with another.
std::vector<source> find_sources(state const& all, call const& asked,
                                 prompt_split const& split, mono_time now)
{
    std::vector<source> result;
    for (auto const& [key, one] : all.upstreams)
    {
        if (one.record.pool != asked.pool || !is_in_use(all, one, now))
            continue;
        auto const weights = weights_of(all, one, asked.asked->model, now);
        offer(result,
              {weights.version, one.record.where, one.key,
               cached_tokens(all, one, asked, split, weights.version, now),
               all.limits.fetch_ms_per_token});
    }
    for (auto& row : result)
    {
        auto const hashes = hashes_of(asked, split, row.weights);
        for (auto const& store : all.stores)
        {
            double const tokens =
                held_in_order(split, hashes,
                              [&](status::part_hash part, std::uint32_t)
                              {
                                  return held_part(store.cache, part);
                              });
            if (store.is_alive && tokens > row.tokens)
                row = {row.weights, store.where, 0, tokens,
                       all.limits.store_fetch_ms_per_token};
        }
    }
    return result;
}

source source_for(std::vector<source> const& all, std::uint64_t weights)
{
    for (auto const& row : all)
    {
        if (row.weights == weights)
            return row;
    }
    return {};
}

std::optional<address> store_for(state const& all, call const& asked,
                                 prompt_split const& split, double read_tokens,
                                 mono_time now)
{
    auto const want = all.weights.find(asked.asked->model);
    bool const is_settled =
        want == all.weights.end() ||
        now - want->second.since > all.limits.save_weights_age;
    if (all.stores.empty() || !is_settled ||
        read_tokens < all.limits.save_tokens_min)
        return std::nullopt;
    auto const& store = all.stores[split.home_part % all.stores.size()];
    return store.is_alive ? std::optional(store.where) : std::nullopt;
}

std::string cache_scope(std::string const& owner, std::uint64_t weights)
{
    return owner + "." + std::to_string(weights);
}

} // namespace jujubestand::dispatch
