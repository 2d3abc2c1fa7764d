#include <bench/support/node_log.hpp>
#include <gtest/gtest.h>

namespace jujubestand::bench
{

TEST(node_log, reads_version_and_time_of_an_applied_line)
{
    auto const first =
        parse_applied("I20261203 22:38:19.859678 24796 log_sink.cpp:35] E1400 "
                      "tables_applied version=7 by=bench source=log");
    auto const later =
        parse_applied("I20261203 22:38:20.000001 24796 log_sink.cpp:35] E1400 "
                      "tables_applied version=8 by=bench source=log");
    EXPECT_EQ(first.version, 7U);
    EXPECT_EQ(later.at_us - first.at_us, 140'323);
    EXPECT_EQ(parse_applied("I20261203 22:38:19.859272 24796 log_sink.cpp:35] "
                            "E1001 process_ready")
                  .version,
              0U);
}

TEST(node_log, a_lower_version_counts_within_a_life_only)
{
    EXPECT_EQ(count_reverts({{1, 5, 1}, {2, 6, 1}, {3, 5, 2}}), 0U);
    EXPECT_EQ(count_reverts({{1, 5, 1}, {2, 6, 1}, {3, 5, 1}}), 1U);
}

TEST(node_log, a_skipped_version_is_in_force_with_the_next)
{
    std::vector<applied_tables> const seen{{10, 5, 1}, {20, 8, 1}};
    EXPECT_EQ(in_force_at(seen, 6), 20);
    EXPECT_EQ(in_force_at(seen, 9), 0);
}

} // namespace jujubestand::bench
