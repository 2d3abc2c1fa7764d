#include <standins/engine/engine_model.hpp>

#include <algorithm>
#include <xxhash.h>

namespace jujubestand::standins
{

namespace
{

constexpr double shortest_step_us = 1;

std::size_t count_blocks(std::size_t tokens)
{
    return (tokens + block_tokens - 1) / block_tokens;
}

// The chain hash alone decides the text, so that an answer does not depend
// on the salt; the cache's key takes the salt in.
std::uint64_t cache_key(std::uint64_t chain_hash, std::uint64_t salt)
{
    return XXH3_64bits_withSeed(&chain_hash, sizeof(chain_hash), salt);
}

void add_keys(sequence& item, std::vector<std::uint64_t> const& hashes)
{
    for (std::uint64_t const hash : hashes)
        item.keys.push_back(cache_key(hash, item.salt));
}

/// \returns how many blocks are cached; the last token is always computed
std::size_t find_cached(engine_model const& engine, sequence const& item)
{
    if (item.prompt_tokens == 0)
        return 0;
    return count_cached(engine.cache, item.keys,
                        (item.prompt_tokens - 1) / block_tokens);
}

bool has_room(engine_model const& engine, sequence const& item)
{
    return engine.running.empty() ||
           engine.reserved_blocks + item.reserved_blocks <=
               engine.costs.cache_blocks;
}

void admit(engine_model& engine, sequence& item)
{
    item.is_running = true;
    item.generation = engine.cache.generation;
    engine.reserved_blocks += item.reserved_blocks;
    engine.waiting_tokens -= item.prompt_tokens;
    std::size_t const cached = find_cached(engine, item);
    std::vector<std::uint64_t> evicted;
    while (item.used_blocks < cached)
        use_block(engine.cache, item.keys[item.used_blocks++], evicted);
    item.cached_tokens = cached * block_tokens;
    item.prefilled_tokens = item.cached_tokens;
    engine.totals.prompt_tokens += item.prompt_tokens;
    engine.totals.cached_tokens += item.cached_tokens;
}

void admit_waiting(engine_model& engine)
{
    while (!engine.waiting.empty() &&
           engine.running.size() < engine.costs.slots)
    {
        auto const first = engine.waiting.begin();
        sequence_id const id = first->second;
        sequence& item = *engine.sequences.find(id);
        if (!has_room(engine, item))
            return;
        engine.waiting.erase(first);
        admit(engine, item);
        engine.running.push_back(id);
    }
}

void release(engine_model& engine, sequence& item)
{
    if (item.generation != engine.cache.generation)
        return;
    // From the end, so that a prefix's tail goes before its head.
    while (item.used_blocks > 0)
        release_block(engine.cache, item.keys[--item.used_blocks]);
}

/// Stores the blocks that are full up to `tokens` of prompt and answer.
void store_blocks(engine_model& engine, sequence& item, std::size_t tokens,
                  step_result& result)
{
    std::size_t const full = std::min(tokens / block_tokens, item.keys.size());
    if (item.generation != engine.cache.generation || full <= item.used_blocks)
        return;
    stored_blocks stored{item.name, item.used_blocks * block_tokens, {}};
    while (item.used_blocks < full)
    {
        std::uint64_t const key = item.keys[item.used_blocks++];
        use_block(engine.cache, key, result.evicted);
        stored.keys.push_back(key);
    }
    engine.totals.stored_blocks += stored.keys.size();
    result.stored.push_back(std::move(stored));
}

void produce(engine_model& engine, sequence_id id, sequence& item,
             step_result& result)
{
    std::vector<std::uint64_t> filled;
    item.text += next_token(item.chain, filled);
    add_keys(item, filled);
    ++engine.totals.generated_tokens;
    std::size_t const answered = item.text.size() / token_bytes;
    result.tokens.push_back(produced_token{id, answered >= item.max_tokens});
    if (!filled.empty())
        store_blocks(engine, item, item.prompt_tokens + answered, result);
}

void advance(engine_model& engine, sequence_id id, step_result& result)
{
    sequence& item = *engine.sequences.find(id);
    if (item.prefilled_tokens < item.prompt_tokens)
    {
        item.prefilled_tokens += item.step_tokens;
        engine.totals.prefilled_tokens += item.step_tokens;
        item.step_tokens = 0;
        store_blocks(engine, item, item.prefilled_tokens, result);
        if (item.prefilled_tokens < item.prompt_tokens)
            return;
    }
    produce(engine, id, item, result);
}

void drop(engine_model& engine, sequence_id id, sequence& item)
{
    if (item.is_running)
    {
        release(engine, item);
        engine.reserved_blocks -= item.reserved_blocks;
        std::erase(engine.running, id);
    }
    else
    {
        engine.waiting.erase({item.priority, item.arrival});
        engine.waiting_tokens -= item.prompt_tokens;
    }
    engine.sequences.erase(id);
}

} // namespace

sequence_id submit(engine_model& engine, sequence_request const& request)
{
    sequence item;
    item.name = request.name;
    item.salt =
        XXH3_64bits(request.cache_salt.data(), request.cache_salt.size());
    item.prompt_tokens =
        std::max<std::size_t>(1, count_tokens(request.prompt.size()));
    item.max_tokens = std::max<std::size_t>(1, request.max_tokens);
    item.reserved_blocks = count_blocks(item.prompt_tokens + item.max_tokens);
    item.priority = request.priority;
    item.arrival = engine.arrivals++;
    add_keys(item, extend(item.chain, request.prompt));
    engine.waiting_tokens += item.prompt_tokens;
    ++engine.totals.requests;
    auto const place = std::pair{item.priority, item.arrival};
    sequence_id const id = engine.sequences.insert(std::move(item));
    engine.waiting.emplace(place, id);
    return id;
}

void cancel(engine_model& engine, sequence_id id)
{
    sequence* const item = engine.sequences.find(id);
    if (item == nullptr)
        return;
    ++engine.totals.cancelled;
    drop(engine, id, *item);
}

void finish(engine_model& engine, sequence_id id)
{
    sequence* const item = engine.sequences.find(id);
    if (item == nullptr)
        return;
    ++engine.totals.finished;
    drop(engine, id, *item);
}

double begin_step(engine_model& engine)
{
    admit_waiting(engine);
    if (engine.running.empty())
        return 0;
    std::size_t budget = engine.costs.prefill_tokens_per_step;
    std::size_t decoding = 0;
    for (sequence_id const id : engine.running)
    {
        sequence& item = *engine.sequences.find(id);
        item.step_tokens =
            std::min(budget, item.prompt_tokens - item.prefilled_tokens);
        budget -= item.step_tokens;
        if (item.prefilled_tokens == item.prompt_tokens)
            ++decoding;
    }
    auto const prefilled =
        static_cast<double>(engine.costs.prefill_tokens_per_step - budget);
    return std::max(shortest_step_us,
                    engine.costs.step_us +
                        static_cast<double>(decoding) * engine.costs.decode_us +
                        prefilled * engine.costs.prefill_us_per_token);
}

step_result end_step(engine_model& engine)
{
    step_result result;
    ++engine.totals.steps;
    for (sequence_id const id : engine.running)
        advance(engine, id, result);
    engine.totals.evicted_blocks += result.evicted.size();
    return result;
}

} // namespace jujubestand::standins
