#include <gtest/gtest.h>

#include <jujubestand/streams/piece_digest.hpp>
#include <jujubestand/streams/receiver.hpp>
#include <jujubestand/streams/replay.hpp>
#include <jujubestand/streams/test/answer.hpp>
#include <random>
#include <rapidcheck/gtest.h>

namespace jujubestand::streams
{

namespace
{

constexpr incarnation_id entry{5};

replay_store small_store()
{
    replay_store store;
    store.limits.handed_bytes = 100;
    store.limits.waiting_bytes = 50;
    store.limits.total_bytes = 1'000;
    return store;
}

link::frame ending_of(std::uint64_t pieces)
{
    link::last made;
    made.request = mine;
    made.pieces = pieces;
    return link::to_frame(made);
}

/// Gives a frame to the receiver; what it relays goes to `caller`.
piece_fate deliver(receiver& state, link::frame const& arrived,
                   std::vector<std::string>& caller)
{
    reason why;
    if (arrived.kind == link::frame_kind::last)
        return take(state, *link::from_frame<link::last>(arrived, why)).fate;
    auto const piece = *link::from_frame<link::piece>(arrived, why);
    auto const fate = take(state, piece).fate;
    if (fate == piece_fate::relay)
        caller.push_back(piece.bytes);
    return fate;
}

} // namespace

RC_GTEST_PROP(replay, broken_links_lose_and_double_nothing, ())
{
    auto store = small_store();
    RC_ASSERT(begin(store, mine, entry));
    std::vector<std::string> all;
    std::vector<std::string> caller;
    std::vector<link::frame> flying;
    receiver state;
    state.request = mine;
    auto const pieces = *rc::gen::inRange<std::size_t>(0, 40);
    std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
    bool is_concluded = false;
    bool is_lost = false;
    for (int turn = 0; turn < 4'000 && !state.is_whole && !is_lost; ++turn)
    {
        auto const choice = random() % 10;
        if (choice < 4 && all.size() < pieces && !is_full(store, mine))
        {
            all.push_back(std::to_string(all.size()) +
                          std::string(random() % 30, 'x'));
            append(store, mine, all.back());
        }
        if (all.size() == pieces && !std::exchange(is_concluded, true))
            conclude(store, mine, ending_of(pieces));
        if (choice < 7 && flying.size() < 3)
        {
            if (auto next = next_frame(store, mine))
                flying.push_back(std::move(*next));
        }
        if (choice >= 5 && choice < 9 && !flying.empty())
        {
            RC_ASSERT(deliver(state, flying.front(), caller) !=
                      piece_fate::broken);
            flying.erase(flying.begin());
        }
        if (choice == 9)
        {
            flying.clear();
            detach(store, mine, mono_time{});
            reason why;
            is_lost = !attach(store, resume_after_break(state, entry), why);
        }
    }
    // Three frames fly at most and fit into what is kept.
    RC_ASSERT(!is_lost);
    RC_ASSERT(state.is_whole);
    RC_ASSERT(caller == all);
    erase(store, mine);
    RC_ASSERT(store.total_bytes == 0U);
}

TEST(replay, what_is_no_longer_kept_is_refused_not_skipped)
{
    auto store = small_store();
    begin(store, mine, entry);
    for (int number = 0; number < 10; ++number)
    {
        append(store, mine, std::string(40, 'x'));
        EXPECT_TRUE(next_frame(store, mine));
    }
    reason why;
    EXPECT_FALSE(attach(store, {mine, entry, 2}, why));
    EXPECT_EQ(why.code, reason_code::answer_out_of_order);
    EXPECT_FALSE(attach(store, {mine, entry, 11}, why));
    EXPECT_TRUE(attach(store, {mine, entry, 9}, why));
}

TEST(replay, another_entry_gets_nothing)
{
    auto store = small_store();
    begin(store, mine, entry);
    reason why;
    EXPECT_FALSE(attach(store, {mine, incarnation_id{6}, 0}, why));
    EXPECT_FALSE(attach(store, {other, entry, 0}, why));
    EXPECT_EQ(why.code, reason_code::answer_incomplete);
}

TEST(replay, a_detached_answer_is_kept_for_its_time)
{
    auto store = small_store();
    begin(store, mine, entry);
    append(store, mine, "x");
    mono_time const now{std::chrono::seconds(100)};
    detach(store, mine, now);
    auto const limit = now + store.limits.kept_for;
    EXPECT_TRUE(expire(store, limit - microseconds(1)).empty());
    EXPECT_EQ(expire(store, limit).size(), 1U);
    EXPECT_EQ(store.total_bytes, 0U);
    EXPECT_TRUE(store.windows.empty());
}

TEST(replay, over_the_bound_the_oldest_detached_goes_first)
{
    auto store = small_store();
    store.limits.total_bytes = 100;
    begin(store, mine, entry);
    begin(store, other, entry);
    append(store, mine, std::string(80, 'x'));
    append(store, other, std::string(80, 'x'));
    mono_time const now{std::chrono::seconds(100)};
    EXPECT_TRUE(expire(store, now).empty());
    detach(store, mine, now);
    detach(store, other, now + microseconds(1));
    EXPECT_EQ(expire(store, now), std::vector<request_id>{mine});
}

TEST(replay, a_full_window_holds_the_engine_back)
{
    auto store = small_store();
    begin(store, mine, entry);
    append(store, mine, std::string(50, 'x'));
    EXPECT_TRUE(is_full(store, mine));
    EXPECT_TRUE(next_frame(store, mine));
    EXPECT_FALSE(is_full(store, mine));
}

TEST(receiver, an_end_with_pieces_missing_does_not_count)
{
    receiver state;
    state.request = mine;
    EXPECT_EQ(take(state, link::piece{mine, 0, "a"}).fate, piece_fate::relay);
    link::last end;
    end.request = mine;
    end.pieces = 2;
    EXPECT_EQ(take(state, end).fate, piece_fate::broken);
    end.request = other;
    end.pieces = 1;
    EXPECT_EQ(take(state, end).fate, piece_fate::skip);
    EXPECT_FALSE(state.is_whole);
}

TEST(receiver, pieces_of_others_gaps_and_repeats_are_not_relayed)
{
    receiver state;
    state.request = mine;
    EXPECT_EQ(take(state, link::piece{other, 0, "a"}).fate, piece_fate::skip);
    EXPECT_EQ(take(state, link::piece{mine, 0, "a"}).fate, piece_fate::relay);
    EXPECT_EQ(take(state, link::piece{mine, 0, "a"}).fate, piece_fate::skip);
    EXPECT_EQ(take(state, link::piece{mine, 2, "c"}).fate, piece_fate::broken);
}

TEST(receiver, a_second_engine_repeats_and_goes_on)
{
    receiver state;
    state.request = mine;
    state.keeps_digests = true;
    for (std::uint64_t at = 0; at < 3; ++at)
        EXPECT_EQ(
            take(state, link::piece{mine, at, token_text(mine, at, "t")}).fate,
            piece_fate::relay);
    ASSERT_TRUE(can_repeat(state));
    begin_repeat(state);
    for (std::uint64_t at = 0; at < 3; ++at)
    {
        // Another engine writes another time beside the same text.
        auto const text = token_text(mine, at, "t", "null", "2");
        EXPECT_EQ(take(state, link::piece{mine, at, text}).fate,
                  piece_fate::skip);
    }
    EXPECT_EQ(take(state, link::piece{mine, 3, "end"}).fate, piece_fate::relay);
}

TEST(receiver, a_second_engine_that_differs_breaks_the_answer)
{
    receiver state;
    state.request = mine;
    state.keeps_digests = true;
    EXPECT_EQ(take(state, link::piece{mine, 0, token_text(mine, 0, "t")}).fate,
              piece_fate::relay);
    begin_repeat(state);
    auto const differing = link::piece{mine, 0, token_text(mine, 0, "u")};
    EXPECT_EQ(take(state, differing).fate, piece_fate::broken);
}

TEST(receiver, a_shorter_second_answer_is_not_whole)
{
    receiver state;
    state.request = mine;
    state.keeps_digests = true;
    for (std::uint64_t at = 0; at < 2; ++at)
        EXPECT_EQ(take(state, link::piece{mine, at, "t"}).fate,
                  piece_fate::relay);
    begin_repeat(state);
    EXPECT_EQ(take(state, link::piece{mine, 0, "t"}).fate, piece_fate::skip);
    link::last end;
    end.request = mine;
    end.pieces = 1;
    EXPECT_EQ(take(state, end).fate, piece_fate::broken);
}

TEST(receiver, without_digests_only_an_unbegun_answer_can_be_repeated)
{
    receiver state;
    state.request = mine;
    EXPECT_TRUE(can_repeat(state));
    EXPECT_EQ(take(state, link::piece{mine, 0, "t"}).fate, piece_fate::relay);
    EXPECT_FALSE(can_repeat(state));
}

TEST(piece_digest, greedy_or_seeded_requests_can_be_repeated)
{
    EXPECT_TRUE(is_repeatable(R"({"temperature":0})"));
    EXPECT_TRUE(is_repeatable(R"({"temperature":0.0})"));
    EXPECT_TRUE(is_repeatable(R"({"seed":4,"temperature":1})"));
    EXPECT_FALSE(is_repeatable(R"({"temperature":0.5})"));
    EXPECT_FALSE(is_repeatable(R"({"seed":null})"));
    EXPECT_FALSE(is_repeatable("{}"));
    EXPECT_FALSE(is_repeatable("{"));
}

} // namespace jujubestand::streams
