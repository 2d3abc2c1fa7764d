#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>
#include <standins/engine/engine_model.hpp>

namespace
{

using namespace jujubestand::standins;

engine_model small_engine(std::size_t blocks = 1'000)
{
    engine_model engine;
    engine.costs.slots = 4;
    engine.costs.prefill_tokens_per_step = 64;
    engine.costs.cache_blocks = blocks;
    engine.cache.limit = blocks;
    return engine;
}

struct outcome
{
    std::string text;
    std::size_t cached = 0;
    std::size_t steps = 0;
};

/// Runs until all is done; outcomes in the order of submission.
std::vector<outcome> run_all(engine_model& engine,
                             std::vector<sequence_request> const& requests)
{
    std::vector<sequence_id> ids;
    ids.reserve(requests.size());
    std::vector<outcome> outcomes(requests.size());
    for (auto const& request : requests)
        ids.push_back(submit(engine, request));
    std::size_t steps = 0;
    while (begin_step(engine) > 0)
    {
        ++steps;
        for (auto const& token : end_step(engine).tokens)
        {
            if (!token.is_last)
                continue;
            auto const place =
                std::find(ids.begin(), ids.end(), token.id) - ids.begin();
            sequence const& done = *engine.sequences.find(token.id);
            outcomes[static_cast<std::size_t>(place)] =
                outcome{done.text, done.cached_tokens, steps};
            finish(engine, token.id);
        }
    }
    return outcomes;
}

} // namespace

RC_GTEST_PROP(engine_model, answers_do_not_depend_on_the_company, ())
{
    auto const prompts = *rc::gen::container<std::vector<std::string>>(
        rc::gen::container<std::string>(rc::gen::inRange('a', 'd')));
    auto const blocks = *rc::gen::inRange<std::size_t>(1, 30);
    engine_model engine = small_engine(blocks);
    std::vector<sequence_request> requests;
    requests.reserve(prompts.size());
    for (auto const& prompt : prompts)
        requests.push_back({"r", prompt, "salt", 1 + prompt.size() % 40, 1});
    auto const outcomes = run_all(engine, requests);
    for (std::size_t index = 0; index < requests.size(); ++index)
        RC_ASSERT(
            outcomes[index].text ==
            answer_text(requests[index].prompt, requests[index].max_tokens));
    RC_ASSERT(engine.reserved_blocks == 0U);
    RC_ASSERT(engine.waiting_tokens == 0U);
    RC_ASSERT(engine.cache.idle.size() == engine.cache.blocks.size());
}

TEST(engine_model, a_cached_prefix_is_not_computed_again)
{
    engine_model engine = small_engine();
    std::string const prompt(64 * block_bytes, 'p');
    auto const first = run_all(engine, {{"a", prompt, "s", 1, 1}});
    auto const second = run_all(engine, {{"b", prompt + "q", "s", 1, 1}});
    auto const other = run_all(engine, {{"c", prompt + "q", "t", 1, 1}});
    EXPECT_EQ(first[0].cached, 0U);
    EXPECT_EQ(first[0].steps, 16U);
    EXPECT_EQ(second[0].cached, 64 * block_tokens);
    EXPECT_EQ(second[0].steps, 1U);
    EXPECT_EQ(other[0].cached, 0U) << "another salt shares nothing";
}

TEST(engine_model, the_least_recently_used_blocks_go_first)
{
    engine_model engine = small_engine(20);
    std::string const old_prompt(10 * block_bytes, 'a');
    std::string const new_prompt(10 * block_bytes, 'b');
    run_all(engine, {{"a", old_prompt, "", 1, 1}});
    run_all(engine, {{"b", new_prompt, "", 1, 1}});
    run_all(engine, {{"c", std::string(5 * block_bytes, 'c'), "", 1, 1}});
    EXPECT_EQ(run_all(engine, {{"d", new_prompt + "x", "", 1, 1}})[0].cached,
              10 * block_tokens);
    EXPECT_EQ(run_all(engine, {{"e", old_prompt + "x", "", 1, 1}})[0].cached,
              5 * block_tokens);
}

TEST(engine_model, urgent_requests_overtake_waiting_ones)
{
    engine_model engine = small_engine();
    engine.costs.slots = 1;
    auto const outcomes = run_all(
        engine,
        {{"a", "x", "", 4, 2}, {"b", "y", "", 4, 2}, {"c", "z", "", 4, 0}});
    EXPECT_LT(outcomes[2].steps, outcomes[0].steps);
    EXPECT_LT(outcomes[0].steps, outcomes[1].steps);
}

TEST(engine_model, cancelling_frees_slot_and_blocks)
{
    engine_model engine = small_engine();
    auto const running = submit(engine, {"a", "x", "", 100, 1});
    begin_step(engine);
    auto const waiting = submit(engine, {"b", "y", "", 100, 1});
    cancel(engine, running);
    cancel(engine, waiting);
    cancel(engine, waiting);
    EXPECT_EQ(engine.totals.cancelled, 2U);
    EXPECT_EQ(begin_step(engine), 0);
    EXPECT_EQ(engine.reserved_blocks, 0U);
}

TEST(engine_model, an_emptied_cache_is_not_filled_by_older_sequences)
{
    engine_model engine = small_engine();
    std::string const prompt(64 * block_bytes, 'p');
    auto const id = submit(engine, {"a", prompt, "", 1, 1});
    begin_step(engine);
    static_cast<void>(end_step(engine));
    clear(engine.cache);
    while (begin_step(engine) > 0)
    {
        if (!end_step(engine).tokens.empty())
            finish(engine, id);
    }
    EXPECT_TRUE(engine.cache.blocks.empty());
}
