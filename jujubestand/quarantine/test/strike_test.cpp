#include <algorithm>
#include <gtest/gtest.h>
#include <jujubestand/quarantine/strike.hpp>
#include <rapidcheck/gtest.h>

namespace jujubestand::quarantine
{

namespace
{

using std::chrono::milliseconds;

constexpr wall_time start{milliseconds{1'000'000'000}};

strike strike_at(std::uint64_t fingerprint, std::uint64_t engine,
                 std::int64_t at_ms)
{
    return {{0, fingerprint},
            upstream_id{"engine-" + std::to_string(engine)},
            incarnation_id{engine},
            start.time_since_epoch().count() + at_ms};
}

notice any_notice()
{
    notice result;
    auto const offset_ms = *rc::gen::inRange<std::int64_t>(0, 50);
    auto const fingerprint = *rc::gen::inRange<std::uint64_t>(1, 4);
    if (*rc::gen::arbitrary<bool>())
        result.strikes.push_back(strike_at(
            fingerprint, *rc::gen::inRange<std::uint64_t>(1, 5), offset_ms));
    else
        result.clearances.push_back(
            {{0, fingerprint}, start.time_since_epoch().count() + offset_ms});
    return result;
}

std::vector<quarantine_status> status_of_all(strike_table const& table)
{
    std::vector<quarantine_status> statuses;
    for (std::uint64_t fingerprint = 1; fingerprint < 4; ++fingerprint)
        statuses.push_back(status_of(table, {0, fingerprint}, start));
    return statuses;
}

} // namespace

RC_GTEST_PROP(strike_table, order_and_repetition_of_notices_do_not_matter, ())
{
    std::vector<notice> notices;
    auto const count = *rc::gen::inRange(1, 12);
    notices.reserve(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index)
        notices.push_back(any_notice());
    strike_table in_order;
    for (auto const& item : notices)
        merge(in_order, item, start);
    strike_table shuffled;
    for (int index = 0; index < 4 * count; ++index)
        merge(shuffled,
              notices[*rc::gen::inRange<std::size_t>(0, notices.size())],
              start);
    std::reverse(notices.begin(), notices.end());
    for (auto const& item : notices)
        merge(shuffled, item, start);
    RC_ASSERT(status_of_all(in_order) == status_of_all(shuffled));
    RC_ASSERT(active_strikes(in_order, start).size() ==
              active_strikes(shuffled, start).size());
}

// Two processes noticed one crash at different times, and an answer came
// between: whether the strike counted depended on which notice came first.
TEST(strike_table, a_crash_counts_from_its_last_notice_in_any_order)
{
    notice const first{notice::current_version, {strike_at(1, 1, 0)}, {}};
    notice const last{notice::current_version, {strike_at(1, 1, 17)}, {}};
    notice const answer{notice::current_version,
                        {},
                        {{{0, 1}, start.time_since_epoch().count() + 5}}};
    std::vector<notice const*> order{&first, &last, &answer};
    std::sort(order.begin(), order.end());
    do
    {
        strike_table table;
        for (auto const* const item : order)
            merge(table, *item, start);
        ASSERT_EQ(active_strikes(table, start).size(), 1U);
        EXPECT_EQ(active_strikes(table, start).front().at_ms,
                  last.strikes.front().at_ms);
    } while (std::next_permutation(order.begin(), order.end()));
}

RC_GTEST_PROP(strike_table, any_bytes_are_refused_or_read, (std::string bytes))
{
    reason why;
    RC_ASSERT(unpack(bytes, why) || why.code == reason_code::link_malformed);
}

TEST(strike_table, two_crashes_quarantine_and_expire)
{
    strike_table table;
    merge(table, {1, {strike_at(1, 1, 0)}, {}}, start);
    EXPECT_EQ(status_of(table, {0, 1}, start), quarantine_status::isolated);
    merge(table, {1, {strike_at(1, 1, 5)}, {}}, start);
    EXPECT_EQ(status_of(table, {0, 1}, start), quarantine_status::isolated);
    merge(table, {1, {strike_at(1, 2, 9)}, {}}, start);
    EXPECT_EQ(status_of(table, {0, 1}, start), quarantine_status::quarantined);
    EXPECT_EQ(status_of(table, {0, 2}, start), quarantine_status::unrestricted);
    // The first crash counts from its last notice.
    auto const expired = start + table.options.lifetime + milliseconds{5};
    EXPECT_EQ(status_of(table, {0, 1}, expired - milliseconds{1}),
              quarantine_status::quarantined);
    EXPECT_EQ(status_of(table, {0, 1}, expired), quarantine_status::isolated);
    wall_time const late = start + table.options.lifetime + milliseconds{10};
    EXPECT_EQ(status_of(table, {0, 1}, late), quarantine_status::unrestricted);
    expire(table, late);
    EXPECT_TRUE(table.entries.empty());
}

TEST(strike_table, clearance_covers_strikes_of_clocks_ahead)
{
    strike_table table;
    merge(table, {1, {strike_at(1, 1, 900)}, {}}, start);
    notice cleared;
    cleared.clearances.push_back(clearance_for(table, {0, 1}, start));
    merge(table, cleared, start);
    EXPECT_EQ(status_of(table, {0, 1}, start), quarantine_status::unrestricted);
    merge(table, {1, {strike_at(1, 1, 900)}, {}}, start);
    EXPECT_EQ(status_of(table, {0, 1}, start), quarantine_status::unrestricted);
    merge(table, {1, {strike_at(1, 2, 901)}, {}}, start);
    EXPECT_EQ(status_of(table, {0, 1}, start), quarantine_status::isolated);
}

TEST(strike_table, size_and_notices_are_bounded)
{
    strike_table table;
    table.options.fingerprints_limit = 20;
    for (std::int64_t time_ms = 1; time_ms <= 100; ++time_ms)
        merge(table,
              {1,
               {strike_at(static_cast<std::uint64_t>(time_ms), 1, time_ms)},
               {}},
              start);
    EXPECT_EQ(table.entries.size(), 20U);
    EXPECT_EQ(status_of(table, {0, 100}, start), quarantine_status::isolated);
    notice const newest = newest_notice(table, start);
    EXPECT_EQ(newest.strikes.size(), table.options.notice_limit);
    EXPECT_EQ(newest.strikes.front().fingerprint, (digest{0, 100}));
}

} // namespace jujubestand::quarantine
