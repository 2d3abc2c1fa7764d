#include <gtest/gtest.h>
#include <jujubestand/claims/claimant.hpp>
#include <jujubestand/claims/refusal.hpp>

namespace jujubestand::claims
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr digest body{5, 5};
constexpr wall_time day{std::chrono::hours{480'000}};

/// One claimant and a log that does as told.
struct bench
{
    claimant state;
    std::vector<log_record> log;
    std::vector<append_wanted> appends;
    std::vector<request_id> starts;
    std::vector<answer_wanted> answers;
    moment now{mono_time{seconds{1}}, day};

    bench()
    {
        this->state.options.claimant = incarnation_id{7};
        this->read_all();
    }

    void perform(claim_effects const& effects)
    {
        for (auto const& effect : effects)
        {
            if (auto const* append = std::get_if<append_wanted>(&effect))
                this->appends.push_back(*append);
            else if (auto const* start = std::get_if<start_wanted>(&effect))
                this->starts.push_back(start->request);
            else
                this->answers.push_back(std::get<answer_wanted>(effect));
        }
    }

    void land(std::string bytes)
    {
        log_offset const offset{this->log.size() + 1};
        this->log.push_back({offset, this->now.wall, std::move(bytes)});
    }

    void land_claim(std::uint64_t claimant, std::uint64_t key,
                    digest const& with = body)
    {
        batch records;
        records.claims.push_back(
            {{incarnation_id{claimant}, 1}, {0, key}, with});
        this->land(pack(records));
    }

    void read_all(std::uint64_t first = 1)
    {
        records_read message;
        message.first = log_offset{first};
        message.next = log_offset{this->log.size() + 1};
        message.records = this->log;
        this->perform(read(this->state, message, this->now));
    }

    void offer_call(std::uint64_t number, std::uint64_t key,
                    wall_time key_time = day)
    {
        call_offered const call{{0, number},
                                {0, key},
                                body,
                                key_time,
                                this->now.mono + seconds{60}};
        this->perform(offer(this->state, call, this->now));
    }

    /// \brief Answers the last append once the next one may go out.
    void answer_append(std::optional<log_offset> offset)
    {
        this->now.mono += this->state.options.append_interval;
        auto const id = this->appends.back().id;
        this->perform(answer(this->state, {id, offset}, this->now));
    }

    void pass(milliseconds time)
    {
        this->now.mono += time;
        this->now.wall += time;
        this->perform(tick(this->state, this->now));
    }

    [[nodiscard]] answer_wanted const& last_answer() const
    {
        return this->answers.at(this->answers.size() - 1);
    }
};

} // namespace

TEST(claimant, one_append_in_flight_carries_all_that_waited)
{
    bench at;
    for (std::uint64_t number = 1; number <= 50; ++number)
        at.offer_call(number, number);
    ASSERT_EQ(at.appends.size(), 1U);
    at.land(at.appends.back().bytes);
    at.answer_append(log_offset{1});
    ASSERT_EQ(at.appends.size(), 2U);
    EXPECT_EQ(at.starts.size(), 1U);
    at.land(at.appends.back().bytes);
    at.answer_append(log_offset{2});
    EXPECT_EQ(at.starts.size(), 50U);
    EXPECT_EQ(at.appends.size(), 2U);
}

TEST(claimant, appends_keep_their_distance)
{
    bench at;
    at.offer_call(1, 1);
    at.land(at.appends.back().bytes);
    at.perform(answer(at.state, {at.appends.back().id, log_offset{1}}, at.now));
    at.offer_call(2, 2);
    at.offer_call(3, 3);
    EXPECT_EQ(at.appends.size(), 1U);
    EXPECT_EQ(next_tick(at.state),
              at.now.mono + at.state.options.append_interval);
    at.pass(at.state.options.append_interval);
    ASSERT_EQ(at.appends.size(), 2U);
    reason why;
    EXPECT_EQ(unpack(at.appends.back().bytes, why)->claims.size(), 2U);
}

TEST(claimant, a_hole_between_records_is_a_gap)
{
    bench at;
    at.land_claim(9, 1);
    at.read_all();
    at.land_claim(8, 2);
    at.land_claim(7, 3);
    at.log.erase(at.log.begin() + 1);
    at.read_all();
    EXPECT_EQ(find(at.state.window, {0, 1}), nullptr);
    EXPECT_NE(find(at.state.window, {0, 3}), nullptr);
    EXPECT_FALSE(at.state.is_read && at.state.window.next.value < 4);
}

TEST(claimant, lost_answer_is_found_by_its_nonce)
{
    bench at;
    at.offer_call(1, 1);
    at.land(at.appends.back().bytes);
    at.answer_append(std::nullopt);
    EXPECT_TRUE(at.starts.empty());
    at.read_all();
    EXPECT_EQ(at.starts.size(), 1U);
    at.pass(seconds{1});
    EXPECT_EQ(at.appends.size(), 1U);
}

TEST(claimant, late_claim_of_a_refused_call_is_abandoned_not_run)
{
    bench at;
    at.offer_call(1, 1);
    std::string const late = at.appends.back().bytes;
    at.answer_append(std::nullopt);
    at.perform(fail_read(at.state, {}, at.now));
    at.pass(at.state.options.claim_wait);
    EXPECT_EQ(at.last_answer().result, verdict::not_run);
    EXPECT_EQ(at.last_answer().why.code, reason_code::log_unavailable);
    EXPECT_GT(at.last_answer().retry_after.count(), 0);
    at.land(late);
    at.land(at.appends.back().bytes);
    at.read_all();
    EXPECT_TRUE(at.starts.empty());
    EXPECT_EQ(find(at.state.window, {0, 1}), nullptr);
}

TEST(claimant, claim_read_after_its_deadline_is_abandoned)
{
    bench at;
    at.offer_call(1, 1);
    at.land(at.appends.back().bytes);
    at.now.mono += seconds{61};
    at.answer_append(log_offset{1});
    EXPECT_TRUE(at.starts.empty());
    EXPECT_EQ(at.last_answer().why.code, reason_code::deadline_passed);
    reason why;
    auto const records = unpack(at.appends.back().bytes, why);
    ASSERT_TRUE(records);
    EXPECT_EQ(records->abandons.size(), 1U);
}

TEST(claimant, repeat_of_an_ended_call_gets_its_recorded_answer)
{
    bench at;
    at.offer_call(1, 1);
    at.land(at.appends.back().bytes);
    at.answer_append(log_offset{1});
    call_ended const ended{{0, 1}, make_outcome(201, "text/plain", "done", 9)};
    at.perform(end(at.state, ended, at.now));
    at.land(at.appends.back().bytes);
    at.answer_append(log_offset{2});
    at.offer_call(2, 1);
    EXPECT_EQ(at.last_answer().result, verdict::ran);
    ASSERT_TRUE(at.last_answer().recorded);
    EXPECT_EQ(at.last_answer().recorded->answer, "done");
    EXPECT_EQ(at.last_answer().recorded->status, 201);
    EXPECT_EQ(at.starts.size(), 1U);
}

TEST(claimant, same_key_with_another_body_is_refused_unrun)
{
    bench at;
    at.land_claim(9, 1, {6, 6});
    at.read_all();
    at.offer_call(1, 1);
    EXPECT_EQ(at.last_answer().result, verdict::not_run);
    EXPECT_EQ(at.last_answer().why.code, reason_code::claim_body_differs);
    EXPECT_EQ(at.last_answer().retry_after.count(), 0);
    EXPECT_FALSE(at.last_answer().recorded);
}

TEST(claimant, claim_of_a_dead_sidecar_may_have_run_for_ever)
{
    bench at;
    at.land_claim(9, 1);
    at.read_all();
    at.offer_call(1, 1);
    EXPECT_TRUE(at.answers.empty());
    at.pass(seconds{61});
    EXPECT_EQ(at.last_answer().result, verdict::may_have_run);
    EXPECT_EQ(at.last_answer().why.code, reason_code::claim_pending);
    EXPECT_TRUE(at.starts.empty());
}

TEST(claimant, key_times_outside_the_window_are_not_decided)
{
    bench at;
    auto const& options = at.state.options;
    at.offer_call(1, 1, day - options.accepted_age - milliseconds{1});
    EXPECT_EQ(at.last_answer().result, verdict::may_have_run);
    EXPECT_EQ(at.last_answer().why.code, reason_code::key_too_old);
    at.offer_call(2, 2, day + options.clock_skew + milliseconds{1});
    EXPECT_EQ(at.last_answer().result, verdict::not_run);
    EXPECT_EQ(at.last_answer().why.code, reason_code::key_from_future);
    EXPECT_TRUE(at.appends.empty());
}

TEST(claimant, log_outage_refuses_unrun_with_advice)
{
    bench at;
    at.perform(fail_read(at.state, {}, at.now));
    at.offer_call(1, 1);
    EXPECT_EQ(at.last_answer().result, verdict::not_run);
    EXPECT_EQ(at.last_answer().why.code, reason_code::log_unavailable);
    EXPECT_GT(at.last_answer().retry_after.count(), 0);
    at.read_all();
    at.offer_call(2, 1);
    EXPECT_EQ(at.appends.size(), 1U);
}

TEST(claimant, nothing_is_decided_before_the_window_is_read)
{
    bench at;
    at.state.is_read = false;
    at.offer_call(1, 1);
    EXPECT_EQ(at.last_answer().why.code, reason_code::claims_unread);
    EXPECT_EQ(at.last_answer().result, verdict::not_run);
}

TEST(claimant, gap_refuses_what_is_undecided_and_keeps_what_has_begun)
{
    bench at;
    at.offer_call(1, 1);
    at.land(at.appends.back().bytes);
    at.answer_append(log_offset{1});
    at.offer_call(2, 2);
    at.land("x");
    at.land("x");
    at.log.erase(at.log.begin(), at.log.begin() + 2);
    records_read message;
    message.first = log_offset{3};
    message.next = log_offset{9};
    at.perform(read(at.state, message, at.now));
    ASSERT_EQ(at.answers.size(), 1U);
    EXPECT_EQ(at.last_answer().why.code, reason_code::log_truncated);
    EXPECT_FALSE(at.state.is_read);
    EXPECT_EQ(at.state.calls.size(), 1U);
    EXPECT_EQ(at.state.calls.begin()->second.stage, call_stage::begun);
}

TEST(claimant, unreadable_record_stops_decisions_for_the_window)
{
    bench at;
    at.offer_call(1, 1);
    at.land("not a batch");
    at.land(at.appends.back().bytes);
    at.read_all();
    EXPECT_TRUE(at.starts.empty());
    EXPECT_EQ(at.last_answer().why.code, reason_code::claims_unread);
    at.now.wall += window_age(at.state.options) + seconds{1};
    at.offer_call(2, 2, at.now.wall);
    at.answer_append(log_offset{2});
    EXPECT_FALSE(at.state.calls.empty());
}

// Two hours of quiet, then a call whose claim is folded from its answer.
TEST(claimant, keys_expire_by_the_logs_clock_only)
{
    bench at;
    at.land_claim(9, 1);
    at.read_all();
    at.now.wall += std::chrono::hours{2};
    at.offer_call(1, 2, at.now.wall);
    at.land(at.appends.back().bytes);
    at.answer_append(log_offset{2});
    EXPECT_NE(find(at.state.window, {0, 1}), nullptr);
    at.land_claim(8, 3);
    at.read_all();
    EXPECT_EQ(find(at.state.window, {0, 1}), nullptr);
    EXPECT_NE(find(at.state.window, {0, 2}), nullptr);
}

TEST(claimant, cancelled_claim_is_taken_back)
{
    bench at;
    at.offer_call(1, 1);
    at.perform(cancel(at.state, {{0, 1}}, at.now));
    at.land(at.appends.back().bytes);
    at.answer_append(log_offset{1});
    EXPECT_TRUE(at.starts.empty());
    EXPECT_TRUE(at.answers.empty());
    at.land(at.appends.back().bytes);
    at.answer_append(log_offset{2});
    EXPECT_EQ(find(at.state.window, {0, 1}), nullptr);
    EXPECT_FALSE(has_unwritten(at.state));
}

TEST(claimant, records_survive_a_log_that_fails_again_and_again)
{
    bench at;
    at.offer_call(1, 1);
    at.land(at.appends.back().bytes);
    at.answer_append(log_offset{1});
    at.perform(end(at.state, {{0, 1}, make_outcome(200, "", "ok", 9)}, at.now));
    for (int outage = 0; outage < 5; ++outage)
    {
        at.answer_append(std::nullopt);
        EXPECT_TRUE(has_unwritten(at.state));
        at.pass(at.state.options.append_pause);
    }
    EXPECT_EQ(at.appends.size(), 7U);
    at.land(at.appends.back().bytes);
    at.answer_append(log_offset{2});
    EXPECT_FALSE(has_unwritten(at.state));
}

} // namespace jujubestand::claims
