#include <jujubestand/prefix/chain.hpp>

#include <algorithm>
#include <array>
#include <limits>
#include <memory>
#include <new>
#include <xxhash.h>

namespace jujubestand::prefix
{

namespace
{

/// A cut at which the hash of all bytes so far was taken.
struct cut
{
    level_key key;
    std::size_t text_bytes = 0;
};

struct free_state
{
    void operator()(XXH3_state_t* state) const noexcept
    {
        XXH3_freeState(state);
    }
};

struct hasher
{
    std::unique_ptr<XXH3_state_t, free_state> state{XXH3_createState()};
    std::vector<cut> cuts;
    std::size_t text_bytes = 0;
};

void update(hasher& into, std::string_view bytes)
{
    XXH3_128bits_update(into.state.get(), bytes.data(), bytes.size());
}

void update_length(hasher& into, std::uint64_t length)
{
    std::array<char, sizeof length> packed{};
    for (std::size_t index = 0; index < packed.size(); ++index)
        packed[index] = static_cast<char>((length >> (8 * index)) & 0xffU);
    update(into, {packed.data(), packed.size()});
}

/// A length after the bytes keeps "ab","c" apart from "a","bc" without
/// making a prefix's hash depend on what follows it.
void update_with_length(hasher& into, std::string_view bytes)
{
    update(into, bytes);
    update_length(into, bytes.size());
}

// Half of the hash: each probe carries up to ten keys, two or three probes go
// out per request, and a collision only misplaces a request. Among 19 million
// keys the odds of any are one in a hundred thousand.
void take_cut(hasher& into)
{
    XXH128_hash_t const digest = XXH3_128bits_digest(into.state.get());
    into.cuts.push_back(cut{level_key{0, digest.low64}, into.text_bytes});
}

void update_text(hasher& into, std::string_view bytes)
{
    update(into, bytes);
    into.text_bytes += bytes.size();
}

/// The next of 1, 1.5, 2, 3, 4, 6, 8... times the first cut.
std::size_t next_cut(std::size_t at, std::size_t first)
{
    std::size_t power = first;
    while (power * 2 <= at)
        power *= 2;
    return at == power ? power + power / 2 : power * 2;
}

void hash_segment(hasher& into, segment const& part,
                  chain_options const& options)
{
    update_with_length(into, part.role);
    std::size_t done = 0;
    std::size_t const first = std::max<std::size_t>(options.first_cut_bytes, 2);
    for (std::size_t at = first; at < part.text.size();
         at = next_cut(at, first))
    {
        update_text(into, part.text.substr(done, at - done));
        take_cut(into);
        done = at;
    }
    update_text(into, part.text.substr(done));
    update_length(into, part.text.size());
    take_cut(into);
}

/// Whether a cut is kept depends on earlier cuts only, so that prompts with
/// a common beginning keep the same ones there. The last is always kept.
std::vector<cut> without_short(std::vector<cut> const& cuts,
                               std::size_t shortest)
{
    std::vector<cut> kept;
    std::size_t from = 0;
    for (auto const& each : cuts)
    {
        bool const is_last = &each == &cuts.back();
        if (each.text_bytes - from < shortest && !is_last)
            continue;
        kept.push_back(each);
        from = each.text_bytes;
    }
    return kept;
}

/// Outer levels are shared with other prompts, inner ones with the earlier
/// turns of the same conversation; those between matter least.
std::vector<cut> bounded(std::vector<cut> cuts, chain_options const& options)
{
    if (cuts.size() <= options.levels_limit)
        return cuts;
    std::size_t const outer =
        std::min(options.outer_levels, options.levels_limit);
    std::size_t const inner = options.levels_limit - outer;
    auto const first = cuts.begin() + static_cast<std::ptrdiff_t>(outer);
    auto const last = cuts.end() - static_cast<std::ptrdiff_t>(inner);
    cuts.erase(first, last);
    return cuts;
}

std::uint32_t to_tokens(std::size_t bytes, chain_options const& options)
{
    std::size_t const per_token =
        std::max<std::size_t>(options.bytes_per_token, 1);
    std::size_t const tokens = (bytes + per_token - 1) / per_token;
    return static_cast<std::uint32_t>(std::min<std::size_t>(
        tokens, std::numeric_limits<std::uint32_t>::max()));
}

} // namespace

chain make_chain(chain_seed const& seed, std::span<segment const> segments,
                 chain_options const& options)
{
    hasher running;
    if (!running.state)
        throw std::bad_alloc();
    XXH3_128bits_reset(running.state.get());
    update_with_length(running, seed.team);
    update_with_length(running, seed.model);
    update_with_length(running, seed.adapter);
    update_with_length(running, seed.weights_version);
    for (auto const& part : segments)
        hash_segment(running, part, options);
    chain result;
    result.prompt_tokens = to_tokens(running.text_bytes, options);
    auto const kept =
        bounded(without_short(running.cuts, options.level_bytes_min), options);
    for (auto const& each : kept)
        result.levels.push_back(
            level{each.key, to_tokens(each.text_bytes, options)});
    return result;
}

} // namespace jujubestand::prefix
