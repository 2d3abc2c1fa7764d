#include <algorithm>
#include <gtest/gtest.h>
#include <jujubestand/quarantine/test/evidence_group.hpp>
#include <map>
#include <random>
#include <set>
#include <string>

// Evidence in random traffic: crashing parts are found and nothing else is.
namespace jujubestand::quarantine
{

namespace
{

using std::chrono::milliseconds;

} // namespace

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
            // Draws are made one by one: compilers differ in which argument
            // of a call comes first.
            for (unsigned answered = 0; answered < random() % 4; ++answered)
            {
                auto const member = random() % 4;
                all.answer(member, request(10 + random() % sound_parts,
                                           all.next_request++));
            }
            auto const engine = all.next_engine();
            all.cut(random() % 4, engine,
                    request(crashing_part, all.next_request++), true);
            for (unsigned beside = 0; beside < random() % 20; ++beside)
            {
                auto const member = random() % 4;
                auto const part_id = 10 + random() % sound_parts;
                all.cut(member, engine, request(part_id, all.next_request++),
                        random() % 10 == 0);
            }
            all.settle(upstream_condition::lost);
            ++crashes;
            found = all.judged(random() % 4);
        }
        EXPECT_EQ(found, only(crashing_part)) << crashes << " crashes";
    }
}

namespace
{

/// Traffic around crashes. Sound calls that have begun have output that is
/// still young.
struct crash_traffic
{
    char const* name;
    /// Share of the calls with the part that engines had begun to answer.
    double begun_share = 1.0;
    answer_stage begun_stage = answer_stage::output;
    /// Share of the other calls that they had begun to answer.
    double sound_begun_share = 0.5;
    std::size_t cut_min = 10;
    std::size_t cut_max = 45;
    /// Share of the crashes that no part causes.
    double spontaneous_share = 0;
    bool has_second_part = false;
    /// Times at which engines may crash; within them each part has to be known.
    std::size_t rounds = 12;
    /// Most answers to sound calls between two of them.
    unsigned answers_max = 6;
    /// Engines that crash together, if no part causes it.
    std::size_t engines_at_once = 1;
};

/// Answers of 60 calls a second, between engines that crash by themselves a few
/// times a minute.
constexpr unsigned answers_between_crashes = 600;

/// Answers of some seconds before the first crash.
constexpr unsigned answers_before = 600;

/// Second parts that many calls have, and those that few have.
constexpr std::uint64_t frequent_parts = 12;
constexpr std::uint64_t rare_parts = 180;
constexpr std::uint64_t first_frequent = 200;
constexpr std::uint64_t first_rare = 300;

class random_crashes
{
public:
    random_crashes(crash_traffic const& kind, unsigned seed)
        : traffic(kind)
        , random(seed)
    {
        for (unsigned answers = 0; answers < answers_before; ++answers)
            this->answer();
    }

    /// \brief Lets calls with crashing parts come, some of which are refused by
    /// and by.
    void play(std::size_t rounds)
    {
        for (std::size_t number = 0; number < rounds; ++number)
        {
            this->answer_some();
            this->crash();
            for (auto const& fingerprint : this->all.judged(this->any(4)))
                this->found.insert(fingerprint);
        }
    }

    std::set<digest> found;
    std::map<std::uint64_t, std::size_t> crashes_by_part;

private:
    std::uint64_t any(std::uint64_t count)
    {
        return this->random() % count;
    }

    bool is_chosen(double share)
    {
        return std::uniform_real_distribution<>(0, 1)(this->random) < share;
    }

    std::uint64_t sound_part()
    {
        return this->is_chosen(0.5) ? first_frequent + this->any(frequent_parts)
                                    : first_rare + this->any(rare_parts);
    }

    void answer_some()
    {
        auto const count = this->any(this->traffic.answers_max + 1);
        for (std::uint64_t number = 0; number < count; ++number)
            this->answer();
    }

    // Draws are made one by one: compilers differ in which argument of a call
    // comes first.
    void answer()
    {
        auto const member = this->any(4);
        this->all.answer(member,
                         request(this->sound_part(), this->all.next_request++));
    }

    void crash()
    {
        bool const is_spontaneous =
            this->is_chosen(this->traffic.spontaneous_share);
        auto const engines = is_spontaneous ? this->traffic.engines_at_once : 1;
        for (std::size_t engine = 0; engine < engines; ++engine)
        {
            auto const id = this->all.next_engine();
            if (!is_spontaneous && !this->cut_crashing(id))
                return;
            this->cut_sound(id);
            this->all.lose_engine();
        }
        this->all.now += milliseconds{300};
    }

    void cut_sound(upstream_id const& engine)
    {
        auto const count =
            this->traffic.cut_min +
            this->any(this->traffic.cut_max - this->traffic.cut_min + 1);
        for (std::size_t number = 0; number < count; ++number)
            this->cut(engine, this->sound_part(),
                      this->traffic.sound_begun_share, answer_stage::output);
    }

    // Calls with a known part are refused, so they crash nothing.
    bool cut_crashing(upstream_id const& engine)
    {
        auto const part_id = this->traffic.has_second_part && this->any(2) == 0
                                 ? crashing_part - 1
                                 : crashing_part;
        if (this->found.contains(fingerprint_of_part(part_id)))
            return false;
        ++this->crashes_by_part[part_id];
        this->cut(engine, part_id, this->traffic.begun_share,
                  this->traffic.begun_stage);
        return true;
    }

    void cut(upstream_id const& engine, std::uint64_t second_part,
             double begun_share, answer_stage begun_stage)
    {
        auto const member = this->any(4);
        auto const stage =
            this->is_chosen(begun_share) ? begun_stage : answer_stage::none;
        this->all.cut(member, engine,
                      request(second_part, this->all.next_request++), stage);
    }

    crash_traffic traffic;
    std::mt19937 random;
    group all{4};
};

std::vector<crash_traffic> crash_traffics()
{
    std::vector<crash_traffic> result;
    result.push_back({"begun"});
    result.push_back({"head_alone"});
    result.back().begun_stage = answer_stage::head;
    result.push_back({"few_cut"});
    result.back().cut_min = 0;
    result.back().cut_max = 3;
    result.push_back({"all_sound_begun"});
    result.back().sound_begun_share = 1.0;
    result.push_back({"never_begun_beside_begun"});
    result.back().begun_share = 0.0;
    result.push_back({"sometimes_begun"});
    result.back().begun_share = 0.5;
    result.push_back({"no_answers_meanwhile"});
    result.back().answers_max = 0;
    result.push_back({"beside_spontaneous_crashes"});
    result.back().spontaneous_share = 0.1;
    result.push_back({"two_parts"});
    result.back().has_second_part = true;
    result.back().rounds = 24;
    result.push_back({"spontaneous_crashes_alone"});
    result.back().spontaneous_share = 1.0;
    result.back().answers_max = answers_between_crashes;
    result.push_back({"racks_that_fail"});
    result.back().spontaneous_share = 1.0;
    result.back().engines_at_once = 10;
    result.back().answers_max = answers_between_crashes;
    return result;
}

} // namespace

// Sound parts were refused, or a part that lets engines answer for a moment was
// not (BUDGET, LOST).
TEST(evidence, only_crashing_parts_are_culprits_in_random_traffic)
{
    constexpr unsigned seeds = 200;
    for (auto const& traffic : crash_traffics())
    {
        std::size_t most = 0;
        for (unsigned seed = 1; seed <= seeds; ++seed)
        {
            SCOPED_TRACE(std::string(traffic.name) + ", seed " +
                         std::to_string(seed));
            random_crashes play(traffic, seed);
            play.play(traffic.rounds);
            std::set<digest> expected;
            for (auto const& [part_id, count] : play.crashes_by_part)
            {
                most = std::max(most, count);
                expected.insert(fingerprint_of_part(part_id));
            }
            EXPECT_EQ(play.found, expected);
        }
        testing::Test::RecordProperty(traffic.name, static_cast<int>(most));
    }
}

} // namespace jujubestand::quarantine
