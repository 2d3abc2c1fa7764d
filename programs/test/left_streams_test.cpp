#include <algorithm>
#include <csignal>
#include <programs/test/gateways_fixture.hpp>

// Callers leave streams that go on at a second engine.
namespace jujubestand::programs::test
{

namespace
{

constexpr milliseconds work_limit{500};

class left_streams : public gateways_test
{
protected:
    /// \brief Starts a gateway and two engines whose streams stop after some
    /// events.
    void start()
    {
        this->start_gateways(1);
        this->add_engine("v1", near);
        this->add_engine("v1", near);
        this->wait_ready();
        for (std::size_t number = 0; number < this->engines.size(); ++number)
            this->wait_logged(0, "member_live", number);
        this->pause_all_after(begun);
    }

    /// \brief Begins a stream, and has it go on at the second engine.
    answer_ptr begin_resumed()
    {
        stream_call asked{"first", "", ""};
        asked.parts = "aaaa:30,c1:40,1001:10";
        auto answer = this->ask(0, asked);
        EXPECT_TRUE(this->run_to_events(answer, begun));
        auto const first = this->engine_with_stream();
        this->second = 1 - first;
        this->engines[first].engine->cut_streams();
        return answer;
    }

    void wait_resumed()
    {
        ASSERT_TRUE(this->run_until(
            [this]
            {
                return this->engines[this->second].engine->open_streams() == 1;
            }));
    }

    void expect_left()
    {
        EXPECT_TRUE(this->run_until(
            [this]
            {
                return this->engines[this->second].engine->open_streams() == 0;
            },
            work_limit));
    }

    /// \brief Checks that a call whose engine gives no output is answered in
    /// time, and that the engine learns of it.
    void expect_ended_within(milliseconds time, milliseconds deadline)
    {
        for (auto const& engine : this->engines)
            engine.engine->pause_after(0, 0);
        stream_call asked{"first", "", ""};
        asked.parts = "aaaa:30,c1:40,1001:10";
        asked.deadline_ms = static_cast<unsigned>(deadline.count());
        auto const asked_at = mono_now();
        auto const answer = this->ask(0, asked);
        ASSERT_TRUE(this->run_to_end(answer));
        EXPECT_EQ(answer->status, 504);
        EXPECT_LT(mono_now() - asked_at, time);
        EXPECT_TRUE(this->run_until(
            [this]
            {
                return std::all_of(this->engines.begin(), this->engines.end(),
                                   [](running_engine const& engine)
                                   {
                                       return engine.engine->open_streams() ==
                                              0;
                                   });
            },
            work_limit));
    }

    void run_for(milliseconds time)
    {
        this->run_until(
            []
            {
                return false;
            },
            time);
    }

    static constexpr std::uint64_t begun = 3;
    std::size_t second = 0;
};

} // namespace

// A stream went on at a second engine though its caller had left (GONE).
TEST_F(left_streams, an_engine_learns_of_it_after_a_stream_was_resumed)
{
    this->start();
    auto const answer = this->begin_resumed();
    this->wait_resumed();
    this->caller.cancel(answer->call);
    this->expect_left();
}

// The same through a gateway that stood still meanwhile (GONE).
TEST_F(left_streams, an_engine_learns_of_it_after_the_gateway_paused)
{
    this->start();
    auto const answer = this->begin_resumed();
    this->wait_resumed();
    this->gateways.front().process->signal(SIGSTOP);
    this->caller.cancel(answer->call);
    this->run_for(milliseconds{1'000});
    this->gateways.front().process->signal(SIGCONT);
    this->expect_left();
}

// A stream that waited for a second engine, which had asked for a pause, went
// on there though its caller had left (GONE).
TEST_F(left_streams, a_stream_that_waits_does_not_go_on)
{
    constexpr milliseconds past_pause{2'500};
    this->start();
    stream_call asked{"first", "", ""};
    asked.parts = "aaaa:30,c1:40,1001:10";
    auto const answer = this->ask(0, asked);
    ASSERT_TRUE(this->run_to_events(answer, begun));
    auto const first = this->engine_with_stream();
    auto& other = *this->engines[1 - first].engine;
    other.ask_for_pause("1");
    this->engines[first].engine->cut_streams();
    ASSERT_TRUE(this->run_until(
        [&]
        {
            return other.seen().size() == 1;
        }));
    other.ask_for_pause("");
    this->run_for(milliseconds{100});
    this->caller.cancel(answer->call);
    this->run_for(past_pause);
    EXPECT_EQ(other.seen().size(), 1U);
}

// Engines that stood still kept the calls of callers that had left at their
// deadline, or for want of output, though it was clear before that no stream
// could end, or begin, in time (GONE).
TEST_F(left_streams, a_stream_that_has_not_begun_ends_before_its_deadline)
{
    this->start();
    this->expect_ended_within(milliseconds{1'500}, milliseconds{1'500});
}

TEST_F(left_streams, a_stream_that_has_not_begun_ends_before_its_caller_leaves)
{
    // Four times the target latency of the route.
    constexpr milliseconds patience{4'000};
    this->start();
    this->expect_ended_within(patience, milliseconds{60'000});
}

} // namespace jujubestand::programs::test
