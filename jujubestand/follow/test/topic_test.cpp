#include <gtest/gtest.h>
#include <jujubestand/follow/lapses.hpp>
#include <jujubestand/follow/topic.hpp>

namespace jujubestand::follow
{

namespace
{

mono_time at(int ms)
{
    return mono_time{std::chrono::milliseconds{ms}};
}

topic listed()
{
    topic state;
    on_listing(state, {{{"a", "1", 3}, {"b", "1", 4}}, 5}, at(100));
    return state;
}

} // namespace

TEST(topic, a_list_removes_unlisted_keys)
{
    auto state = listed();
    auto const changes = on_listing(state, {{{"a", "1", 3}}, 9}, at(200));
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes[0].key, "b");
    EXPECT_TRUE(changes[0].value.empty());
    EXPECT_EQ(live_keys(state), 1U);
}

// If the store deletes records, removals show only in a list. Gateways that
// don't list the topic themselves missed them.
TEST(topic, a_removal_found_by_a_list_is_passed_to_peers)
{
    auto reader = listed();
    auto peer = listed();
    on_listing(reader, {{{"a", "1", 3}}, 9}, at(200));
    auto const records = changes_since(reader, peer.next);
    auto const changes = on_peer_records(peer, records, peer.next, at(200));
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes[0].key, "b");
    EXPECT_EQ(peer.next, 9U);
    EXPECT_EQ(live_keys(peer), live_keys(reader));
}

// A process that has just read a list lacks the removals from before it. A peer
// that took its records kept removed upstreams for good (DRAIN).
TEST(topic, a_fresh_list_is_not_passed_on_as_the_changes_before_it)
{
    auto peer = listed();
    topic fresh;
    on_listing(fresh, {{{"a", "1", 3}}, 9}, at(200));
    on_peer_records(peer, changes_since(fresh, peer.next), peer.next, at(200));
    EXPECT_TRUE(peer.next < 9 || live_keys(peer) == live_keys(fresh));
}

// The list must reach a peer as a whole: only then do its removals show.
TEST(topic, a_fresh_list_removes_keys_of_a_peer_that_has_older_records)
{
    auto peer = listed();
    topic fresh;
    on_listing(fresh, {{{"a", "1", 3}, {"c", "1", 7}}, 9}, at(200));
    auto const changes = on_peer_records(peer, changes_since(fresh, peer.next),
                                         peer.next, at(200));
    ASSERT_EQ(changes.size(), 2U);
    EXPECT_EQ(changes[0].key, "c");
    EXPECT_EQ(changes[1].key, "b");
    EXPECT_TRUE(changes[1].value.empty());
    EXPECT_EQ(peer.next, 9U);
    // From the list on, the changes alone are enough.
    on_page(fresh, {{{"c", "2", 9}}, 10}, at(300));
    EXPECT_FALSE(changes_since(fresh, 9).is_complete);
    EXPECT_EQ(changes_since(fresh, 9).records.size(), 1U);
}

// A key that was written after the list was made is not in it.
TEST(topic, a_complete_list_of_a_peer_removes_nothing_that_is_newer)
{
    auto state = listed();
    on_page(state, {{{"c", "1", 5}, {"d", "1", 6}}, 7}, at(200));
    topic fresh;
    on_listing(fresh, {{{"a", "1", 3}, {"b", "1", 4}, {"c", "1", 5}}, 6},
               at(100));
    EXPECT_TRUE(changes_since(fresh, 2).is_complete);
    EXPECT_TRUE(
        on_peer_records(state, changes_since(fresh, 2), 2, at(300)).empty());
    EXPECT_EQ(live_keys(state), 4U);
}

TEST(topic, an_outdated_list_or_page_is_ignored)
{
    auto state = listed();
    EXPECT_TRUE(on_listing(state, {{}, 4}, at(900)).empty());
    EXPECT_TRUE(on_page(state, {{{"a", "0", 1}}, 2}, at(900)).empty());
    EXPECT_EQ(live_keys(state), 2U);
    EXPECT_EQ(staleness(state, at(150)), microseconds{50'000});
}

TEST(topic, an_older_record_does_not_replace_a_newer_one)
{
    auto state = listed();
    EXPECT_TRUE(on_page(state, {{{"a", "0", 2}}, 6}, at(200)).empty());
    EXPECT_EQ(state.newest["a"].value, "1");
}

TEST(topic, only_the_last_page_confirms_the_copy)
{
    auto state = listed();
    on_page(state, {{{"c", "1", 5}}, 9}, at(300));
    EXPECT_EQ(state.current_as_of, at(100));
    on_page(state, {{{"d", "1", 6}, {"e", "1", 7}, {"f", "1", 8}}, 9}, at(400));
    EXPECT_EQ(state.current_as_of, at(400));
}

TEST(topic, a_confirmation_needs_a_complete_copy)
{
    auto state = listed();
    on_confirmation(state, 0, 6, at(500));
    EXPECT_EQ(state.current_as_of, at(100));
    on_confirmation(state, 0, 5, at(500));
    EXPECT_EQ(state.current_as_of, at(500));
    on_confirmation(state, 0, 5, at(50));
    EXPECT_EQ(state.current_as_of, at(500));
    topic unlisted;
    on_confirmation(unlisted, 0, 0, at(500));
    EXPECT_FALSE(staleness(unlisted, at(600)));
}

TEST(topic, peer_records_that_leave_a_gap_are_ignored)
{
    auto state = listed();
    EXPECT_TRUE(
        on_peer_records(state, {{{"c", "1", 8}}, 9}, 7, at(500)).empty());
    EXPECT_EQ(state.next, 5U);
    EXPECT_EQ(on_peer_records(state, {{{"c", "1", 8}}, 9}, 5, at(500)).size(),
              1U);
    EXPECT_EQ(state.next, 9U);
    topic unlisted;
    EXPECT_TRUE(on_peer_records(unlisted, {{}, 9}, 5, at(500)).empty());
    EXPECT_FALSE(unlisted.is_listed);
}

TEST(lapses, a_removal_without_an_outage_is_final)
{
    lapses state;
    on_store_answer(state, at(100));
    on_store_answer(state, at(600));
    EXPECT_TRUE(on_removed(state, "a", at(700)));
}

TEST(lapses, a_removal_after_an_outage_may_be_temporary)
{
    lapses state;
    on_store_answer(state, at(0));
    on_store_failure(state, at(3'000));
    on_store_answer(state, at(3'600));
    EXPECT_FALSE(on_removed(state, "a", at(3'700)));
    EXPECT_FALSE(on_removed(state, "b", at(3'700)));
    EXPECT_TRUE(take_expired(state, at(5'000)).empty());
    on_present(state, "a");
    EXPECT_EQ(take_expired(state, at(5'800)), std::vector<std::string>{"b"});
    EXPECT_TRUE(take_expired(state, at(9'000)).empty());
}

TEST(lapses, no_removal_is_final_during_an_outage)
{
    lapses state;
    on_store_answer(state, at(0));
    on_store_failure(state, at(2'000));
    EXPECT_FALSE(on_removed(state, "a", at(2'100)));
    on_store_failure(state, at(9'000));
    EXPECT_TRUE(take_expired(state, at(9'100)).empty());
}

// Guards against an outage that counts from when it was noticed: records that
// expired in one of up to twice `outage_min` were taken for removed.
TEST(lapses, an_outage_counts_from_the_last_confirmation)
{
    lapses state;
    for (int ms = 0; ms <= 2'600; ms += 100)
        on_copy_age(state, at(0), at(ms));
    EXPECT_FALSE(on_removed(state, "a", at(2'650)));
    on_copy_age(state, at(2'640), at(2'700));
    EXPECT_TRUE(take_expired(state, at(4'500)).empty());
    EXPECT_EQ(take_expired(state, at(4'900)), std::vector<std::string>{"a"});
}

TEST(lapses, a_copy_that_is_confirmed_regularly_shows_no_outage)
{
    lapses state;
    for (int ms = 0; ms <= 10'000; ms += 100)
    {
        int const confirmed_ms = ms - ms % 1'400;
        on_copy_age(state, at(confirmed_ms), at(ms));
        EXPECT_TRUE(on_removed(state, "a", at(ms)));
    }
}

} // namespace jujubestand::follow
