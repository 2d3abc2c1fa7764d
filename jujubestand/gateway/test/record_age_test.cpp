#include <gtest/gtest.h>
#include <jujubestand/gateway/record_age.hpp>

namespace jujubestand::gateway
{

namespace
{

constexpr std::chrono::milliseconds age_limit{2'300};

mono_time at(int ms)
{
    return mono_time{std::chrono::milliseconds{100'000 + ms}};
}

} // namespace

// Guards against a time limit that counts from the arrival of a late record: a
// gateway whose copy was not confirmed for seconds dated a request as new.
TEST(record_age, a_late_record_may_be_as_old_as_the_last_confirmation)
{
    EXPECT_EQ(written_since(at(-1'100), at(0), age_limit), at(-1'100));
    EXPECT_EQ(written_since(at(0), at(0), age_limit), at(0));
}

// Guards against the same for a first list that arrives seconds after the
// start: its records counted as written on arrival.
TEST(record_age, records_of_the_first_list_are_of_unknown_age)
{
    EXPECT_EQ(written_since(std::nullopt, at(0), age_limit),
              at(-static_cast<int>(age_limit.count())));
}

TEST(record_age, a_record_counts_as_at_most_the_limit_old)
{
    EXPECT_EQ(written_since(at(-9'000), at(0), age_limit), at(-2'300));
    EXPECT_EQ(written_since(at(-9'000), at(0), std::chrono::milliseconds{-5}),
              at(0));
    EXPECT_EQ(written_since(std::nullopt, at(0), std::chrono::milliseconds{0}),
              at(0));
}

// A confirmation may be dated by a clock reading after the one that is used for
// the record.
TEST(record_age, no_record_is_written_later_than_now)
{
    EXPECT_EQ(written_since(at(5), at(0), age_limit), at(0));
}

} // namespace jujubestand::gateway
