#include <gtest/gtest.h>
#include <jujubestand/config/store.hpp>
#include <jujubestand/config/test/fold_model.hpp>
#include <rapidcheck/gtest.h>

namespace jujubestand::config
{

using namespace test;

namespace
{

mono_time at_ms(std::int64_t ms)
{
    return mono_time(std::chrono::milliseconds(ms));
}

wall_time wall_ms(std::int64_t ms)
{
    return wall_time(std::chrono::milliseconds(ms));
}

store store_named(std::string const& name)
{
    store_options options;
    options.self = instance_id(name);
    return make_store(options);
}

edit edit_from(std::uint64_t base, std::string const& pool)
{
    return edit{{1, base}, log_offset(base), "op", {set_pool(pool)}};
}

store_effects read_to_end(store& state, model_log const& log)
{
    platform::log_batch batch;
    for (auto const& one : log.records)
    {
        if (one.offset.value >= log.first)
            batch.records.push_back(one);
    }
    return on_batch(state, batch);
}

std::vector<instance_id> const peers{instance_id("a"), instance_id("b"),
                                     instance_id("c"), instance_id("d")};

} // namespace

TEST(store, asks_peers_at_once_while_it_has_no_tables)
{
    auto fresh = store_named("me");
    auto const first = on_tick(fresh, peers, at_ms(0), wall_ms(0));
    EXPECT_EQ(first.ask.size(), 3U);
    EXPECT_EQ(on_tick(fresh, peers, at_ms(1), wall_ms(0)).ask.size(), 1U);
    EXPECT_TRUE(on_tick(fresh, peers, at_ms(2), wall_ms(0)).ask.empty());
    EXPECT_FALSE(on_tick(fresh, peers, at_ms(300), wall_ms(0)).ask.empty());
}

TEST(store, serves_from_a_peer_and_reads_on_behind_it)
{
    model_log log;
    log.append(pack(edit_from(0, "a")));
    log.append(pack(edit_from(1, "b")));
    auto old = store_named("old");
    EXPECT_TRUE(read_to_end(old, log).applied);
    auto fresh = store_named("fresh");
    auto const given = hand_over(old, in_force(fresh).version);
    auto const effects = on_tables(fresh, given);
    EXPECT_TRUE(effects.applied);
    EXPECT_EQ(effects.read_from, log_offset(3));
    EXPECT_EQ(in_force(fresh), in_force(old));
    EXPECT_TRUE(on_tick(fresh, peers, at_ms(0), wall_ms(0)).ask.empty());
}

TEST(store, older_tables_are_refused_and_newer_ones_asked_for)
{
    model_log log;
    log.append(pack(edit_from(0, "a")));
    auto stale = store_named("stale");
    read_to_end(stale, log);
    log.append(pack(edit_from(1, "b")));
    auto newer = store_named("newer");
    read_to_end(newer, log);
    EXPECT_EQ(compare(newer, in_force(stale).version), tables_age::older);
    EXPECT_EQ(compare(stale, in_force(newer).version), tables_age::newer);
    auto const peer = instance_id("newer");
    auto const version = in_force(newer).version;
    EXPECT_EQ(on_peer_version(stale, peer, version, at_ms(0)).ask,
              std::vector<instance_id>{peer});
    EXPECT_TRUE(on_peer_version(stale, peer, version, at_ms(1)).ask.empty());
    EXPECT_TRUE(on_tables(stale, hand_over(newer, log_offset(1))).applied);
    EXPECT_FALSE(on_tables(newer, hand_over(stale, log_offset(0))).applied);
    EXPECT_TRUE(hand_over(stale, version).packed.empty());
}

TEST(store, a_broken_hand_over_changes_nothing)
{
    model_log log;
    log.append(pack(edit_from(0, "a")));
    auto old = store_named("old");
    read_to_end(old, log);
    auto given = hand_over(old, log_offset(0));
    given.packed.resize(given.packed.size() / 2);
    auto fresh = store_named("fresh");
    EXPECT_FALSE(on_tables(fresh, given).applied);
    EXPECT_EQ(in_force(fresh).version, log_offset(0));
}

TEST(store, asks_a_peer_now_and_then_while_the_log_is_out)
{
    model_log log;
    log.append(pack(edit_from(0, "a")));
    auto state = store_named("me");
    read_to_end(state, log);
    EXPECT_TRUE(on_tick(state, peers, at_ms(0), wall_ms(0)).ask.empty());
    on_log_state(state, false);
    EXPECT_EQ(on_tick(state, peers, at_ms(0), wall_ms(0)).ask.size(), 1U);
    EXPECT_TRUE(on_tick(state, peers, at_ms(500), wall_ms(0)).ask.empty());
    EXPECT_EQ(on_tick(state, peers, at_ms(2'000), wall_ms(0)).ask.size(), 1U);
}

// Whoever is left, a live record is appended again before half of the
// retention is over, and not before a quarter.
RC_GTEST_PROP(store, somebody_re_appends_in_time, ())
{
    auto const count = *rc::gen::inRange<std::size_t>(1, 400);
    model_log log;
    log.append(pack(edit_from(0, "a")));
    std::vector<instance_id> all;
    all.reserve(count);
    for (std::size_t at = 0; at < count; ++at)
        all.emplace_back("n" + std::to_string(at));
    auto const lost = *rc::gen::inRange<std::size_t>(0, count);
    auto state = store_named(all[lost].text);
    read_to_end(state, log);
    all.erase(all.begin() + static_cast<std::ptrdiff_t>(lost));
    auto const quarter = state.options.retention.count() / 4;
    auto const early =
        on_tick(state, all, at_ms(0), wall_ms(1'000 + quarter - 1));
    RC_ASSERT(early.append.empty());
    auto const due =
        on_tick(state, all, at_ms(1), wall_ms(1'000 + 2 * quarter));
    RC_ASSERT(!due.append.empty());
    auto const again =
        on_tick(state, all, at_ms(2), wall_ms(1'000 + 2 * quarter));
    RC_ASSERT(again.append.empty());
    log.append(due.append);
    log.records.back().appended = wall_ms(1'000 + 2 * quarter);
    read_to_end(state, log);
    auto const after =
        on_tick(state, all, at_ms(9'000), wall_ms(1'001 + 2 * quarter));
    RC_ASSERT(after.append.empty());
    log.first = 2;
    auto fresh = store_named("fresh");
    read_to_end(fresh, log);
    RC_ASSERT(in_force(fresh) == in_force(state));
}

TEST(store, one_of_all_has_the_first_turn)
{
    std::vector<instance_id> all;
    all.reserve(100);
    for (int at = 0; at < 100; ++at)
        all.emplace_back("n" + std::to_string(at));
    int first = 0;
    for (auto const& self : all)
    {
        auto others = all;
        std::erase(others, self);
        auto const turn =
            snapshot_turn(self, others, wall_ms(7), std::chrono::hours(1));
        first += turn.count() == 0 ? 1 : 0;
    }
    EXPECT_EQ(first, 1);
}

TEST(store, a_node_that_learned_from_peers_only_still_takes_its_turn)
{
    model_log log;
    log.append(pack(edit_from(0, "a")));
    auto old = store_named("old");
    read_to_end(old, log);
    auto fresh = store_named("fresh");
    on_tables(fresh, hand_over(old, log_offset(0)));
    auto const late = 1'000 + fresh.options.retention.count() / 2;
    EXPECT_FALSE(on_tick(fresh, {}, at_ms(0), wall_ms(late)).append.empty());
}

} // namespace jujubestand::config
