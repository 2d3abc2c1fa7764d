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
    notice made;
    auto const at = *rc::gen::inRange<std::int64_t>(0, 50);
    auto const fingerprint = *rc::gen::inRange<std::uint64_t>(1, 4);
    if (*rc::gen::arbitrary<bool>())
        made.strikes.push_back(
            strike_at(fingerprint, *rc::gen::inRange<std::uint64_t>(1, 5), at));
    else
        made.clearances.push_back(
            {{0, fingerprint}, start.time_since_epoch().count() + at});
    return made;
}

std::vector<judgement> judge_all(strike_book const& book)
{
    std::vector<judgement> all;
    for (std::uint64_t fingerprint = 1; fingerprint < 4; ++fingerprint)
        all.push_back(judge(book, {0, fingerprint}, start));
    return all;
}

} // namespace

RC_GTEST_PROP(strike_book, order_and_doubles_of_notices_do_not_matter, ())
{
    std::vector<notice> notices;
    auto const count = *rc::gen::inRange(1, 12);
    notices.reserve(static_cast<std::size_t>(count));
    for (int at = 0; at < count; ++at)
        notices.push_back(any_notice());
    strike_book in_order;
    for (auto const& one : notices)
        merge(in_order, one, start);
    strike_book shuffled;
    for (int at = 0; at < 4 * count; ++at)
        merge(shuffled,
              notices[*rc::gen::inRange<std::size_t>(0, notices.size())],
              start);
    std::reverse(notices.begin(), notices.end());
    for (auto const& one : notices)
        merge(shuffled, one, start);
    RC_ASSERT(judge_all(in_order) == judge_all(shuffled));
    RC_ASSERT(list(in_order, start).size() == list(shuffled, start).size());
}

RC_GTEST_PROP(strike_book, any_bytes_are_refused_or_read, (std::string bytes))
{
    reason why;
    RC_ASSERT(unpack(bytes, why) || why.code == reason_code::link_malformed);
}

TEST(strike_book, two_crashes_quarantine_and_expire)
{
    strike_book book;
    merge(book, {1, {strike_at(1, 1, 0)}, {}}, start);
    EXPECT_EQ(judge(book, {0, 1}, start), judgement::alone);
    merge(book, {1, {strike_at(1, 1, 5)}, {}}, start);
    EXPECT_EQ(judge(book, {0, 1}, start), judgement::alone);
    merge(book, {1, {strike_at(1, 2, 9)}, {}}, start);
    EXPECT_EQ(judge(book, {0, 1}, start), judgement::refused);
    EXPECT_EQ(judge(book, {0, 2}, start), judgement::free);
    EXPECT_EQ(judge(book, {0, 1}, start + book.options.lifetime),
              judgement::alone);
    wall_time const late = start + book.options.lifetime + milliseconds{10};
    EXPECT_EQ(judge(book, {0, 1}, late), judgement::free);
    expire(book, late);
    EXPECT_TRUE(book.entries.empty());
}

TEST(strike_book, clearance_covers_strikes_of_clocks_ahead)
{
    strike_book book;
    merge(book, {1, {strike_at(1, 1, 900)}, {}}, start);
    notice cleared;
    cleared.clearances.push_back(clear_of(book, {0, 1}, start));
    merge(book, cleared, start);
    EXPECT_EQ(judge(book, {0, 1}, start), judgement::free);
    merge(book, {1, {strike_at(1, 1, 900)}, {}}, start);
    EXPECT_EQ(judge(book, {0, 1}, start), judgement::free);
    merge(book, {1, {strike_at(1, 2, 901)}, {}}, start);
    EXPECT_EQ(judge(book, {0, 1}, start), judgement::alone);
}

TEST(strike_book, size_and_notices_are_bounded)
{
    strike_book book;
    book.options.fingerprints_limit = 20;
    for (std::int64_t at = 1; at <= 100; ++at)
        merge(book, {1, {strike_at(static_cast<std::uint64_t>(at), 1, at)}, {}},
              start);
    EXPECT_EQ(book.entries.size(), 20U);
    EXPECT_EQ(judge(book, {0, 100}, start), judgement::alone);
    notice const made = newest(book, start);
    EXPECT_EQ(made.strikes.size(), book.options.notice_limit);
    EXPECT_EQ(made.strikes.front().fingerprint, (digest{0, 100}));
}

} // namespace jujubestand::quarantine
