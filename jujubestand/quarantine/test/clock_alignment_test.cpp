#include <gtest/gtest.h>
#include <jujubestand/quarantine/clock_alignment.hpp>
#include <jujubestand/quarantine/test/evidence_group.hpp>
#include <string>
#include <vector>

// Evidence of processes whose wall clocks differ.
namespace jujubestand::quarantine
{

namespace
{

using std::chrono::milliseconds;

/// Time of a message; not taken into account by its receivers.
constexpr milliseconds delay{7};

struct member
{
    milliseconds ahead{0};
    evidence known;
};

/// Processes with clocks that differ; they exchange all notices.
struct differing_group
{
    std::vector<member> members;
    wall_time now = start;
    std::uint64_t engines = 0;
    /// Notices sent. A time that grows with each message would have no end.
    std::size_t messages = 0;

    explicit differing_group(std::vector<milliseconds> const& clocks)
    {
        for (auto const ahead : clocks)
            this->members.push_back({ahead, {}});
    }

    wall_time clock(std::size_t at) const
    {
        return this->now + this->members[at].ahead;
    }

    void tell(std::size_t from, notice const& message)
    {
        if (message.empty() || this->messages > 10'000)
            return;
        for (std::size_t at = 0; at < this->members.size(); ++at)
        {
            if (at == from)
                continue;
            ++this->messages;
            auto& known = this->members[at].known;
            auto const difference =
                this->members[at].ahead - this->members[from].ahead;
            auto own = by_own_clock(
                known.strikes, message,
                difference.count() == 0 ? difference : difference + delay);
            auto const result = on_notice(known, own, this->clock(at));
            // Gateways pass news on.
            if (result.is_news)
                this->tell(at, newest_notice(known.strikes, this->clock(at)));
            this->tell(at, result.reply);
        }
    }

    /// \brief All lose an engine with these requests, one each.
    void crash(std::vector<std::vector<suspect_key>> const& requests)
    {
        upstream_id const engine{"engine-" + std::to_string(++this->engines)};
        auto const number = static_cast<upstream_number>(this->engines);
        for (std::size_t at = 0; at < requests.size(); ++at)
            on_cut(this->members[at].known, number, engine, incarnation_id{1},
                   requests[at], answer_stage::head, this->clock(at));
        for (std::size_t at = 0; at < this->members.size(); ++at)
            this->tell(at,
                       on_condition(this->members[at].known, number,
                                    {upstream_condition::lost, this->clock(at)},
                                    this->clock(at)));
    }

    std::vector<digest> judged(std::size_t at)
    {
        return judge(this->members[at].known, this->clock(at));
    }
};

std::vector<milliseconds> const clocks{milliseconds{0}, milliseconds{5'000},
                                       milliseconds{-5'000}};

} // namespace

// Crashes that a process ahead had noticed counted 5 s later at the others,
// which judge for 2 s: a request that ends upstreams went on.
TEST(clock_alignment, a_request_that_ends_upstreams_is_found_in_time)
{
    differing_group all(clocks);
    for (int crash = 0; crash < 3; ++crash)
    {
        all.crash({{whole_request(1)}, {whole_request(1)}, {whole_request(1)}});
        all.now += milliseconds{300};
    }
    for (std::size_t at = 0; at < all.members.size(); ++at)
        EXPECT_EQ(all.judged(at), (std::vector<digest>{{1, 1}})) << at;
    EXPECT_LT(all.messages, 500U);
}

// Upstreams of one rack that end together count once. They counted apart where
// processes with different clocks had noticed them, and a sound request that
// happened to be at two of them counted as one that ends upstreams.
TEST(clock_alignment, upstreams_that_end_together_count_together)
{
    differing_group all(clocks);
    std::uint64_t other = 100;
    for (int rack = 0; rack < 2; ++rack)
    {
        // One upstream is noticed by one process, the next by another one.
        for (std::size_t at = 0; at < all.members.size(); ++at)
        {
            std::vector<std::vector<suspect_key>> requests(all.members.size());
            requests[at] = {part(crashing_part, 0), whole_request(++other)};
            all.crash(requests);
        }
        all.now += milliseconds{300};
    }
    for (std::size_t at = 0; at < all.members.size(); ++at)
        EXPECT_TRUE(all.judged(at).empty()) << at;
}

// Each message would have added the time that it took, without end.
TEST(clock_alignment, times_that_are_known_are_kept)
{
    differing_group all(clocks);
    all.crash({{whole_request(1)}, {}, {}});
    auto const& entries = all.members[1].known.strikes.entries;
    auto const first = entries.at({1, 1}).strikes[0].at_ms;
    for (int time = 0; time < 50; ++time)
    {
        for (std::size_t at = 0; at < all.members.size(); ++at)
            all.tell(at, newest_notice(all.members[at].known.strikes,
                                       all.clock(at)));
    }
    EXPECT_EQ(entries.at({1, 1}).strikes[0].at_ms, first);
}

// A record of the store by a process ahead put a crash into the future, where
// it does not count.
TEST(clock_alignment, a_stored_crash_is_of_now_at_the_latest)
{
    strike_table known;
    notice stored;
    auto const ahead_ms =
        (start + milliseconds{5'000}).time_since_epoch().count();
    stored.strikes.push_back(
        {{1, 1}, upstream_id{"engine"}, incarnation_id{1}, ahead_ms});
    auto const first = stored_by_own_clock(known, stored, start);
    EXPECT_EQ(first.strikes[0].at_ms, start.time_since_epoch().count());
    merge(known, first, start);
    auto const again = stored_by_own_clock(known, stored, start + delay);
    EXPECT_EQ(again.strikes[0].at_ms, start.time_since_epoch().count());
    EXPECT_TRUE(merge(known, again, start + delay).empty());
}

} // namespace jujubestand::quarantine
