#include <algorithm>
#include <functional>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <jujubestand/prefix/belief.hpp>
#include <random>
#include <set>

namespace jujubestand::prefix
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint32_t block_tokens = 16;
constexpr std::uint32_t level_tokens = 64;
constexpr std::uint32_t level_blocks = level_tokens / block_tokens;
mono_time const start{1s};
mono_time const much_later{1h};

/// A prompt of three levels; equal numbers share them from the outside.
chain prompt_of(std::uint64_t preamble, std::uint64_t annex, std::uint64_t rest)
{
    chain prompt;
    prompt.levels = {
        level{{1, preamble}, level_tokens},
        level{{preamble, 1000 + annex}, 2 * level_tokens},
        level{{annex + 50 * preamble, 100'000 + rest}, 3 * level_tokens}};
    prompt.prompt_tokens = 3 * level_tokens;
    return prompt;
}

/// Blocks of a prompt as an engine would name them: by all before them.
std::vector<block_id> blocks_of(chain const& prompt)
{
    std::vector<block_id> blocks;
    for (auto const& each : prompt.levels)
    {
        for (std::uint64_t place = 0; place < level_blocks; ++place)
            blocks.push_back(each.key.low * 1000 + each.key.high * 97 + place);
    }
    return blocks;
}

blocks_stored stored(std::uint64_t seq, incarnation_id engine,
                     request_id const& request, chain const& prompt)
{
    return {seq, engine, request, 0, block_tokens, blocks_of(prompt)};
}

request_id request_of(std::uint64_t number)
{
    return request_id{1, number};
}

template <class T>
void shuffle(std::vector<T>& values)
{
    std::mt19937_64 draws(*rc::gen::arbitrary<std::uint64_t>());
    std::shuffle(values.begin(), values.end(), draws);
}

void run(belief& state, request_id const& request, chain const& prompt,
         std::uint32_t cached, mono_time now)
{
    take_start(state, request, prompt, now);
    take_answer(state, {request, prompt.prompt_tokens, cached}, now);
}

/// The belief of an engine that has run one prompt and stored its blocks.
belief belief_with(incarnation_id engine, chain const& prompt)
{
    belief state;
    set_engine(state, engine, "7");
    run(state, request_of(1), prompt, 0, start);
    take_event(state, stored(1, engine, request_of(1), prompt));
    return state;
}

} // namespace

TEST(belief, counts_what_events_stored)
{
    incarnation_id const engine{1};
    chain const prompt = prompt_of(1, 1, 1);
    belief const state = belief_with(engine, prompt);
    EXPECT_EQ(cached_tokens(state, prompt, much_later), 3 * level_tokens);
    EXPECT_EQ(cached_tokens(state, prompt_of(1, 1, 9), much_later),
              2 * level_tokens);
    EXPECT_EQ(cached_tokens(state, prompt_of(1, 9, 1), much_later),
              level_tokens);
    EXPECT_EQ(cached_tokens(state, prompt_of(9, 1, 1), much_later), 0U);
}

TEST(belief, counts_only_up_to_the_first_evicted_block)
{
    incarnation_id const engine{1};
    chain const prompt = prompt_of(1, 1, 1);
    belief state = belief_with(engine, prompt);
    block_id const evicted = blocks_of(prompt)[level_blocks + 1];
    take_event(state, blocks_removed{2, engine, {evicted}});
    EXPECT_EQ(cached_tokens(state, prompt, much_later),
              level_tokens + block_tokens);
}

TEST(belief, late_event_does_not_undo_a_newer_one)
{
    belief state;
    incarnation_id const engine{1};
    set_engine(state, engine, "7");
    chain const prompt = prompt_of(1, 1, 1);
    take_start(state, request_of(1), prompt, start);
    take_failure(state, request_of(1), start);
    take_event(state, blocks_removed{2, engine, blocks_of(prompt)});
    take_event(state, stored(1, engine, request_of(1), prompt));
    EXPECT_EQ(cached_tokens(state, prompt, much_later), 0U);
}

TEST(belief, unconfirmed_answer_lasts_a_while_only)
{
    belief state;
    set_engine(state, incarnation_id{1}, "7");
    chain const prompt = prompt_of(1, 1, 1);
    run(state, request_of(1), prompt, 0, start);
    EXPECT_EQ(cached_tokens(state, prompt, start + 1s), 3 * level_tokens);
    EXPECT_EQ(cached_tokens(state, prompt, start + 11s), 0U);
}

TEST(belief, failed_request_vouches_for_nothing)
{
    belief state;
    set_engine(state, incarnation_id{1}, "7");
    chain const prompt = prompt_of(1, 1, 1);
    take_start(state, request_of(1), prompt, start);
    EXPECT_EQ(cached_tokens(state, prompt, start), 3 * level_tokens);
    take_failure(state, request_of(1), start);
    EXPECT_EQ(cached_tokens(state, prompt, start), 0U);
}

TEST(belief, gap_leaves_doubt_until_an_answer_proves)
{
    incarnation_id const engine{1};
    chain const prompt = prompt_of(1, 1, 1);
    belief state = belief_with(engine, prompt);
    EXPECT_FALSE(take_event(state, blocks_removed{2, engine, {42}}));
    EXPECT_TRUE(take_event(state, blocks_removed{9, engine, {43}}));
    EXPECT_EQ(state.events_lost, 6U);
    EXPECT_LT(cached_tokens(state, prompt, much_later), 3 * level_tokens);
    run(state, request_of(2), prompt, 3 * level_tokens, start);
    EXPECT_EQ(cached_tokens(state, prompt, much_later), 3 * level_tokens);
}

TEST(belief, answers_teach_the_engines_tokens)
{
    belief state;
    set_engine(state, incarnation_id{1}, "7");
    chain const prompt = prompt_of(1, 1, 1);
    for (std::uint64_t number = 0; number < 200; ++number)
    {
        take_start(state, request_of(number), prompt, start);
        take_answer(state, {request_of(number), prompt.prompt_tokens * 2, 0},
                    start);
    }
    EXPECT_NEAR(state.token_ratio, 2.0, 0.05);
}

TEST(belief, stays_within_its_bounds)
{
    belief_options bounds;
    bounds.blocks_limit = 100;
    bounds.levels_limit = 50;
    bounds.requests_limit = 20;
    belief state(bounds);
    incarnation_id const engine{1};
    set_engine(state, engine, "7");
    for (std::uint64_t number = 1; number < 500; ++number)
    {
        chain const prompt = prompt_of(number, number, number);
        run(state, request_of(number), prompt, 0, start);
        take_event(state, stored(number, engine, request_of(number), prompt));
    }
    EXPECT_LE(state.blocks.size(), 100U);
    EXPECT_LE(state.levels.size(), 50U);
    EXPECT_LE(state.requests.size(), 20U);
}

TEST(belief, dead_incarnations_answer_is_ignored)
{
    belief state;
    set_engine(state, incarnation_id{1}, "7");
    chain const prompt = prompt_of(1, 1, 1);
    take_start(state, request_of(1), prompt, start);
    set_engine(state, incarnation_id{2}, "7");
    take_answer(state, {request_of(1), 192, 192}, start);
    take_event(state, stored(1, incarnation_id{1}, request_of(1), prompt));
    EXPECT_EQ(cached_tokens(state, prompt, start), 0U);
    EXPECT_FALSE(set_engine(state, incarnation_id{1}, "7"));
    EXPECT_EQ(state.incarnation, incarnation_id{2});
}

TEST(belief, new_weights_empty_it)
{
    belief state;
    set_engine(state, incarnation_id{1}, "7");
    run(state, request_of(1), prompt_of(1, 1, 1), 0, start);
    EXPECT_TRUE(set_engine(state, incarnation_id{1}, "8"));
    EXPECT_EQ(cached_tokens(state, prompt_of(1, 1, 1), start), 0U);
}

/// Events of several lives of an engine, shuffled and with some lost: what
/// is counted was stored in the present life.
RC_GTEST_PROP(belief, only_the_present_life_is_counted, ())
{
    struct entry
    {
        std::uint64_t life;
        std::uint64_t number;
        bool is_removal;
    };
    auto const lives = *rc::gen::inRange<std::uint64_t>(1, 4);
    auto const count = *rc::gen::inRange<std::size_t>(1, 40);
    std::vector<entry> events;
    for (std::size_t each = 0; each < count; ++each)
        events.push_back({*rc::gen::inRange<std::uint64_t>(1, lives + 1),
                          *rc::gen::inRange<std::uint64_t>(0, 6),
                          *rc::gen::inRange(0, 3) == 0});
    std::set<std::pair<std::uint64_t, std::uint64_t>> stored_in;
    belief state;
    for (std::uint64_t life = 1; life <= lives; ++life)
    {
        set_engine(state, incarnation_id(life), "7");
        for (std::uint64_t number = 0; number < 6; ++number)
        {
            chain const prompt = prompt_of(number, number, number);
            take_start(state, request_of(10 * life + number), prompt, start);
            take_failure(state, request_of(10 * life + number), start);
        }
    }
    std::uint64_t seq = 0;
    std::vector<std::pair<std::uint64_t, entry>> order;
    order.reserve(events.size());
    for (auto const& each : events)
        order.emplace_back(++seq, each);
    shuffle(order);
    for (auto const& [number, each] : order)
    {
        if (*rc::gen::inRange(0, 10) == 0)
            continue;
        chain const prompt = prompt_of(each.number, each.number, each.number);
        incarnation_id const life(each.life);
        if (each.is_removal)
            take_event(state, blocks_removed{number, life, blocks_of(prompt)});
        else
            take_event(state, stored(number, life,
                                     request_of(10 * each.life + each.number),
                                     prompt));
        if (!each.is_removal)
            stored_in.emplace(each.life, each.number);
    }
    for (std::uint64_t number = 0; number < 6; ++number)
    {
        bool const was_stored = stored_in.contains({lives, number});
        auto const tokens =
            cached_tokens(state, prompt_of(number, number, number), much_later);
        RC_ASSERT(was_stored || tokens == 0);
    }
}

/// All events, in any order: what is counted is what the engine holds at the
/// end, or less.
RC_GTEST_PROP(belief, never_above_the_engine_when_no_event_is_lost, ())
{
    incarnation_id const engine{1};
    belief state;
    set_engine(state, engine, "7");
    for (std::uint64_t number = 0; number < 6; ++number)
    {
        chain const prompt = prompt_of(number / 3, number, number);
        take_start(state, request_of(number), prompt, start);
        take_failure(state, request_of(number), start);
    }
    auto const acts = *rc::gen::container<std::vector<std::uint64_t>>(
        rc::gen::inRange<std::uint64_t>(0, 18));
    std::set<block_id> held;
    std::vector<std::function<void()>> events;
    std::uint64_t seq = 0;
    for (auto const act : acts)
    {
        std::uint64_t const number = act % 6;
        chain const prompt = prompt_of(number / 3, number, number);
        auto blocks = blocks_of(prompt);
        std::uint64_t const at = ++seq;
        if (act < 10)
        {
            held.insert(blocks.begin(), blocks.end());
            events.emplace_back(
                [&state, at, engine, number, prompt]
                {
                    take_event(state,
                               stored(at, engine, request_of(number), prompt));
                });
        }
        else if (act < 17)
        {
            blocks.erase(blocks.begin(),
                         blocks.begin() +
                             static_cast<std::ptrdiff_t>(act % 12));
            for (auto const block : blocks)
                held.erase(block);
            events.emplace_back(
                [&state, at, engine, blocks]
                {
                    take_event(state, blocks_removed{at, engine, blocks});
                });
        }
        else
        {
            held.clear();
            events.emplace_back(
                [&state, at, engine]
                {
                    take_event(state, cache_cleared{at, engine});
                });
        }
    }
    shuffle(events);
    for (auto const& deliver : events)
        deliver();
    for (std::uint64_t number = 0; number < 6; ++number)
    {
        chain const prompt = prompt_of(number / 3, number, number);
        std::uint32_t in_engine = 0;
        for (auto const block : blocks_of(prompt))
        {
            if (!held.contains(block))
                break;
            in_engine += block_tokens;
        }
        RC_ASSERT(cached_tokens(state, prompt, much_later) <= in_engine);
    }
}

} // namespace jujubestand::prefix
