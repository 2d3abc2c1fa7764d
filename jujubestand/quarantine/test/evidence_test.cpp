#include <algorithm>
#include <gtest/gtest.h>
#include <jujubestand/quarantine/evidence.hpp>
#include <random>

// Several processes see parts of the same crashes and exchange notices; all
// decide alike, and on the part that crashes engines alone.
namespace jujubestand::quarantine
{

namespace
{

using std::chrono::milliseconds;

constexpr wall_time start{milliseconds{1'000'000'000}};

/// Parts by their place in a prompt.
constexpr std::uint64_t first_part = 1;
constexpr std::uint64_t crashing_part = 99;

suspect_key part(std::uint64_t id, std::uint8_t depth)
{
    return {fingerprint_of_part(id), depth};
}

suspect_key whole_request(std::uint64_t id)
{
    return {{1, id}, whole_request_depth};
}

/// A request with a first part that all share.
std::vector<suspect_key> request(std::uint64_t second_part,
                                 std::uint64_t number)
{
    return {part(first_part, 0), part(second_part, 1), whole_request(number)};
}

/// Processes that exchange all notices.
struct group
{
    std::vector<evidence> members;
    wall_time now = start;
    upstream_number next_upstream = 1;
    std::uint64_t next_request = 1;

    explicit group(std::size_t count)
        : members(count)
    {
    }

    void tell(std::size_t from, notice const& message)
    {
        for (std::size_t member = 0; member < this->members.size(); ++member)
        {
            if (member == from || message.empty())
                continue;
            auto const result =
                on_notice(this->members[member], message, this->now);
            this->tell(member, result.reply);
        }
    }

    void answer(std::size_t member, std::vector<suspect_key> const& keys)
    {
        this->tell(member, on_answered(this->members[member], keys, this->now));
    }

    /// \brief Names the next engine that is to crash.
    upstream_id next_engine()
    {
        return upstream_id{"engine-" + std::to_string(++this->next_upstream)};
    }

    void cut(std::size_t member, upstream_id const& engine,
             std::vector<suspect_key> const& keys, bool has_begun)
    {
        on_cut(this->members[member], this->next_upstream, engine,
               incarnation_id{1}, keys, has_begun, this->now);
    }

    void settle(upstream_condition condition)
    {
        for (std::size_t member = 0; member < this->members.size(); ++member)
            this->tell(member,
                       on_condition(this->members[member], this->next_upstream,
                                    condition, this->now));
        this->now += milliseconds{300};
    }

    /// \brief An engine crashes as it begins the answer to one request, with
    /// others waiting there.
    void crash(std::size_t member, std::uint64_t second_part)
    {
        auto const engine = this->next_engine();
        this->cut(member, engine, request(second_part, this->next_request++),
                  true);
        for (std::size_t other = 0; other < this->members.size(); ++other)
            this->cut(other, engine, request(10 + other, this->next_request++),
                      false);
        this->settle(upstream_condition::lost);
    }

    std::vector<digest> judged(std::size_t member)
    {
        return judge(this->members[member], this->now);
    }
};

std::vector<digest> only(std::uint64_t id)
{
    return {fingerprint_of_part(id)};
}

} // namespace

// One part in calls at any process crashed engine after engine (BUDGET).
TEST(evidence, a_part_is_a_culprit_after_three_crashes_seen_by_any_process)
{
    group all(3);
    for (std::size_t crash = 0; crash < 2; ++crash)
    {
        all.crash(crash, crashing_part);
        EXPECT_TRUE(all.judged(2).empty());
    }
    all.crash(2, crashing_part);
    for (std::size_t member = 0; member < all.members.size(); ++member)
    {
        EXPECT_EQ(all.judged(member), only(crashing_part));
        auto const& known = all.members[member];
        EXPECT_TRUE(refused_until(known, request(crashing_part, 77), all.now));
        // Sound requests with the same first part are served (LOST).
        EXPECT_FALSE(refused_until(known, request(10, 78), all.now));
    }
}

// A call's own retries crashed two engines before another call showed which of
// its parts did it.
TEST(evidence, retries_of_one_request_do_not_hide_the_part)
{
    group all(2);
    auto const keys = request(crashing_part, 500);
    for (int attempt = 0; attempt < 2; ++attempt)
    {
        all.cut(0, all.next_engine(), keys, true);
        all.settle(upstream_condition::lost);
    }
    all.crash(1, crashing_part);
    EXPECT_EQ(all.judged(0), only(crashing_part));
}

// A request that crashes engines by itself is refused without its parts.
TEST(evidence, a_repeated_request_is_a_culprit_and_its_parts_are_not)
{
    group all(2);
    auto const keys = request(20, 500);
    for (int attempt = 0; attempt < 3; ++attempt)
    {
        all.cut(0, all.next_engine(), keys, true);
        all.settle(upstream_condition::lost);
    }
    EXPECT_EQ(all.judged(1),
              std::vector<digest>{whole_request(500).fingerprint});
    EXPECT_FALSE(refused_until(all.members[1], request(20, 501), all.now));
}

// Plain services send no head before they crash.
TEST(evidence, a_request_is_a_culprit_without_a_begun_answer)
{
    group all(2);
    for (int attempt = 0; attempt < 3; ++attempt)
    {
        auto const engine = all.next_engine();
        all.cut(0, engine, {whole_request(500)}, false);
        all.cut(1, engine, {whole_request(all.next_request++)}, false);
        all.settle(upstream_condition::lost);
    }
    EXPECT_EQ(all.judged(1),
              std::vector<digest>{whole_request(500).fingerprint});
}

// A first part that all requests have was in flight at each crash.
TEST(evidence, a_part_that_engines_answer_is_no_culprit)
{
    group all(2);
    for (int crash = 0; crash < 2; ++crash)
    {
        all.crash(0, 30 + static_cast<std::uint64_t>(crash));
        all.answer(1, request(40, all.next_request++));
    }
    all.crash(0, 32);
    all.answer(1, request(40, all.next_request++));
    EXPECT_TRUE(all.judged(0).empty());
    EXPECT_TRUE(all.judged(1).empty());
}

// An answer before the crashes speaks for a part as well: it takes more to make
// it a culprit, but a part may turn bad.
TEST(evidence, a_part_that_was_answered_before_needs_more_crashes)
{
    group all(2);
    all.answer(1, request(50, all.next_request++));
    all.now += milliseconds{1'000};
    std::size_t crashes = 0;
    while (all.judged(0).empty() && crashes < 20)
    {
        auto const engine = all.next_engine();
        all.cut(0, engine, {part(50, 1), whole_request(all.next_request++)},
                true);
        all.settle(upstream_condition::lost);
        ++crashes;
    }
    EXPECT_EQ(crashes, culprit_options{}.answered_crashes_min);
}

// Connections that broke at engines that live were taken for crashes.
TEST(evidence, broken_connections_of_a_living_engine_are_no_crash)
{
    for (auto const condition :
         {upstream_condition::alive, upstream_condition::unknown})
    {
        group all(2);
        for (int cut = 0; cut < 5; ++cut)
        {
            all.cut(0, all.next_engine(), request(60, all.next_request++),
                    true);
            all.settle(condition);
        }
        EXPECT_TRUE(all.judged(0).empty());
        EXPECT_TRUE(all.judged(1).empty());
    }
}

// Two parts that crash engines in turn are both found.
TEST(evidence, two_culprits_are_told_from_each_other)
{
    group all(2);
    for (int turn = 0; turn < 3; ++turn)
    {
        all.crash(0, crashing_part);
        all.crash(1, crashing_part - 1);
    }
    auto found = all.judged(0);
    std::sort(found.begin(), found.end());
    std::vector<digest> const both{fingerprint_of_part(crashing_part - 1),
                                   fingerprint_of_part(crashing_part)};
    EXPECT_EQ(found, both);
}

// Random mixes of sound and crashing requests at four processes: the crashing
// part is found within a few crashes and nothing else is.
TEST(evidence, random_traffic_makes_one_culprit)
{
    constexpr unsigned seeds = 200;
    constexpr std::uint64_t sound_parts = 12;
    constexpr std::size_t crashes_limit = 6;
    for (unsigned seed = 1; seed <= seeds; ++seed)
    {
        SCOPED_TRACE(seed);
        std::mt19937 random(seed);
        group all(4);
        std::vector<digest> found;
        std::size_t crashes = 0;
        while (found.empty() && crashes < crashes_limit)
        {
            for (unsigned answered = 0; answered < random() % 4; ++answered)
                all.answer(random() % 4, request(10 + random() % sound_parts,
                                                 all.next_request++));
            auto const engine = all.next_engine();
            all.cut(random() % 4, engine,
                    request(crashing_part, all.next_request++), true);
            for (unsigned beside = 0; beside < random() % 20; ++beside)
                all.cut(
                    random() % 4, engine,
                    request(10 + random() % sound_parts, all.next_request++),
                    random() % 10 == 0);
            all.settle(upstream_condition::lost);
            ++crashes;
            found = all.judged(random() % 4);
        }
        EXPECT_EQ(found, only(crashing_part)) << crashes << " crashes";
    }
}

} // namespace jujubestand::quarantine
