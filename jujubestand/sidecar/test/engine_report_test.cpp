#include <gtest/gtest.h>
#include <jujubestand/sidecar/engine_report.hpp>

namespace jujubestand::sidecar
{

TEST(engine_report, reads_what_the_engine_tells)
{
    reason why;
    auto const report = read_engine_report(
        R"({"incarnation":5,"model":"m","weights_version":"v1",
            "adapters":["a","b"],"role":"mixed","running":3,"waiting":2,
            "waiting_tokens":900,"slots":64,"kv_used_blocks":1,
            "kv_total_blocks":2,"prefill_us_per_token":20.5,
            "decode_us_per_token":100})",
        why);
    ASSERT_TRUE(report) << to_text(why);
    EXPECT_EQ(report->incarnation, incarnation_id(5));
    EXPECT_EQ(report->adapters, (std::vector<std::string>{"a", "b"}));
    EXPECT_EQ(report->slots, 64U);
    EXPECT_DOUBLE_EQ(report->prefill_us_per_token, 20.5);
}

TEST(engine_report, refuses_what_is_no_report)
{
    for (auto const* const text :
         {"", "{}", "[]", "{\"incarnation\":\"x\"}", "{\"incarnation\":1"})
    {
        reason why;
        EXPECT_FALSE(read_engine_report(text, why)) << text;
        EXPECT_EQ(why.code, reason_code::malformed_json);
    }
}

TEST(cache_event, reads_all_kinds)
{
    reason why;
    auto const stored = read_cache_event(
        R"({"seq":7,"incarnation":5,"kind":"stored",
            "request":"00000000000000010000000000000002","first_token":32,
            "block_tokens":16,"blocks":["0a","0b"]})",
        why);
    ASSERT_TRUE(stored) << to_text(why);
    auto const& blocks = std::get<prefix::blocks_stored>(*stored);
    EXPECT_EQ(blocks.request, (request_id{1, 2}));
    EXPECT_EQ(blocks.first_token, 32U);
    ASSERT_EQ(blocks.blocks.size(), 2U);
    EXPECT_EQ(blocks.blocks[0], prefix::to_block_id("0a"));
    auto const removed = read_cache_event(
        R"({"seq":8,"incarnation":5,"kind":"removed","blocks":["0a"]})", why);
    ASSERT_TRUE(removed);
    EXPECT_EQ(std::get<prefix::blocks_removed>(*removed).seq, 8U);
    auto const cleared =
        read_cache_event(R"({"seq":9,"incarnation":5,"kind":"cleared"})", why);
    ASSERT_TRUE(cleared);
    EXPECT_EQ(std::get<prefix::cache_cleared>(*cleared).incarnation,
              incarnation_id(5));
}

TEST(cache_event, refuses_other_lines)
{
    for (auto const* const line :
         {"", "x", R"({"seq":1})", R"({"seq":1,"incarnation":1,"kind":"y"})",
          R"({"seq":1,"incarnation":1,"kind":"removed","blocks":[1]})"})
    {
        reason why;
        EXPECT_FALSE(read_cache_event(line, why)) << line;
    }
}

} // namespace jujubestand::sidecar
