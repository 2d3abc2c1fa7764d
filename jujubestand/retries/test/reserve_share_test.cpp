#include <algorithm>
#include <array>
#include <gtest/gtest.h>
#include <jujubestand/retries/reserve_share.hpp>
#include <jujubestand/retries/retry.hpp>
#include <set>
#include <vector>

namespace jujubestand::retries
{

namespace
{

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds window{10'000};
constexpr std::chrono::milliseconds step{625};

shared_reserve reserve_of(double retries, std::uint32_t processes,
                          std::uint32_t position)
{
    return {retries, window, processes, position};
}

/// Processes that retry whenever their budget allows it.
struct played_processes
{
    /// Times at which any of them retried.
    std::vector<std::chrono::milliseconds> retried;
    /// Those that retried at all.
    std::set<std::uint32_t> served;
};

played_processes play(double retries, std::uint32_t processes,
                      std::chrono::milliseconds duration)
{
    std::vector<retry_budget> budgets(processes);
    played_processes result;
    request_progress progress;
    progress.is_idempotent = true;
    progress.deadline = mono_time{24h};
    attempt_failure failure;
    failure.has_alternative = true;
    for (auto time = window; time < duration; time += step)
    {
        for (std::uint32_t at = 0; at < processes; ++at)
        {
            // Their clocks differ by up to 12 ms.
            wall_time const wall{time + std::chrono::milliseconds{at % 13}};
            auto const share =
                share_of(reserve_of(retries, processes, at), wall);
            retry_options options;
            options.budget_limit = share.retries;
            options.budget_turn = share.turn;
            options.budget_per_second = 0;
            while (decide(budgets[at], options, progress, failure,
                          mono_time{time}, 0)
                       .is_retry)
            {
                result.retried.push_back(time);
                result.served.insert(at);
            }
        }
    }
    return result;
}

std::size_t most_in_window(std::vector<std::chrono::milliseconds> const& times)
{
    std::size_t most = 0;
    for (auto first = times.begin(); first != times.end(); ++first)
        most = std::max(
            most,
            static_cast<std::size_t>(
                std::upper_bound(first, times.end(), *first + window) - first));
    return most;
}

} // namespace

TEST(reserve_share, is_even_while_each_process_has_a_retry)
{
    auto const share = share_of(reserve_of(9, 6, 5), wall_time{});
    EXPECT_DOUBLE_EQ(share.retries, 1.5);
    EXPECT_EQ(share.turn, 0U);
}

TEST(reserve_share, is_nothing_while_the_processes_are_not_known)
{
    EXPECT_EQ(share_of(reserve_of(9, 0, 0), wall_time{}).retries, 0);
}

// More processes than retries made more retries in a window than the reserve
// has (BUDGET).
TEST(reserve_share, many_processes_stay_within_the_reserve_and_have_turns)
{
    for (double const retries : {2.0, 25.5, 46.0, 209.0})
    {
        for (std::uint32_t const processes : {3U, 26U, 40U, 103U, 390U})
        {
            // Enough for all to have a turn.
            auto const duration =
                window * (3 + processes / static_cast<unsigned>(retries / 2));
            auto const played = play(retries, processes, duration);
            EXPECT_LE(static_cast<double>(most_in_window(played.retried)),
                      std::max(retries, 1.0))
                << retries << ' ' << processes;
            EXPECT_EQ(played.served.size(), processes) << retries;
        }
    }
}

// Where clocks differed by 5 s, the retries of three turns could come within
// one window: late ones by a clock that is behind and early ones by one ahead.
TEST(reserve_share, holds_in_any_window_where_clocks_differ)
{
    constexpr std::chrono::milliseconds tolerance{5'000};
    for (double const retries : {2.0, 4.0, 24.0, 46.0})
    {
        auto const holders = static_cast<std::uint32_t>(retries / 2);
        auto const processes = 3 * holders;
        for (auto start = window; start < 6 * window; start += step)
        {
            std::size_t retried = 0;
            for (std::uint32_t at = 0; at < processes; ++at)
            {
                // Groups have turns in the order 0, 2, 1.
                constexpr std::array ahead{0ms, 5'000ms, 2'500ms};
                auto reserve = reserve_of(retries, processes, at);
                reserve.clock_tolerance = tolerance;
                std::set<std::uint64_t> turns;
                for (auto time = start; time < start + window; time += step)
                {
                    auto const share = share_of(
                        reserve, wall_time{time + ahead.at(at / holders)});
                    if (share.retries > 0)
                        turns.insert(share.turn);
                }
                retried += turns.size();
            }
            EXPECT_LE(static_cast<double>(retried), retries)
                << start.count() << ' ' << retries;
        }
    }
}

// Neither a restart nor a clock that is set back brings a second retry.
TEST(reserve_share, a_turn_adds_its_retry_once)
{
    retry_options options;
    options.budget_limit = 1;
    options.budget_turn = 7;
    options.budget_per_second = 0;
    request_progress progress;
    progress.is_idempotent = true;
    progress.deadline = mono_time{24h};
    auto const retries_at = [&](retry_budget& budget, mono_time now)
    {
        return decide(budget, options, progress, {}, now, 0).is_retry;
    };
    retry_budget budget;
    EXPECT_TRUE(retries_at(budget, mono_time{1h}));
    EXPECT_FALSE(retries_at(budget, mono_time{1h + 1s}));
    options.filled_from = mono_time{1h + 12s};
    retry_budget restarted;
    EXPECT_FALSE(retries_at(restarted, mono_time{1h + 2s}));
    options.budget_turn = 8;
    EXPECT_FALSE(retries_at(restarted, mono_time{1h + 11s}));
    EXPECT_TRUE(retries_at(restarted, mono_time{1h + 13s}));
    EXPECT_TRUE(retries_at(budget, mono_time{1h + 13s}));
    // The wall clock is set back.
    options.budget_turn = 7;
    EXPECT_FALSE(retries_at(budget, mono_time{1h + 14s}));
}

} // namespace jujubestand::retries
