#ifndef JUJUBESTAND_PREFIX_BELIEF_HPP
#define JUJUBESTAND_PREFIX_BELIEF_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <jujubestand/core/ids.hpp>
#include <jujubestand/core/recent_map.hpp>
#include <jujubestand/core/time.hpp>
#include <jujubestand/prefix/chain.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace jujubestand::prefix
{

/// \brief Bounds of a belief, and its lifetime without confirmation.
struct belief_options
{
    std::size_t blocks_limit = 65'536;
    std::size_t levels_limit = 16'384;
    std::size_t requests_limit = 4'096;
    /// How long an answered prompt counts as cached while no cache event
    /// lists its blocks.
    std::chrono::milliseconds unconfirmed_lifetime{10'000};
    /// How long a running prompt counts as being cached.
    std::chrono::milliseconds running_lifetime{60'000};
};

/// \brief Number of one cache block, from the text that the engine gives.
using block_id = std::uint64_t;

/// \brief Reads an engine's text for a block.
[[nodiscard]] block_id to_block_id(std::string_view text) noexcept;

/// \brief The engine cached blocks of one request, in order of its prompt.
struct blocks_stored
{
    std::uint64_t seq = 0;
    incarnation_id incarnation;
    request_id request;
    std::uint32_t first_token = 0;
    std::uint32_t block_tokens = 16;
    std::vector<block_id> blocks;
};

/// \brief The engine evicted blocks.
struct blocks_removed
{
    std::uint64_t seq = 0;
    incarnation_id incarnation;
    std::vector<block_id> blocks;
};

/// \brief The engine emptied its cache.
struct cache_cleared
{
    std::uint64_t seq = 0;
    incarnation_id incarnation;
};

/// \brief Token counts that an answer reports of its prompt.
struct answer_usage
{
    request_id request;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t cached_tokens = 0;
};

/// \brief Where a block was stored and by which event it was last changed.
struct block_entry
{
    level_key owner;
    /// First token of the block, in the chain's estimated tokens.
    std::uint32_t at_token = 0;
    std::uint64_t seq = 0;
    bool is_stored = false;
};

/// \brief Estimated cache state of one level of a prompt.
struct level_entry
{
    bool has_parent = false;
    level_key parent;
    std::uint32_t tokens = 0;
    /// By cache events, tokens up to here are cached if the parent is.
    std::uint32_t stored_end = 0;
    /// Until then the level counts as cached by a running or answered request.
    mono_time assumed_until;
    /// Number of gaps seen when this was last proved.
    std::uint64_t proved_at_gap = 0;
};

/// \brief A request at the engine, for whose blocks events may still come.
struct request_entry
{
    chain levels;
    std::uint32_t believed_tokens = 0;
    bool was_doubtful = false;
    bool is_answered = false;
};

/// \brief Which levels one engine is estimated to have cached.
///
/// One belongs to each sidecar. It is of one incarnation and one weights
/// version; the keys of its levels carry team, model and adapter besides.
struct belief
{
    explicit belief(belief_options const& bounds = {});

    belief_options options;
    incarnation_id incarnation;
    std::string weights_version;
    recent_map<level_key, level_entry> levels;
    recent_map<block_id, block_entry> blocks;
    recent_map<request_id, request_entry> requests;
    std::uint64_t next_seq = 0;
    /// Events with a lower number are older than the last clearing.
    std::uint64_t cleared_seq = 0;
    std::uint64_t gaps = 0;
    std::uint64_t events_lost = 0;
    /// Engine's tokens per estimated token.
    double token_ratio = 1.0;
    /// Share of the doubtful tokens that turned out to be cached.
    double trust = 0.5;
};

/// \brief Clears the state if the engine is another one than before.
///
/// An engine's incarnations go up: one lower than the current is ignored.
/// \returns whether the belief was emptied
bool set_engine(belief& state, incarnation_id incarnation,
                std::string_view weights_version);

/// \brief Estimated tokens at the prompt's beginning that the engine holds.
[[nodiscard]] std::uint32_t cached_tokens(belief const& state,
                                          chain const& prompt, mono_time now);

/// \brief A request was handed to the engine, which will cache its prompt.
void take_start(belief& state, request_id const& request, chain const& prompt,
                mono_time now);

/// \brief A request's answer is complete and reports its usage.
void take_answer(belief& state, answer_usage const& usage, mono_time now);

/// \brief A request ended without a whole answer.
void take_failure(belief& state, request_id const& request, mono_time now);

/// \brief Cache events, in any order. \returns whether numbers are missing
/// before this one
bool take_event(belief& state, blocks_stored const& event);
bool take_event(belief& state, blocks_removed const& event);
bool take_event(belief& state, cache_cleared const& event);

} // namespace jujubestand::prefix

#endif
