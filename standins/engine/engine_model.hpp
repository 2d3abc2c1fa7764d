#ifndef JUJUBESTAND_STANDINS_ENGINE_ENGINE_MODEL_HPP
#define JUJUBESTAND_STANDINS_ENGINE_ENGINE_MODEL_HPP

#include <cstddef>
#include <cstdint>
#include <jujubestand/core/slot_map.hpp>
#include <map>
#include <standins/engine/block_cache.hpp>
#include <standins/engine/token_text.hpp>
#include <string>
#include <utility>
#include <vector>

namespace jujubestand::standins
{

/// \brief What the engine's work costs, and its limits.
struct engine_costs
{
    double step_us = 8'000;
    /// For each running sequence that decodes in a step.
    double decode_us = 100;
    double prefill_us_per_token = 20;
    std::size_t prefill_tokens_per_step = 1'024;
    std::size_t slots = 64;
    std::size_t cache_blocks = 32'768;
};

/// \brief What a caller asked for.
struct sequence_request
{
    std::string name;
    std::string prompt;
    std::string cache_salt;
    std::size_t max_tokens = 0;
    std::uint8_t priority = 1;
};

/// \brief One request on its way through the engine.
struct sequence
{
    std::string name;
    text_chain chain;
    std::uint64_t salt = 0;
    std::uint64_t generation = 0;
    /// Cache keys of the blocks, prompt and answer.
    std::vector<std::uint64_t> keys;
    /// How many of `keys`, from the first on, this sequence uses.
    std::size_t used_blocks = 0;
    std::size_t prompt_tokens = 0;
    std::size_t cached_tokens = 0;
    std::size_t prefilled_tokens = 0;
    std::size_t max_tokens = 0;
    std::size_t reserved_blocks = 0;
    /// The answer so far.
    std::string text;
    std::uint8_t priority = 1;
    std::uint64_t arrival = 0;
    /// Prompt tokens that the step under way computes.
    std::size_t step_tokens = 0;
    bool is_running = false;
};

using sequence_id = slot_id<struct sequence_tag>;

/// \brief What a step did to the cache for one sequence.
struct stored_blocks
{
    std::string name;
    std::size_t first_token = 0;
    std::vector<std::uint64_t> keys;
};

/// \brief One more token of a sequence.
struct produced_token
{
    sequence_id id;
    bool is_last = false;
};

/// \brief Everything that a step brought about.
struct step_result
{
    std::vector<produced_token> tokens;
    std::vector<stored_blocks> stored;
    std::vector<std::uint64_t> evicted;
};

/// \brief Totals since the start.
struct engine_totals
{
    std::uint64_t requests = 0;
    std::uint64_t finished = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t steps = 0;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t cached_tokens = 0;
    std::uint64_t prefilled_tokens = 0;
    std::uint64_t generated_tokens = 0;
    std::uint64_t stored_blocks = 0;
    std::uint64_t evicted_blocks = 0;
};

/// \brief A continuously batching engine, without clock or socket.
struct engine_model
{
    engine_costs costs;
    block_cache cache;
    slot_map<sequence, sequence_tag> sequences;
    std::map<std::pair<std::uint8_t, std::uint64_t>, sequence_id> waiting;
    std::vector<sequence_id> running;
    std::size_t waiting_tokens = 0;
    std::size_t reserved_blocks = 0;
    std::uint64_t arrivals = 0;
    engine_totals totals;
};

/// \brief Takes a request into the queue.
sequence_id submit(engine_model& engine, sequence_request const& request);

/// \brief Drops a sequence, queued or running.
void cancel(engine_model& engine, sequence_id id);

/// \brief Admits what fits and plans the next step.
/// \returns how long it takes; 0 where there is nothing to do
double begin_step(engine_model& engine);

/// \brief Carries the planned step out. Sequences whose last token it brought
/// stay until `cancel`led or `finish`ed.
[[nodiscard]] step_result end_step(engine_model& engine);

/// \brief Lets go of a finished sequence.
void finish(engine_model& engine, sequence_id id);

} // namespace jujubestand::standins

#endif
