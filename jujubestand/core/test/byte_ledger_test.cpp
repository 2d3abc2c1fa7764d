#include <gtest/gtest.h>
#include <jujubestand/core/byte_ledger.hpp>
#include <rapidcheck/gtest.h>

namespace jujubestand
{

TEST(byte_ledger, counts_what_is_kept_now)
{
    byte_ledger<int> ledger;
    ledger.set(1, 10);
    ledger.set(2, 5);
    ledger.set(1, 3);
    EXPECT_EQ(ledger.total(), 8U);
    ledger.erase(2);
    ledger.erase(7);
    EXPECT_EQ(ledger.total(), 3U);
}

TEST(byte_ledger, the_largest_are_given_up_and_the_small_stay)
{
    byte_ledger<int> ledger;
    ledger.set_limit(100);
    ledger.set(1, 10);
    ledger.set(2, 60);
    ledger.set(3, 30);
    EXPECT_TRUE(ledger.excess().empty());
    ledger.set(4, 1);
    EXPECT_EQ(ledger.excess(), std::vector<int>{2});
    ledger.set(3, 70);
    EXPECT_EQ(ledger.excess(), (std::vector<int>{3, 2}));
}

TEST(byte_ledger, only_what_may_go_is_given_up)
{
    byte_ledger<int> ledger;
    ledger.set_limit(100);
    ledger.set(1, 90);
    ledger.set(2, 20);
    ledger.set(3, 5);
    auto const may_go = [](int id, std::size_t bytes)
    {
        return id != 1 && bytes > 5;
    };
    EXPECT_EQ(ledger.excess_of(may_go), std::vector<int>{2});
    ledger.erase(2);
    EXPECT_TRUE(ledger.excess_of(may_go).empty());
}

TEST(byte_ledger, there_is_no_limit_unless_one_is_set)
{
    byte_ledger<int> ledger;
    ledger.set(1, ~std::size_t{0} / 2);
    EXPECT_TRUE(ledger.excess().empty());
}

// Whatever is kept, giving up the excess leaves half of the limit at most.
RC_GTEST_PROP(byte_ledger, giving_up_the_excess_makes_room,
              (std::vector<std::uint16_t> const& sizes, std::uint16_t limit))
{
    RC_PRE(limit > 0);
    byte_ledger<std::size_t> ledger;
    ledger.set_limit(limit);
    for (std::size_t id = 0; id < sizes.size(); ++id)
        ledger.set(id, sizes[id]);
    auto const before = ledger.total();
    for (auto const id : ledger.excess())
        ledger.erase(id);
    RC_ASSERT(ledger.excess().empty());
    RC_ASSERT(ledger.total() == before || ledger.total() <= limit / 2U);
    RC_ASSERT(ledger.total() <= limit);
}

} // namespace jujubestand
