#include <gtest/gtest.h>
#include <jujubestand/core/recent_map.hpp>

namespace jujubestand
{

TEST(recent_map, forgets_what_was_used_least_recently)
{
    recent_map<int, int> map(2);
    map.insert(1, 10);
    map.insert(2, 20);
    ASSERT_NE(map.find(1), nullptr);
    map.insert(3, 30);
    EXPECT_EQ(map.peek(2), nullptr);
    ASSERT_NE(map.peek(1), nullptr);
    EXPECT_EQ(*map.peek(1), 10);
    EXPECT_EQ(map.size(), 2U);
}

TEST(recent_map, peeking_keeps_the_age)
{
    recent_map<int, int> map(2);
    map.insert(1, 10);
    map.insert(2, 20);
    EXPECT_NE(map.peek(1), nullptr);
    map.insert(3, 30);
    EXPECT_EQ(map.peek(1), nullptr);
}

TEST(recent_map, erases_and_replaces)
{
    recent_map<int, int> map(2);
    map.insert(1, 10);
    map.insert(1, 11);
    EXPECT_EQ(*map.peek(1), 11);
    EXPECT_TRUE(map.erase(1));
    EXPECT_FALSE(map.erase(1));
    EXPECT_EQ(map.size(), 0U);
}

} // namespace jujubestand
