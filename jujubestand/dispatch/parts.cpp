#include <jujubestand/dispatch/parts.hpp>

#include <algorithm>
#include <jujubestand/dispatch/standing.hpp>

namespace jujubestand::dispatch
{

namespace
{

/// Hashes of a prompt's shared parts under one version of the weights.
std::vector<status::part_hash>
hashes_of(call const& request, prompt_split const& split, std::uint64_t weights)
{
    std::string const scope = cache_scope(request.cache_owner, weights);
    std::vector<status::part_hash> result;
    for (auto const& part : split.shared)
        result.push_back(status::hash_of(scope, part.id));
    return result;
}

/// Tokens of the longest cached prefix: a cached part is usable only if all
/// parts before it are cached.
template <class PartTokens>
double cached_prefix_tokens(prompt_split const& split,
                            std::vector<status::part_hash> const& hashes,
                            PartTokens const& part_tokens)
{
    constexpr std::uint32_t block_tokens = 16;
    double tokens = 0;
    for (std::size_t index = 0; index < hashes.size(); ++index)
    {
        std::uint32_t const size = split.shared[index].tokens;
        std::uint32_t const cached = part_tokens(hashes[index], size);
        tokens += std::min(cached, size);
        if (cached + block_tokens <= size)
            break;
    }
    return tokens;
}

std::uint32_t cached_part_tokens(status::cache_copy const& cache,
                                 status::part_hash part)
{
    auto const cached_part = cache.parts.find(part);
    return cached_part == cache.parts.end() ? 0 : cached_part->second;
}

void keep_best(std::vector<part_source>& sources, part_source const& candidate)
{
    auto const found = std::find_if(sources.begin(), sources.end(),
                                    [&](part_source const& row)
                                    {
                                        return row.weights == candidate.weights;
                                    });
    if (found == sources.end())
        sources.push_back(candidate);
    else if (candidate.tokens > found->tokens)
        *found = candidate;
}

} // namespace

prompt_split split_prompt(traffic::prompt const& model_prompt)
{
    prompt_split result;
    if (model_prompt.parts.empty())
    {
        result.own_tokens = model_prompt.input_tokens;
        return result;
    }
    result.shared.assign(model_prompt.parts.begin(),
                         model_prompt.parts.end() - 1);
    for (auto const& part : result.shared)
        result.shared_tokens += part.tokens;
    result.own_tokens = model_prompt.parts.back().tokens;
    result.home_part = result.shared.empty() ? model_prompt.parts.back().id
                                             : result.shared.back().id;
    return result;
}

double cached_tokens(state const& dispatcher, upstream const& target,
                     call const& request, prompt_split const& split,
                     std::uint64_t weights, mono_time now)
{
    return cached_prefix_tokens(
        split, hashes_of(request, split, weights),
        [&](status::part_hash part, std::uint32_t size)
        {
            auto const expected = target.expected_parts.find(part);
            bool const is_expected =
                expected != target.expected_parts.end() &&
                now - expected->second < dispatcher.limits.expected_parts_limit;
            return is_expected ? size : cached_part_tokens(target.cache, part);
        });
}

// One source for each version of the weights, since cached parts of one version
// can't be used with another. A fetch is a request to its source, so an engine
// with a limit is none.
std::vector<part_source> find_sources(state const& dispatcher,
                                      call const& request,
                                      prompt_split const& split, mono_time now)
{
    std::vector<part_source> result;
    for (auto const& [key, target] : dispatcher.upstreams)
    {
        if (target.record.pool != request.pool ||
            limits::applies(target.limit, now) ||
            !is_available(dispatcher, target, now))
            continue;
        auto const weights =
            check_weights(dispatcher, target, request.model_prompt->model, now);
        keep_best(result, {weights.version, target.record.where, target.key,
                           cached_tokens(dispatcher, target, request, split,
                                         weights.version, now),
                           dispatcher.limits.fetch_ms_per_token});
    }
    for (auto& row : result)
    {
        auto const hashes = hashes_of(request, split, row.weights);
        for (auto const& store : dispatcher.stores)
        {
            double const tokens = cached_prefix_tokens(
                split, hashes,
                [&](status::part_hash part, std::uint32_t)
                {
                    return cached_part_tokens(store.cache, part);
                });
            if (store.is_alive && tokens > row.tokens)
                row = {row.weights, store.where, 0, tokens,
                       dispatcher.limits.store_fetch_ms_per_token};
        }
    }
    return result;
}

part_source find_source(std::vector<part_source> const& sources,
                        std::uint64_t weights)
{
    for (auto const& row : sources)
    {
        if (row.weights == weights)
            return row;
    }
    return {};
}

std::optional<address> select_store(state const& dispatcher,
                                    call const& request,
                                    prompt_split const& split,
                                    double read_tokens, mono_time now)
{
    auto const wanted_weights =
        dispatcher.weights.find(request.model_prompt->model);
    bool const is_settled = wanted_weights == dispatcher.weights.end() ||
                            now - wanted_weights->second.back().since >
                                dispatcher.limits.save_weights_age;
    if (dispatcher.stores.empty() || !is_settled ||
        read_tokens < dispatcher.limits.save_tokens_min)
        return std::nullopt;
    auto const& store =
        dispatcher.stores[split.home_part % dispatcher.stores.size()];
    return store.is_alive ? std::optional(store.where) : std::nullopt;
}

std::string cache_scope(std::string const& owner, std::uint64_t weights)
{
    return owner + "." + std::to_string(weights);
}

// Ends like no scope of weights does.
std::string one_call_scope(std::string const& owner, std::uint64_t draw)
{
    return owner + "." + std::to_string(draw) + ".once";
}

} // namespace jujubestand::dispatch
