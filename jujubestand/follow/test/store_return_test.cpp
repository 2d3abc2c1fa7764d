#include <iostream>
#include <jujubestand/follow/test/store_model.hpp>

// Copies of one topic whose store returns from older copies, in random order
// with reads, late answers and exchanges between peers.
namespace jujubestand::follow::test
{

namespace
{

constexpr unsigned seed_count = 200;
constexpr int step_count = 600;
constexpr int quiet_rounds = 12;

void play(model& played)
{
    for (int at = 0; at < step_count && !testing::Test::HasFailure(); ++at)
        played.step();
    while (!played.lost.empty())
        played.write_again();
    for (int at = 0; at < quiet_rounds; ++at)
    {
        played.fetches = 0;
        played.exchange_all();
        if (testing::Test::HasFailure())
            return;
    }
    EXPECT_EQ(played.fetches, 0U);
    for (auto const& each : played.processes)
    {
        EXPECT_EQ(each.copy.next, played.log.size());
        for (auto const& row : played.listed().records)
            EXPECT_EQ(each.copy.newest.at(row.key).value, row.value);
        EXPECT_EQ(live_keys(each.copy), played.listed().records.size());
    }
}

void play_all(bool keeps_lost_keys, bool peers_restart)
{
    std::cout << "seeds 1 to " << seed_count << std::endl;
    for (unsigned seed = 1; seed <= seed_count; ++seed)
    {
        SCOPED_TRACE("seed " + std::to_string(seed));
        model played(seed, keeps_lost_keys);
        played.peers_restart_in_fetches = peers_restart;
        play(played);
        if (testing::Test::HasFailure())
            return;
    }
}

} // namespace

TEST(store_return, copies_that_keep_lost_keys_agree_with_the_store)
{
    play_all(true, false);
}

TEST(store_return, copies_that_drop_lost_keys_agree_with_the_store)
{
    play_all(false, false);
}

// A peer that has just started has nothing to pass on.
TEST(store_return, peers_that_restart_before_they_are_read_prove_nothing)
{
    play_all(true, true);
}

// A value that was lost reached a process by a peer that had it from another
// one; a process that has read the store's older one must still take it.
TEST(store_return, a_lost_value_is_passed_on_by_a_peer_that_had_it_before)
{
    listing const older{{{"a", "1", 3}}, 4, true, 2};
    std::array<topic, 3> copies;
    for (auto& copy : copies)
    {
        copy.version_of = stated_version;
        copy.keeps_lost_keys = true;
    }
    auto& [reader, second, started] = copies;
    on_listing(reader, {{{"a", "2", 4}}, 5, true, 1}, at(100));
    second = reader;
    on_listing(reader, older, at(200));
    on_peer_records(second, changes_since(reader, 0), 0, at(200));
    on_listing(started, older, at(300));
    on_peer_records(started, changes_since(second, 0), 0, at(300));
    EXPECT_EQ(started.newest.at("a").value, "2");
    EXPECT_FALSE(lacks_any(started, unrestored_versions(second)));
}

// A read is under way from an offset of the earlier era while a peer's list of
// the later era arrives: the page then begins after the end of the copy.
TEST(store_return, a_page_that_begins_after_the_copy_is_not_applied)
{
    topic copy;
    on_listing(copy, {{{"a", "1", 3}}, 9, true, 1}, at(100));
    on_listing(copy, {{{"a", "1", 3}}, 4, true, 2}, at(200));
    on_page(copy, {{{"b", "1", 9}}, 10, 2}, at(300));
    EXPECT_EQ(copy.next, 4U);
    EXPECT_EQ(copy.current_as_of, at(200));
}

// A removal that a peer knows is older than the value here.
TEST(store_return, an_older_removal_of_a_peer_does_not_remove_a_newer_value)
{
    topic ahead;
    ahead.version_of = stated_version;
    topic behind = ahead;
    on_listing(behind, {{{"a", "5", 3}}, 4, true, 1}, at(100));
    on_page(behind, {{{"a", "", 4}}, 5, 1}, at(200));
    ahead = behind;
    on_page(ahead, {{{"a", "6", 5}}, 6, 1}, at(300));
    listing const older{{{"a", "4", 2}}, 3, true, 2};
    on_listing(behind, older, at(400));
    on_listing(ahead, older, at(400));
    on_peer_records(ahead, changes_since(behind, 0), 0, at(500));
    EXPECT_EQ(ahead.newest.at("a").value, "6");
    on_page(ahead, {{{"a", "6", 3}}, 4, 2}, at(600));
    EXPECT_EQ(ahead.newest.at("a").value, "6");
}

// A key that was written and removed before a second list leaves no trace in
// it; a peer that has the key must get the whole list.
TEST(store_return, a_second_list_is_not_passed_on_as_the_changes_before_it)
{
    topic lister;
    on_listing(lister, {{}, 4, true, 1}, at(100));
    topic peer = lister;
    on_page(peer, {{{"a", "1", 4}}, 5, 1}, at(200));
    on_listing(lister, {{}, 6, true, 1}, at(300));
    on_peer_records(peer, changes_since(lister, 5), 5, at(300));
    EXPECT_EQ(live_keys(peer), 0U);
}

// A page that doesn't reach the end has records that a list has superseded.
TEST(store_return, a_late_page_brings_no_removed_key_back)
{
    topic copy;
    on_listing(copy, {{}, 4, true, 1}, at(100));
    on_listing(copy, {{}, 6, true, 1}, at(300));
    on_page(copy, {{{"a", "1", 4}}, 8, 1}, at(200));
    EXPECT_EQ(live_keys(copy), 0U);
}

} // namespace jujubestand::follow::test
