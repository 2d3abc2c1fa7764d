#include <algorithm>
#include <gtest/gtest.h>
#include <iostream>
#include <jujubestand/gateway/stored_origins.hpp>
#include <jujubestand/status/messages.hpp>
#include <rapidcheck/gtest.h>

// Software versions of begun streams in the store: what is written, and when.
namespace jujubestand::gateway
{

namespace
{

constexpr std::chrono::milliseconds interval{250};
constexpr std::chrono::milliseconds retention{20'000};

mono_time at(int ms)
{
    return mono_time{std::chrono::milliseconds{100'000 + ms}};
}

origin_write_queue with_streams(std::vector<begun_stream> const& streams,
                                std::set<std::string> versions)
{
    origin_write_queue state;
    for (auto const& row : streams)
        keep_begun(state, row);
    state.versions = std::move(versions);
    return state;
}

origin_batch begin(origin_write_queue& state, int ms)
{
    return begin_origin_write(state, interval, retention, at(ms));
}

std::size_t size_of(origin_batch const& batch)
{
    std::size_t result = 0;
    for (auto const& [version, streams] : batch.streams)
        result += streams.size();
    return result;
}

// Routes of streams, each over its pools.
traffic::tables tables_of(std::vector<std::vector<std::string>> const& routes)
{
    traffic::tables result;
    for (auto const& pools : routes)
    {
        auto& route = result.routes.emplace_back();
        route.name = "r" + std::to_string(result.routes.size());
        route.kind = traffic::call_kind::stream;
        route.is_resumable = true;
        for (auto const& pool : pools)
            route.shares.push_back({pool});
    }
    return result;
}

std::set<std::string> to_store(stream_origins& origins,
                               traffic::tables const& tables)
{
    route_pools former;
    former.known_since = at(-100'000);
    return versions_to_store(origins, former, tables, {}, at(10));
}

/// What a fleet of gateways writes.
struct fleet_figures
{
    std::size_t writes = 0;
    std::size_t bytes = 0;
    /// Streams that began in the last second, and those of them that no
    /// acknowledged write has.
    std::size_t last = 0;
    std::size_t unstored = 0;
};

constexpr int fleet_seconds = 20;

// Streams begin evenly at all gateways; an append takes 5 ms, and a gateway
// looks each 100 ms whether a write is due.
fleet_figures play_fleet(std::size_t gateways, std::size_t streams_per_second,
                         std::set<std::string> const& versions)
{
    constexpr int tick_ms = 100;
    constexpr int append_ms = 5;
    constexpr int end_ms = fleet_seconds * 1'000;
    auto const pause = origin_write_interval(
        gateways, origin_partitions(origin_partitions_limit));
    std::vector<origin_write_queue> queues(gateways);
    fleet_figures result;
    std::size_t begun = 0;
    for (int ms = 0; ms <= end_ms; ++ms)
    {
        auto const due = streams_per_second * static_cast<std::size_t>(ms);
        for (; begun * 1'000 < due; ++begun)
        {
            keep_begun(queues[begun % gateways],
                       {origin_key_of(std::to_string(begun)),
                        begun % 2 == 0 ? "old" : "new", at(ms)});
            result.last += ms > end_ms - 1'000 ? 1 : 0;
        }
        for (std::size_t at_gateway = 0; at_gateway < gateways; ++at_gateway)
        {
            auto& queue = queues[at_gateway];
            int const own_ms = ms + static_cast<int>(at_gateway * 7 % tick_ms);
            if (own_ms % tick_ms == append_ms && !queue.writing.empty())
                end_origin_write(queue, true, at(ms));
            if (own_ms % tick_ms != 0)
                continue;
            queue.versions = versions;
            auto const batch =
                begin_origin_write(queue, pause, retention, at(ms));
            result.writes += batch.streams.empty() ? 0 : 1;
            result.bytes +=
                batch.streams.empty() ? 0 : status::to_bytes(batch).size();
        }
    }
    for (auto const& queue : queues)
        result.unstored += queue.unstored.size() + queue.writing.size();
    return result;
}

} // namespace

// The store was to cost nothing where a version can be inferred.
TEST(stored_origins, nothing_is_written_while_pools_have_one_version)
{
    stream_origins origins;
    record_software(origins, "engines", "old", at(0));
    record_software(origins, "engines", "", at(0));
    record_software(origins, "books", "new", at(0));
    auto const tables = tables_of({{"engines"}, {"books"}});
    EXPECT_TRUE(to_store(origins, tables).empty());
    auto state = with_streams({{1, "old", at(0)}}, {});
    EXPECT_TRUE(begin(state, 10).streams.empty());
}

// All gateways and agents were killed while two versions served: the versions
// that streams began at were lost (LOST).
TEST(stored_origins, versions_of_pools_with_several_are_written)
{
    stream_origins origins;
    record_software(origins, "engines", "old", at(0));
    record_software(origins, "engines", "new", at(0));
    std::set<std::string> const both{"new", "old"};
    EXPECT_EQ(to_store(origins, tables_of({{"engines"}})), both);
    auto state = with_streams({{1, "old", at(0)}, {2, "new", at(1)}}, both);
    EXPECT_EQ(begin(state, 10).streams,
              (std::map<std::string, std::vector<origin_key>>{{"new", {2}},
                                                              {"old", {1}}}));
}

TEST(stored_origins, pools_of_one_version_each_count_together_in_a_split_route)
{
    stream_origins origins;
    record_software(origins, "engines", "old", at(0));
    record_software(origins, "next", "new", at(0));
    EXPECT_TRUE(to_store(origins, tables_of({{"engines"}, {"next"}})).empty());
    EXPECT_EQ(to_store(origins, tables_of({{"engines", "next"}})).size(), 2U);
}

TEST(stored_origins, routes_whose_streams_are_not_resumed_need_nothing)
{
    stream_origins origins;
    record_software(origins, "engines", "old", at(0));
    record_software(origins, "engines", "new", at(0));
    auto tables = tables_of({{"engines"}});
    tables.routes[0].is_resumable = false;
    EXPECT_TRUE(to_store(origins, tables).empty());
}

// Streams that had begun before the second version came were lost with all
// processes (LOST).
TEST(stored_origins, streams_of_before_are_written_when_a_second_version_comes)
{
    auto state = with_streams({{1, "old", at(0)}}, {});
    EXPECT_TRUE(begin(state, 10).streams.empty());
    state.versions = {"old", "new"};
    EXPECT_EQ(size_of(begin(state, 10'000)), 1U);
}

TEST(stored_origins, a_failed_write_is_repeated)
{
    auto state = with_streams({{1, "old", at(0)}}, {"old", "new"});
    EXPECT_EQ(size_of(begin(state, 0)), 1U);
    EXPECT_TRUE(begin(state, 300).streams.empty());
    end_origin_write(state, false, at(1'500));
    EXPECT_TRUE(begin(state, 1'600).streams.empty());
    EXPECT_EQ(size_of(begin(state, 2'000)), 1U);
    end_origin_write(state, true, at(2'010));
    EXPECT_TRUE(begin(state, 3'000).streams.empty());
}

// A gateway that can't reach the store, and the others were killed (LOST).
TEST(stored_origins, streams_that_cannot_be_written_are_handed_over_once)
{
    auto state = with_streams({{1, "old", at(0)}}, {"old", "new"});
    EXPECT_EQ(size_of(begin(state, 0)), 1U);
    end_origin_write(state, false, at(100));
    keep_begun(state, {2, "old", at(100), true});
    auto const handed = hand_over(state);
    ASSERT_EQ(handed.size(), 1U);
    EXPECT_EQ(handed[0].stream, 1U);
    EXPECT_TRUE(hand_over(state).empty());
    EXPECT_EQ(size_of(begin(state, 1'000)), 2U);
}

// A record lapsed before the stream's callers had left (LOST).
TEST(stored_origins, a_record_is_written_again_before_it_lapses)
{
    auto state = with_streams({{1, "old", at(0)}}, {"old", "new"});
    (void)begin(state, 0);
    end_origin_write(state, true, at(5));
    EXPECT_TRUE(begin(state, 9'000).streams.empty());
    EXPECT_EQ(size_of(begin(state, 10'500)), 1U);
    end_origin_write(state, true, at(10'505));
    EXPECT_TRUE(begin(state, 70'000).streams.empty());
}

// The store returned from an older copy and had lost the records (LOST).
TEST(stored_origins, all_is_written_again_when_the_store_has_lost_it)
{
    auto state = with_streams({{1, "old", at(0)}}, {"old", "new"});
    (void)begin(state, 0);
    end_origin_write(state, true, at(5));
    write_origins_again(state);
    EXPECT_EQ(size_of(begin(state, 1'000)), 1U);
}

TEST(stored_origins, a_returned_store_is_read_from_its_first_record)
{
    origin_look_up state;
    state.partitions = {{7}, {9}};
    EXPECT_FALSE(apply_store_era(state, 0));
    EXPECT_FALSE(apply_store_era(state, 1));
    EXPECT_FALSE(apply_store_era(state, 1));
    EXPECT_EQ(state.partitions[1].next, 9U);
    EXPECT_TRUE(apply_store_era(state, 2));
    EXPECT_EQ(state.partitions[0].next, 0U);
    EXPECT_EQ(state.partitions[1].next, 0U);
}

TEST(stored_origins, only_the_newest_records_are_read)
{
    origin_position position{0};
    EXPECT_EQ(advance(position, {0, origin_records_limit, 1}), read_step::more);
    EXPECT_EQ(position.next, 1U);
    EXPECT_EQ(advance(position, {0, origin_records_limit + 5, 1}),
              read_step::more);
    EXPECT_EQ(position.next, 5U);
    EXPECT_EQ(advance(position, {0, origin_records_limit + 5, 4}),
              read_step::more);
    EXPECT_EQ(position.next, 9U);
    EXPECT_EQ(advance(position, {0, 12, 3}), read_step::done);
    EXPECT_EQ(advance(position, {0, 12, 0}), read_step::done);
}

TEST(stored_origins, lapsed_records_are_passed_over)
{
    origin_position position{3};
    EXPECT_EQ(advance(position, {7, 9, 0}), read_step::more);
    EXPECT_EQ(position.next, 7U);
    EXPECT_EQ(move_to(position, 8), read_step::more);
    EXPECT_EQ(position.next, 8U);
}

// A store that returned no record of those that it has was taken for one that
// has none: the look-up counted as complete.
TEST(stored_origins, a_read_that_returns_nothing_of_what_there_is_has_failed)
{
    origin_position position{3};
    EXPECT_EQ(advance(position, {0, 9, 0}), read_step::failed);
    EXPECT_EQ(move_to(position, 3), read_step::failed);
}

// A partition takes one append at a time, 3 ms each; more are refused.
TEST(stored_origins, the_writes_of_all_gateways_fit_into_the_partitions)
{
    constexpr double append_s = 0.003;
    for (std::size_t const gateways : {3U, 24U, 103U, 390U})
    {
        auto const partitions = origin_partitions(16);
        double const interval_s =
            static_cast<double>(
                origin_write_interval(gateways, partitions).count()) /
            1'000;
        double const busy = static_cast<double>(gateways) / interval_s *
                            append_s / static_cast<double>(partitions);
        EXPECT_LT(busy, 0.7) << gateways;
        EXPECT_LT(interval_s, 0.5) << gateways;
    }
}

// Of the streams that begin in the last second before all processes are killed
// more than half go on, and the store takes the writes of all gateways.
TEST(stored_origins, a_fleet_stores_most_streams_of_the_last_second)
{
    struct fleet
    {
        std::size_t gateways;
        std::size_t streams_per_second;
    };
    // 3 ms for each append, over the partitions that are used.
    constexpr double appends_limit = origin_partitions_limit / 0.003;
    for (auto const& [gateways, streams] :
         std::vector<fleet>{{3, 50}, {24, 340}, {103, 940}, {390, 3'300}})
    {
        auto const played = play_fleet(gateways, streams, {"old", "new"});
        double const writes =
            static_cast<double>(played.writes) / fleet_seconds;
        std::cout << gateways << " gateways, " << streams
                  << " streams/s: writes/s " << writes << ", bytes/s "
                  << played.bytes / fleet_seconds << ", unstored of "
                  << played.last << " in the last second " << played.unstored
                  << '\n';
        EXPECT_LT(writes, appends_limit) << gateways;
        EXPECT_LT(2 * played.unstored, played.last) << gateways;
        EXPECT_EQ(play_fleet(gateways, streams, {}).writes, 0U) << gateways;
    }
}

TEST(stored_origins, what_waits_for_the_store_is_bounded)
{
    constexpr origin_key count = 100'000;
    origin_write_queue state;
    for (origin_key stream = 0; stream < count; ++stream)
        keep_begun(state, {stream, "old", at(0)});
    EXPECT_LT(state.unstored.size(), 20'000U);
    EXPECT_EQ(state.unstored.back().stream, count - 1);
    state.versions = {"old", "new"};
    constexpr std::size_t record_bytes = 262'144;
    EXPECT_LT(status::to_bytes(begin(state, 0)).size(), record_bytes);
}

RC_GTEST_PROP(stored_origins, a_batch_is_read_as_it_was_written,
              (std::map<origin_key, std::uint8_t> const& streams))
{
    origin_write_queue state;
    std::set<std::string> versions;
    for (auto const& [stream, version] : streams)
    {
        versions.insert(std::to_string(version));
        keep_begun(state, {stream, std::to_string(version), at(0)});
    }
    state.versions = versions;
    auto const record = status::to_bytes(begin(state, 0));
    stream_origins origins;
    RC_ASSERT(apply_origin_batch(origins, record));
    for (auto const& [stream, version] : streams)
        RC_ASSERT(find_origin(origins, stream) == std::to_string(version));
}

// A record of another writer: the rest of the topic is read all the same.
RC_GTEST_PROP(stored_origins, odd_records_are_left_out,
              (std::string const& record))
{
    stream_origins origins;
    if (!apply_origin_batch(origins, record))
        RC_ASSERT(origins.stored.size() == 0U);
}

TEST(stored_origins, a_record_of_another_format_is_left_out)
{
    origin_batch batch;
    batch.format = 2;
    batch.streams["old"] = {1};
    stream_origins origins;
    EXPECT_FALSE(apply_origin_batch(origins, status::to_bytes(batch)));
    EXPECT_EQ(origins.stored.size(), 0U);
}

} // namespace jujubestand::gateway
