#include <programs/test/gateways_fixture.hpp>

// Engines that stand still, with their agents, while callers wait.
namespace jujubestand::programs::test
{

namespace
{

constexpr auto whole = standins::stream_engine::stream_events;

class still_engines : public gateways_test
{
protected:
    /// Shortest gap without output after which callers leave.
    static constexpr milliseconds patience{2'000};

    /// \brief Starts a gateway and engines, whose output stops after an event.
    void start(std::size_t engine_count, std::uint64_t last_event = 0)
    {
        this->start_gateways(1);
        for (std::size_t number = 0; number < engine_count; ++number)
            this->add_engine("v1", near);
        this->wait_ready();
        for (std::size_t number = 0; number < engine_count; ++number)
        {
            this->wait_logged(0, "member_live", number);
            ASSERT_TRUE(this->run_until(
                [&]
                {
                    return !this->engines[number].agent->informed().empty();
                }));
        }
        for (auto const& engine : this->engines)
            engine.engine->pause_after(last_event, 0);
    }

    /// \brief Sends a call to an engine that stands still, as its agent does,
    /// from then on; the other engines give output.
    answer_ptr send_to_still_engine(std::string const& target)
    {
        stream_call asked{"first", "", ""};
        asked.target = target;
        asked.parts = "aaaa:30,c1:40,1001:10";
        auto answer = this->ask(0, asked);
        EXPECT_TRUE(this->run_until(
            [this]
            {
                return this->sent_to("v1") == 1;
            }));
        this->still = this->engine_with_stream();
        this->engines[this->still].agent.reset();
        this->pause_no_more();
        return answer;
    }

    std::size_t still = 0;
};

} // namespace

// A call that an engine had been sent before it stood still waited there until
// its caller left (GONE), which is after 2 s; it had waited for an engine
// before.
TEST_F(still_engines, a_call_without_output_is_answered_by_another_engine)
{
    constexpr milliseconds waited_before{1'000};
    this->start(3);
    auto const sent_at = mono_now();
    auto const answer = this->send_to_still_engine("/chat/new");
    ASSERT_TRUE(this->run_to_end(answer));
    EXPECT_TRUE(answer->end->is_complete) << answer->end->why.text;
    EXPECT_EQ(answer->events(), events_of("v1", 1, whole));
    EXPECT_LT(mono_now() - sent_at, patience - waited_before);
    EXPECT_EQ(this->engines[this->still].engine->seen().size(), 1U);
    EXPECT_EQ(this->sent_to("v1"), 2U);
}

// A stream that had begun waited for its engine until its caller left (GONE).
TEST_F(still_engines, a_begun_stream_goes_on_at_another_engine)
{
    constexpr std::uint64_t begun = 3;
    this->start(3, begun);
    auto const answer = this->send_to_still_engine("/chat/new");
    ASSERT_TRUE(this->run_to_events(answer, begun));
    auto const still_since = mono_now();
    ASSERT_TRUE(this->run_to_end(answer));
    EXPECT_TRUE(answer->end->is_complete) << answer->end->why.text;
    EXPECT_EQ(answer->events(), events_of("v1", 1, whole));
    EXPECT_LT(mono_now() - still_since, patience);
    EXPECT_EQ(this->sent_to("v1"), 2U);
}

// An agent that has ended is no sign: its engine goes on.
TEST_F(still_engines, a_stream_stays_at_an_engine_that_only_lacks_reports)
{
    this->start(3);
    this->pause_no_more();
    for (auto const& engine : this->engines)
        engine.engine->pace(milliseconds{300});
    stream_call asked{"first", "", ""};
    asked.parts = "aaaa:30,c1:40,1001:10";
    auto const answer = this->ask(0, asked);
    ASSERT_TRUE(this->run_to_events(answer, 1));
    this->engines[this->engine_with_stream()].agent.reset();
    ASSERT_TRUE(this->run_to_end(answer));
    EXPECT_EQ(answer->events(), events_of("v1", 1, whole));
    EXPECT_EQ(this->sent_to("v1"), 1U);
}

// One that may run once only waits for the engine.
TEST_F(still_engines, a_call_that_may_run_once_is_not_sent_again)
{
    constexpr milliseconds observed{3'000};
    this->start(3);
    auto const answer = this->send_to_still_engine("/once/new");
    EXPECT_FALSE(this->run_until(
        [&]
        {
            return answer->end.has_value();
        },
        observed));
    EXPECT_EQ(this->sent_to("v1"), 1U);
}

} // namespace jujubestand::programs::test
