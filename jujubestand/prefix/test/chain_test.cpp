#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <jujubestand/prefix/chain.hpp>
#include <set>
#include <string>

namespace jujubestand::prefix
{

namespace
{

chain_seed const seed{"depots", "m1", "", "7"};

std::string text_of(std::size_t bytes, char first)
{
    std::string text(bytes, first);
    for (std::size_t at = 0; at < bytes; at += 97)
        text[at] = static_cast<char>('a' + at % 23);
    return text;
}

std::set<level_key> keys_of(chain const& levels)
{
    std::set<level_key> keys;
    for (auto const& each : levels.levels)
        keys.insert(each.key);
    return keys;
}

/// Levels that two chains share, counted from the outermost.
std::size_t shared_levels(chain const& left, chain const& right)
{
    std::size_t count = 0;
    while (count < left.levels.size() && count < right.levels.size() &&
           left.levels[count] == right.levels[count])
        ++count;
    return count;
}

} // namespace

TEST(chain, messages_that_agree_share_their_levels)
{
    std::string const preamble = text_of(3000, 'p');
    std::string const annex = text_of(3500, 'x');
    std::vector<segment> const left{
        {"system", preamble}, {"user", annex}, {"user", "what is this tin?"}};
    std::vector<segment> const right{
        {"system", preamble}, {"user", annex}, {"user", "and that one?"}};
    chain const one = make_chain(seed, left, {});
    chain const other = make_chain(seed, right, {});
    ASSERT_EQ(one.levels.size(), 3U);
    EXPECT_EQ(shared_levels(one, other), 2U);
    EXPECT_EQ(one.levels[0].tokens, 750U);
    EXPECT_EQ(one.levels[1].tokens, 1625U);
}

TEST(chain, every_part_of_the_seed_separates)
{
    std::vector<segment> const text{{"user", "the same words"}};
    std::set<level_key> keys;
    chain_seed const seeds[] = {{"a", "m", "", "1"}, {"b", "m", "", "1"},
                                {"a", "n", "", "1"}, {"a", "m", "x", "1"},
                                {"a", "m", "", "2"}, {"am", "", "", "1"},
                                {"a", "m", "1", ""}};
    for (auto const& each : seeds)
        keys.insert(make_chain(each, text, {}).levels.at(0).key);
    EXPECT_EQ(keys.size(), std::size(seeds));
}

TEST(chain, role_and_boundary_are_part_of_the_text)
{
    std::vector<segment> const whole{{"user", "abcdef"}};
    std::vector<segment> const cut{{"user", "abc"}, {"user", "def"}};
    std::vector<segment> const role{{"system", "abcdef"}};
    level_key const key = make_chain(seed, whole, {}).levels.back().key;
    EXPECT_NE(key, make_chain(seed, cut, {}).levels.back().key);
    EXPECT_NE(key, make_chain(seed, role, {}).levels.back().key);
}

TEST(chain, long_messages_are_cut_at_fixed_places)
{
    std::string const shared = text_of(40'000, 's');
    std::string const left = shared + text_of(5000, 'l');
    std::string const right = shared + text_of(9000, 'r');
    std::vector<segment> const one{{"", left}};
    std::vector<segment> const other{{"", right}};
    chain_options options;
    options.levels_limit = 64;
    chain const first = make_chain(seed, one, options);
    std::size_t const shared_count =
        shared_levels(first, make_chain(seed, other, options));
    ASSERT_GT(shared_count, 0U);
    EXPECT_GE(first.levels[shared_count - 1].tokens * 4, 40'000U * 2 / 3);
}

TEST(chain, has_no_more_levels_than_stated)
{
    std::vector<std::string> texts;
    for (std::size_t place = 0; place < 40; ++place)
        texts.push_back(text_of(900, static_cast<char>('A' + place)));
    std::vector<segment> turns;
    turns.reserve(texts.size());
    for (auto const& each : texts)
        turns.push_back({"user", each});
    chain_options const options;
    chain const before =
        make_chain(seed, std::span(turns).first(turns.size() - 2), options);
    chain const after = make_chain(seed, turns, options);
    EXPECT_EQ(after.levels.size(), options.levels_limit);
    std::set<level_key> const known = keys_of(before);
    EXPECT_TRUE(std::any_of(after.levels.begin() + 5, after.levels.end(),
                            [&](level const& each)
                            {
                                return known.contains(each.key);
                            }))
        << "the next turn must find a late level of the turn before";
}

RC_GTEST_PROP(chain, common_beginnings_have_common_levels,
              (std::vector<std::string> const& shared, std::string const& left,
               std::string const& right))
{
    std::vector<segment> one;
    one.reserve(shared.size() + 1);
    for (auto const& each : shared)
        one.push_back({"user", each});
    std::vector<segment> other = one;
    one.push_back({"user", left});
    other.push_back({"user", right});
    chain_options options;
    options.levels_limit = 1000;
    options.level_bytes_min = 1;
    options.first_cut_bytes = 16;
    chain const first = make_chain(seed, one, options);
    chain const second = make_chain(seed, other, options);
    std::size_t bytes = 0;
    for (auto const& each : shared)
        bytes += each.size();
    std::size_t expected = 0;
    for (auto const& each : first.levels)
        expected += std::size_t{each.tokens} * 4 <= bytes &&
                    &each != &first.levels.back();
    RC_ASSERT(shared_levels(first, second) >= expected);
    if (left != right)
        RC_ASSERT(first.levels.back().key != second.levels.back().key);
}

} // namespace jujubestand::prefix
