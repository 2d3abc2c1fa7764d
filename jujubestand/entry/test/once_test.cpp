#include <algorithm>
#include <gtest/gtest.h>
#include <jujubestand/claims/record.hpp>
#include <jujubestand/entry/test/path_fixture.hpp>

namespace jujubestand::entry
{

namespace
{

constexpr char const* stream = "claims.engines.0";

/// Calls that run once at most, over the whole path.
class once_test : public test::path_test
{
protected:
    /// \brief Answers the newest request that an upstream has seen.
    void answer_newest(std::string const& body, int status = 201)
    {
        auto& pair = this->asked_pair();
        pair.upstream->reply(pair.seen.back().caller, status,
                             {{"Content-Type", "text/plain"}}, body);
    }

    bool run_until_recorded(std::size_t records)
    {
        return this->run_until(
            [&, records]
            {
                return this->log.streams[stream].records.size() >= records;
            });
    }

    std::string verdict_of(http::exchange_id id)
    {
        return this->answer(id).header("X-Jujubestand-Verdict");
    }

    std::string reason_of(http::exchange_id id)
    {
        return this->answer(id).header("X-Jujubestand-Reason");
    }
};

} // namespace

TEST_F(once_test, a_repeat_gets_the_recorded_answer)
{
    this->start_path();
    auto const key = this->new_key();
    auto const first = this->book(key);
    ASSERT_TRUE(this->run_until_asked(1));
    this->answer_newest("booked 7");
    ASSERT_TRUE(this->run_to_end(first));
    EXPECT_EQ(this->verdict_of(first), "ran");
    for (int repeat = 0; repeat < 6; ++repeat)
    {
        auto const again = this->book(key);
        ASSERT_TRUE(this->run_to_end(again));
        EXPECT_EQ(this->answer(again).body, "booked 7");
        EXPECT_EQ(this->answer(again).head.status, 201);
        EXPECT_EQ(this->answer(again).header("Idempotent-Replayed"), "true");
        EXPECT_EQ(this->verdict_of(again), "ran");
    }
    EXPECT_EQ(this->asked(), 1U);
}

TEST_F(once_test, repeats_at_the_same_time_run_once)
{
    this->start_path();
    auto const key = this->new_key();
    std::vector<http::exchange_id> all(8);
    std::generate(all.begin(), all.end(),
                  [&]
                  {
                      return this->book(key);
                  });
    ASSERT_TRUE(this->run_until_asked(1));
    this->answer_newest("booked once");
    for (auto const id : all)
    {
        ASSERT_TRUE(this->run_to_end(id));
        EXPECT_EQ(this->answer(id).body, "booked once");
    }
    EXPECT_EQ(this->asked(), 1U);
}

TEST_F(once_test, another_body_under_the_key_is_refused_unrun)
{
    this->start_path();
    auto const key = this->new_key();
    auto const first = this->book(key);
    ASSERT_TRUE(this->run_until_asked(1));
    this->answer_newest("booked");
    ASSERT_TRUE(this->run_to_end(first));
    auto const other = this->book(key, R"({"tins":2})");
    ASSERT_TRUE(this->run_to_end(other));
    EXPECT_EQ(this->answer(other).head.status, 422);
    EXPECT_EQ(this->verdict_of(other), "not_run");
    EXPECT_EQ(this->reason_of(other), "403");
    EXPECT_EQ(this->answer(other).header("Retry-After"), "");
    EXPECT_EQ(this->asked(), 1U);
}

TEST_F(once_test, a_long_answer_is_told_by_its_digest)
{
    this->common.outcome_limit_bytes = 64;
    this->start_path();
    auto const key = this->new_key();
    auto const first = this->book(key);
    ASSERT_TRUE(this->run_until_asked(1));
    std::string const body(10'000, 'b');
    this->answer_newest(body);
    ASSERT_TRUE(this->run_to_end(first));
    EXPECT_EQ(this->answer(first).body, body);
    auto const again = this->book(key);
    ASSERT_TRUE(this->run_to_end(again));
    EXPECT_EQ(this->verdict_of(again), "ran");
    EXPECT_EQ(this->reason_of(again), "407");
    EXPECT_NE(this->answer(again).body.find(to_text(digest_of(body))),
              std::string::npos);
    EXPECT_EQ(this->asked(), 1U);
}

TEST_F(once_test, a_log_outage_refuses_unrun_and_nothing_runs_later)
{
    this->start_path();
    this->log.out = true;
    auto const id = this->book(this->new_key());
    ASSERT_TRUE(this->run_to_end(id));
    EXPECT_EQ(this->verdict_of(id), "not_run");
    EXPECT_EQ(this->reason_of(id), "800");
    EXPECT_NE(this->answer(id).header("Retry-After"), "");
    this->log.out = false;
    auto const next = this->book(this->new_key());
    ASSERT_TRUE(this->run_until(
        [&]
        {
            return this->asked() > 0 || this->answer(next).end.has_value();
        }));
    EXPECT_LE(this->asked(), 1U);
}

TEST_F(once_test, lost_append_answers_do_not_lose_or_double_calls)
{
    this->start_path();
    this->log.lose_answers = true;
    auto const id = this->book(this->new_key());
    ASSERT_TRUE(this->run_until_asked(1));
    this->answer_newest("booked");
    ASSERT_TRUE(this->run_to_end(id));
    EXPECT_EQ(this->verdict_of(id), "ran");
    EXPECT_EQ(this->asked(), 1U);
}

TEST_F(once_test, an_upstream_that_is_gone_leaves_the_key_free)
{
    this->start_path(1);
    this->pairs.at(0).upstream.reset();
    auto const key = this->new_key();
    auto const refused = this->book(key);
    ASSERT_TRUE(this->run_to_end(refused));
    EXPECT_EQ(this->verdict_of(refused), "not_run");
    ASSERT_TRUE(this->run_until_recorded(2));
    reason why;
    auto const last = claims::unpack(
        std::get<2>(this->log.streams[stream].records.back()), why);
    ASSERT_TRUE(last);
    EXPECT_EQ(last->abandons.size(), 1U);
}

TEST_F(once_test, a_caller_that_leaves_does_not_cut_its_call)
{
    this->start_path(1);
    auto const key = this->new_key();
    auto const first = this->book(key);
    ASSERT_TRUE(this->run_until_asked(1));
    this->caller->cancel(first);
    auto const again = this->book(key);
    for (int turn = 0; turn < 50; ++turn)
        event_base_loop(this->base(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
    this->answer_newest("booked for you");
    ASSERT_TRUE(this->run_to_end(again));
    EXPECT_EQ(this->answer(again).body, "booked for you");
    EXPECT_EQ(this->verdict_of(again), "ran");
    EXPECT_EQ(this->asked(), 1U);
}

TEST_F(once_test, keys_outside_the_window_are_told_apart)
{
    this->start_path(1);
    auto const old_key =
        claims::make_key(wall_now() - std::chrono::hours{30}, {1, 1});
    auto const late = this->book(old_key);
    ASSERT_TRUE(this->run_to_end(late));
    EXPECT_EQ(this->verdict_of(late), "may_have_run");
    EXPECT_EQ(this->reason_of(late), "404");
    EXPECT_EQ(this->answer(late).header("Retry-After"), "");
    auto const next_key =
        claims::make_key(wall_now() + std::chrono::hours{1}, {1, 2});
    auto const early = this->book(next_key);
    ASSERT_TRUE(this->run_to_end(early));
    EXPECT_EQ(this->verdict_of(early), "not_run");
    EXPECT_EQ(this->reason_of(early), "405");
    EXPECT_EQ(this->asked(), 0U);
}

} // namespace jujubestand::entry
