#include <gtest/gtest.h>
#include <jujubestand/link/messages.hpp>
#include <jujubestand/quarantine/call_keys.hpp>

namespace jujubestand::quarantine
{

namespace
{

std::vector<suspect_key> keys_of(std::vector<std::uint64_t> const& parts)
{
    return keys_of_call(team_id("depot"), route_id("chat"), "body", parts);
}

/// A question for tables as processes of older releases know it.
struct older_tables_wanted
{
    static constexpr link::frame_kind kind = link::frame_kind::tables_wanted;

    log_offset have;

    MSGPACK_DEFINE_ARRAY(have)
};

} // namespace

TEST(call_keys, a_part_has_one_key_wherever_it_stands)
{
    auto const part = hash_of_part("user", "a document");
    EXPECT_NE(part, hash_of_part("system", "a document"));
    auto const first = keys_of({part, 2});
    auto const later = keys_of({7, 8, part});
    EXPECT_EQ(first.front().fingerprint, later.at(2).fingerprint);
    EXPECT_EQ(later.at(2).depth, 2);
    EXPECT_EQ(later.back().depth, whole_request_depth);
    EXPECT_FALSE(is_part(later.back().fingerprint));
}

TEST(call_keys, a_part_that_stands_twice_is_one_suspect)
{
    EXPECT_EQ(keys_of({5, 5, 6, 5}).size(), 3U);
}

TEST(call_keys, a_long_prompt_keeps_its_first_and_last_parts)
{
    std::vector<std::uint64_t> parts;
    for (std::uint64_t part = 0; part < 100; ++part)
        parts.push_back(part);
    auto const kept = limit_parts(parts);
    ASSERT_EQ(kept.size(), 16U);
    EXPECT_EQ(kept.front(), 0U);
    EXPECT_EQ(kept.at(7), 7U);
    EXPECT_EQ(kept.at(8), 92U);
    EXPECT_EQ(kept.back(), 99U);
}

TEST(call_keys, news_read_as_a_question_in_older_processes_and_back)
{
    reason why;
    link::tables_wanted const news{log_offset{4}, "evidence", {{{1, 2}, 3}}};
    auto const older =
        link::from_frame<older_tables_wanted>(link::to_frame(news), why);
    ASSERT_TRUE(older) << to_text(why);
    EXPECT_EQ(older->have, log_offset{4});
    auto const question = link::from_frame<link::tables_wanted>(
        link::to_frame(older_tables_wanted{log_offset{5}}), why);
    ASSERT_TRUE(question) << to_text(why);
    EXPECT_TRUE(question->crashes.empty());
    EXPECT_TRUE(question->culprits.empty());
}

} // namespace jujubestand::quarantine
