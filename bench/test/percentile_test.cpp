#include <gtest/gtest.h>

#include <algorithm>
#include <bench/support/percentile.hpp>
#include <rapidcheck/gtest.h>

namespace
{

using namespace jujubestand::bench;

} // namespace

RC_GTEST_PROP(percentile, is_the_smallest_sample_that_covers_its_share, ())
{
    auto const of = *rc::gen::nonEmpty<samples>();
    auto const percent = *rc::gen::inRange(1, 101);
    auto const value = percentile(of, percent);
    auto const covers = [&](double limit)
    {
        auto const below = std::count_if(of.begin(), of.end(),
                                         [&](auto one)
                                         {
                                             return one <= limit;
                                         });
        return static_cast<double>(below) * 100 >=
               static_cast<double>(of.size()) * percent;
    };
    RC_ASSERT(std::count(of.begin(), of.end(), value) > 0);
    RC_ASSERT(covers(value));
    RC_ASSERT(!covers(value - 1));
}

TEST(percentile, of_nothing_is_zero)
{
    EXPECT_EQ(percentile({}, 99), 0);
    EXPECT_EQ(mean({}), 0);
}

TEST(percentile, a_long_sample_stands_for_those_that_it_held_up)
{
    samples expected{10, 35, 25, 15, 5};
    EXPECT_EQ(corrected({10, 35}, 10), expected);
    EXPECT_EQ(corrected({10, 35}, 0), (samples{10, 35}));
}

TEST(line_fit, finds_a_line_and_what_it_misses)
{
    auto const exact = fit_line({0, 1, 2, 3}, {5, 7, 9, 11});
    EXPECT_DOUBLE_EQ(exact.slope, 2);
    EXPECT_DOUBLE_EQ(exact.intercept, 5);
    EXPECT_NEAR(exact.residual, 0, 1e-9);
    auto const rough = fit_line({0, 1, 2, 3}, {6, 6, 10, 10});
    EXPECT_GT(rough.residual, 0.5);
}
