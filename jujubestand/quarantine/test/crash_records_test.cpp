#include <gtest/gtest.h>
#include <jujubestand/quarantine/crash_records.hpp>
#include <jujubestand/quarantine/test/evidence_group.hpp>

// Crashes that a process which starts later learns from their records.
namespace jujubestand::quarantine
{

namespace
{

constexpr std::uint64_t crashing_request = 500;
constexpr std::uint64_t sound_request = 501;

// \returns the crash
crash_key end_engine(group& all)
{
    auto const engine = all.next_engine();
    all.cut(0, engine,
            {part(first_part, 0), part(10, 1), whole_request(crashing_request)},
            false);
    all.cut(1, engine, {whole_request(sound_request)}, false);
    all.settle(upstream_condition::lost);
    return {engine, incarnation_id{1}};
}

notice record_of(group const& all, crash_key const& crash)
{
    reason why;
    return *unpack(pack(notice_of_crash(all.members[0], crash)), why);
}

} // namespace

// All processes were restarted after the second end, and counted from the first
// one again (BUDGET).
TEST(crash_records, ends_before_a_restart_count)
{
    group before(2);
    auto const first = end_engine(before);
    auto const second = end_engine(before);
    group after(2);
    after.now = before.now;
    after.next_upstream = before.next_upstream;
    for (auto const& crash : {first, second})
        after.tell(2, record_of(before, crash));
    EXPECT_TRUE(after.judged(0).empty());
    end_engine(after);
    EXPECT_EQ(after.judged(0).size(), 2U);
}

// A call in flight at two ends was answered before the restart (LOST).
TEST(crash_records, answers_before_a_restart_count)
{
    group before(2);
    auto const first = end_engine(before);
    auto const second = end_engine(before);
    before.answer(1, {whole_request(sound_request)});
    group after(2);
    after.now = before.now;
    after.next_upstream = before.next_upstream;
    for (auto const& crash : {first, second})
        after.tell(2, record_of(before, crash));
    end_engine(after);
    EXPECT_EQ(after.judged(0),
              std::vector<digest>{whole_request(crashing_request).fingerprint});
}

TEST(crash_records, a_record_holds_no_parts)
{
    group all(2);
    auto const record = record_of(all, end_engine(all));
    EXPECT_EQ(record.strikes.size(), 2U);
    for (auto const& recorded : record.strikes)
        EXPECT_FALSE(is_part(recorded.fingerprint));
}

TEST(crash_records, a_record_is_written_again_for_what_it_lacks)
{
    group all(2);
    auto const crash = end_engine(all);
    auto const stored = record_of(all, crash);
    EXPECT_FALSE(covers({}, stored));
    EXPECT_TRUE(covers(stored, stored));
    all.answer(0, {whole_request(sound_request)});
    auto const cleared = record_of(all, crash);
    EXPECT_FALSE(covers(stored, cleared));
    EXPECT_TRUE(covers(cleared, cleared));
    EXPECT_TRUE(covers(cleared, stored));
}

TEST(crash_records, news_name_their_crashes)
{
    group all(2);
    auto const first = end_engine(all);
    auto const second = end_engine(all);
    auto const& known = all.members[0];
    EXPECT_EQ(crashes_of(known, notice_of_crash(known, first)),
              std::vector<crash_key>{first});
    notice news;
    news.clearances.push_back(clearance_for(
        known.strikes, whole_request(sound_request).fingerprint, all.now));
    EXPECT_EQ(crashes_of(known, news), (std::vector<crash_key>{first, second}));
}

// The store's keys have at most 255 bytes, as names of upstreams may have.
TEST(crash_records, keys_are_short_and_differ)
{
    constexpr std::size_t key_limit = 255;
    upstream_id const longest{std::string(key_limit, 'x')};
    auto const key = record_key_of({longest, incarnation_id{1}});
    EXPECT_LT(key.size(), key_limit);
    EXPECT_TRUE(is_crash_record(key));
    EXPECT_NE(key, record_key_of({longest, incarnation_id{2}}));
    EXPECT_NE(key, record_key_of({upstream_id{"x"}, incarnation_id{1}}));
}

// Records of crashes stayed in the store for ever, or too many of them.
TEST(crash_records, the_oldest_record_is_removed_in_time)
{
    constexpr std::chrono::hours lifetime{1};
    constexpr std::size_t records_limit = 128;
    group all(2);
    std::map<std::string, notice> stored;
    EXPECT_FALSE(obsolete_record(stored, lifetime, all.now));
    auto const first = end_engine(all);
    stored[record_key_of(first)] = record_of(all, first);
    auto const first_at = all.now;
    EXPECT_FALSE(obsolete_record(stored, lifetime, first_at));
    EXPECT_EQ(obsolete_record(stored, lifetime, first_at + lifetime),
              record_key_of(first));
    while (stored.size() < records_limit)
    {
        auto const crash = end_engine(all);
        stored[record_key_of(crash)] = record_of(all, crash);
    }
    EXPECT_FALSE(obsolete_record(stored, lifetime, all.now));
    auto const last = end_engine(all);
    stored[record_key_of(last)] = record_of(all, last);
    EXPECT_EQ(obsolete_record(stored, lifetime, all.now), record_key_of(first));
}

} // namespace jujubestand::quarantine
