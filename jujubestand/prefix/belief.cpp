#include <jujubestand/prefix/belief.hpp>

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace jujubestand::prefix
{

namespace
{

constexpr double ratio_step = 0.1;
constexpr double trust_step = 0.1;
constexpr double ratio_min = 0.1;
constexpr double ratio_max = 10.0;

/// Tokens held up to some point, and whether a gap leaves that in doubt.
struct held
{
    std::uint32_t tokens = 0;
    bool is_doubtful = false;
};

std::uint32_t to_estimated(belief const& state, std::uint64_t engine_tokens)
{
    double const tokens =
        static_cast<double>(engine_tokens) / state.token_ratio;
    return static_cast<std::uint32_t>(std::llround(tokens));
}

/// A level counts only as far as all levels before it do: an engine reuses
/// a prompt from its first block to the first missing one.
held held_up_to(belief const& state, level_key const& key, mono_time now,
                std::size_t depth)
{
    level_entry const* const entry = state.levels.peek(key);
    if (entry == nullptr || depth > state.options.levels_limit)
        return {};
    held before;
    if (entry->has_parent)
    {
        level_entry const* const parent = state.levels.peek(entry->parent);
        before = held_up_to(state, entry->parent, now, depth + 1);
        if (parent == nullptr || before.tokens < parent->tokens)
            return before;
    }
    if (now < entry->assumed_until)
        return held{entry->tokens, before.is_doubtful};
    if (entry->stored_end <= before.tokens)
        return before;
    bool const is_doubtful = entry->proved_at_gap < state.gaps;
    return held{entry->stored_end, before.is_doubtful || is_doubtful};
}

held held_of(belief const& state, chain const& prompt, mono_time now)
{
    held most;
    for (auto const& each : prompt.levels)
    {
        held const here = held_up_to(state, each.key, now, 0);
        if (here.tokens > most.tokens)
            most = here;
    }
    most.tokens = std::min(most.tokens, prompt.prompt_tokens);
    return most;
}

/// Puts the levels of a prompt in, each under the one before it.
void add_levels(belief& state, chain const& prompt)
{
    level const* parent = nullptr;
    for (auto const& each : prompt.levels)
    {
        if (state.levels.find(each.key) == nullptr)
        {
            level_entry entry;
            entry.tokens = each.tokens;
            entry.has_parent = parent != nullptr;
            if (parent != nullptr)
            {
                entry.parent = parent->key;
                entry.stored_end = parent->tokens;
            }
            state.levels.insert(each.key, entry);
        }
        parent = &each;
    }
}

void assume(belief& state, chain const& prompt, mono_time until)
{
    for (auto const& each : prompt.levels)
    {
        if (level_entry* const entry = state.levels.find(each.key))
            entry->assumed_until = until;
    }
}

/// First level that reaches past a token; the last one for what follows it.
level const* owner_of(chain const& prompt, std::uint32_t at_token)
{
    for (auto const& each : prompt.levels)
    {
        if (at_token < each.tokens)
            return &each;
    }
    return prompt.levels.empty() ? nullptr : &prompt.levels.back();
}

void clear_all(belief& state)
{
    state.levels.clear();
    state.blocks.clear();
    state.requests.clear();
    state.next_seq = 0;
    state.cleared_seq = 0;
}

/// \returns false if the event is of an earlier incarnation
bool is_current(belief& state, incarnation_id incarnation)
{
    if (incarnation > state.incarnation)
    {
        clear_all(state);
        state.incarnation = incarnation;
    }
    return incarnation == state.incarnation;
}

/// Counts lost events; what was proved before a gap is in doubt after it.
bool note_seq(belief& state, std::uint64_t seq)
{
    bool const is_gap = state.next_seq != 0 && seq > state.next_seq;
    if (is_gap)
    {
        state.events_lost += seq - state.next_seq;
        ++state.gaps;
    }
    state.next_seq = std::max(state.next_seq, seq + 1);
    return is_gap;
}

/// Tokens from `from` to `to` are stored: moves the end of the levels that
/// were whole up to `from`.
void extend_levels(belief& state, chain const& prompt, std::uint32_t from,
                   std::uint32_t to)
{
    std::uint32_t level_start = 0;
    for (auto const& each : prompt.levels)
    {
        level_entry* const entry = state.levels.find(each.key);
        bool const touches = to > level_start && from < each.tokens;
        if (entry != nullptr && touches && entry->stored_end >= from)
        {
            std::uint32_t const end = std::min(to, entry->tokens);
            entry->stored_end = std::max(entry->stored_end, end);
            entry->proved_at_gap = state.gaps;
        }
        level_start = each.tokens;
    }
}

/// Stores one block unless a later event has already changed it.
bool store_block(belief& state, block_id block, block_entry const& entry)
{
    block_entry const* const current = state.blocks.find(block);
    if (current != nullptr && current->seq >= entry.seq)
        return current->is_stored;
    state.blocks.insert(block, entry);
    return true;
}

void store_blocks(belief& state, blocks_stored const& event,
                  chain const& prompt)
{
    std::uint64_t position = event.first_token;
    for (auto const block : event.blocks)
    {
        std::uint32_t const from = to_estimated(state, position);
        position += event.block_tokens;
        std::uint32_t const to = to_estimated(state, position);
        level const* const owner = owner_of(prompt, from);
        if (owner == nullptr)
            return;
        block_entry const entry{owner->key, from, event.seq, true};
        if (store_block(state, block, entry))
            extend_levels(state, prompt, from, to);
    }
}

void remove_block(belief& state, block_id block, std::uint64_t seq)
{
    block_entry* const current = state.blocks.find(block);
    if (current == nullptr)
    {
        state.blocks.insert(block, block_entry{{}, 0, seq, false});
        return;
    }
    if (current->seq >= seq)
        return;
    current->seq = seq;
    current->is_stored = false;
    if (level_entry* const owner = state.levels.find(current->owner))
    {
        owner->stored_end = std::min(owner->stored_end, current->at_token);
        owner->assumed_until = mono_time{};
    }
}

void update_token_ratio(belief& state, request_entry const& request,
                        std::uint32_t engine_tokens)
{
    if (request.levels.prompt_tokens == 0 || engine_tokens == 0)
        return;
    double const seen =
        static_cast<double>(engine_tokens) / request.levels.prompt_tokens;
    double const next =
        state.token_ratio + ratio_step * (seen - state.token_ratio);
    state.token_ratio = std::clamp(next, ratio_min, ratio_max);
}

void update_trust(belief& state, request_entry const& request,
                  std::uint32_t cached)
{
    if (!request.was_doubtful || request.believed_tokens == 0)
        return;
    double const seen =
        std::min(1.0, static_cast<double>(cached) / request.believed_tokens);
    state.trust += trust_step * (seen - state.trust);
}

/// What the answer reused is proved, whatever events were lost before it.
void confirm_levels(belief& state, chain const& prompt, std::uint32_t cached)
{
    for (auto const& each : prompt.levels)
    {
        level_entry* const entry = state.levels.find(each.key);
        if (entry != nullptr && each.tokens <= cached)
            entry->proved_at_gap = state.gaps;
    }
}

} // namespace

belief::belief(belief_options const& bounds)
    : options(bounds)
    , levels(bounds.levels_limit)
    , blocks(bounds.blocks_limit)
    , requests(bounds.requests_limit)
{
}

block_id to_block_id(std::string_view text) noexcept
{
    return XXH3_64bits(text.data(), text.size());
}

bool set_engine(belief& state, incarnation_id incarnation,
                std::string_view weights_version)
{
    if (incarnation < state.incarnation)
        return false;
    bool const is_same = incarnation == state.incarnation &&
                         weights_version == state.weights_version;
    if (is_same)
        return false;
    clear_all(state);
    state.incarnation = incarnation;
    state.weights_version = weights_version;
    return true;
}

std::uint32_t cached_tokens(belief const& state, chain const& prompt,
                            mono_time now)
{
    held const found = held_of(state, prompt, now);
    if (!found.is_doubtful)
        return found.tokens;
    return static_cast<std::uint32_t>(found.tokens * state.trust);
}

void take_start(belief& state, request_id const& request, chain const& prompt,
                mono_time now)
{
    held const before = held_of(state, prompt, now);
    add_levels(state, prompt);
    assume(state, prompt, now + state.options.running_lifetime);
    state.requests.insert(request, request_entry{prompt, before.tokens,
                                                 before.is_doubtful, false});
}

void take_answer(belief& state, answer_usage const& usage, mono_time now)
{
    request_entry* const request = state.requests.find(usage.request);
    if (request == nullptr || request->is_answered)
        return;
    request->is_answered = true;
    update_token_ratio(state, *request, usage.prompt_tokens);
    std::uint32_t const cached = to_estimated(state, usage.cached_tokens);
    update_trust(state, *request, cached);
    confirm_levels(state, request->levels, cached);
    assume(state, request->levels, now + state.options.unconfirmed_lifetime);
}

void take_failure(belief& state, request_id const& request, mono_time now)
{
    request_entry* const entry = state.requests.find(request);
    if (entry == nullptr || entry->is_answered)
        return;
    entry->is_answered = true;
    assume(state, entry->levels, now);
}

bool take_event(belief& state, blocks_stored const& event)
{
    if (!is_current(state, event.incarnation))
        return false;
    bool const is_gap = note_seq(state, event.seq);
    if (event.seq < state.cleared_seq)
        return is_gap;
    if (request_entry* const request = state.requests.find(event.request))
        store_blocks(state, event, request->levels);
    return is_gap;
}

bool take_event(belief& state, blocks_removed const& event)
{
    if (!is_current(state, event.incarnation))
        return false;
    bool const is_gap = note_seq(state, event.seq);
    for (auto const block : event.blocks)
        remove_block(state, block, event.seq);
    return is_gap;
}

bool take_event(belief& state, cache_cleared const& event)
{
    if (!is_current(state, event.incarnation))
        return false;
    bool const is_gap = note_seq(state, event.seq);
    if (event.seq < state.cleared_seq)
        return is_gap;
    state.cleared_seq = event.seq;
    state.levels.clear();
    state.blocks.clear();
    return is_gap;
}

} // namespace jujubestand::prefix
