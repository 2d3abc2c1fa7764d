#include <gtest/gtest.h>
#include <jujubestand/http1/client_account.hpp>

namespace jujubestand::http1
{

namespace
{

using std::chrono::milliseconds;

constexpr mono_time start{std::chrono::hours{1}};
constexpr client_pace pace{1'000};

peer_id numbered(std::uint32_t number)
{
    return {number, 1};
}

client_row row(std::uint32_t number, client_stage stage, milliseconds age)
{
    client_row result;
    result.id = numbered(number);
    result.stage = stage;
    result.since = start - age;
    result.moved_at = start;
    return result;
}

client_row receiving(std::uint32_t number, std::size_t received,
                     milliseconds age)
{
    auto result = row(number, client_stage::receiving, age);
    result.received = received;
    result.held = received;
    return result;
}

} // namespace

// Silent clients kept their connections while callers were closed.
TEST(client_account, silent_clients_go_before_idle_and_slow_ones)
{
    std::vector<client_row> const rows{
        row(1, client_stage::idle, milliseconds{9'000}),
        receiving(2, 10, milliseconds{5'000}),
        row(3, client_stage::silent, milliseconds{2'000}),
        row(4, client_stage::idle, milliseconds{12'000}),
        row(5, client_stage::silent, milliseconds{10}),
        row(6, client_stage::closing, milliseconds{10})};
    EXPECT_EQ(closable_clients(rows, pace, start),
              (std::vector{numbered(3), numbered(4), numbered(1), numbered(2),
                           numbered(6), numbered(5)}));
}

TEST(client_account, a_client_that_keeps_its_pace_is_never_closed)
{
    auto reader = row(3, client_stage::answering, milliseconds{9'000});
    reader.unread = 1'000;
    std::vector<client_row> const rows{
        receiving(1, 10, milliseconds{900}),
        receiving(2, 6'000, milliseconds{5'000}), reader,
        row(4, client_stage::answering, milliseconds{9'000})};
    EXPECT_TRUE(closable_clients(rows, pace, start).empty());
    EXPECT_TRUE(slow_holders(rows, 1'000'000, pace, start).empty());
}

// A body that stops just short of its end has a good rate for long.
TEST(client_account, a_client_that_stops_midway_is_slow_whatever_it_has_sent)
{
    auto stopped = receiving(1, 4'000'000, milliseconds{1'500});
    stopped.moved_at = start - milliseconds{1'100};
    EXPECT_TRUE(is_slow(stopped, pace, start));
    auto unread = row(2, client_stage::answering, milliseconds{9'000});
    unread.unread = 1'000;
    unread.moved_at = start - milliseconds{2'100};
    EXPECT_TRUE(is_slow(unread, pace, start));
    unread.unread = 0;
    EXPECT_FALSE(is_slow(unread, pace, start)) << "waits for the owner";
}

TEST(client_account, the_slowest_goes_first)
{
    std::vector<client_row> const rows{receiving(1, 900, milliseconds{2'000}),
                                       receiving(2, 30, milliseconds{2'000}),
                                       receiving(3, 400, milliseconds{2'000})};
    EXPECT_EQ(closable_clients(rows, pace, start),
              (std::vector{numbered(2), numbered(3), numbered(1)}));
}

TEST(client_account, no_more_slow_holders_go_than_needed)
{
    std::vector<client_row> const rows{
        receiving(1, 100, milliseconds{2'000}),
        receiving(2, 900, milliseconds{2'000}),
        receiving(3, 500, milliseconds{2'000}),
        receiving(4, 90'000, milliseconds{2'000})};
    EXPECT_EQ(slow_holders(rows, 1'000, pace, start),
              (std::vector{numbered(2), numbered(3)}));
}

} // namespace jujubestand::http1
