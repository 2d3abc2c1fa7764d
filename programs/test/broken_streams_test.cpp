#include <programs/test/gateways_fixture.hpp>
#include <random>

// Streams that an engine breaks off without a broken framing, over whole
// gateway processes.
namespace jujubestand::programs::test
{

namespace
{

constexpr auto whole = standins::stream_engine::stream_events;

class broken_streams : public gateways_test
{
protected:
    void start(std::size_t engine_count)
    {
        this->start_gateways(1);
        for (std::size_t number = 0; number < engine_count; ++number)
            this->add_engine("v1", near);
        this->wait_ready();
        for (std::size_t number = 0; number < engine_count; ++number)
            this->wait_logged(0, "member_live", number);
    }

    /// \brief Lets all engines end their answers with their connection.
    void end_by_close()
    {
        for (auto const& engine : this->engines)
            engine.engine->end_by_close();
    }

    /// \brief Pauses a stream after an event and some bytes of the next one.
    answer_ptr begin(stream_call const& asked, std::uint64_t event,
                     std::size_t bytes)
    {
        for (auto const& engine : this->engines)
            engine.engine->pause_after(event, bytes);
        auto answer = this->ask(0, asked);
        EXPECT_TRUE(this->run_until(
            [this]
            {
                return this->sent_to("v1") > 0;
            }));
        auto const before =
            asked.last_event.empty() ? 0 : std::stoull(asked.last_event);
        EXPECT_TRUE(this->run_to_events(answer, event - before));
        this->run_until(
            []
            {
                return false;
            },
            arrival);
        this->pause_no_more();
        return answer;
    }

    standins::stream_engine& first_engine()
    {
        return *this->engines[this->engine_with_stream()].engine;
    }

    void expect_whole(answer_ptr const& answer, std::uint64_t first = 1)
    {
        ASSERT_TRUE(this->run_to_end(answer));
        EXPECT_TRUE(answer->end->is_complete) << answer->end->why.text;
        EXPECT_EQ(answer->status, HTTP_OK);
        EXPECT_EQ(answer->events(), events_of("v1", first, whole));
    }

    /// Time in which the bytes that an engine has sent reach the gateway.
    static constexpr milliseconds arrival{50};
};

} // namespace

// A stream that ended inside an event, with its connection, was framed as
// complete (ORDER).
TEST_F(broken_streams, a_stream_that_closes_inside_an_event_continues)
{
    this->start(2);
    this->end_by_close();
    auto const answer = this->begin({"one", "", ""}, 3, 8);
    this->first_engine().cut_streams();
    this->expect_whole(answer);
}

// As above, with any number of bytes sent.
TEST_F(broken_streams, a_stream_may_close_anywhere_inside_an_event)
{
    constexpr unsigned seed = 20261204;
    constexpr int streams = 6;
    constexpr std::size_t event_bytes = 18;
    std::mt19937 random(seed);
    this->start(2);
    this->end_by_close();
    for (int stream = 0; stream < streams; ++stream)
    {
        auto const event = random() % whole;
        auto const bytes = 1 + random() % (event_bytes - 1);
        SCOPED_TRACE("event " + std::to_string(event) + " bytes " +
                     std::to_string(bytes));
        auto const answer = this->begin(
            {"any-" + std::to_string(stream), "", ""}, event, bytes);
        for (auto const& engine : this->engines)
            engine.engine->cut_streams();
        this->expect_whole(answer);
    }
}

// A stream that closed before its first event was framed as complete (ORDER).
TEST_F(broken_streams, a_stream_that_closes_before_its_first_event_continues)
{
    this->start(2);
    this->end_by_close();
    auto const answer = this->begin({"one", "", ""}, 0, 0);
    this->first_engine().cut_streams();
    this->expect_whole(answer);
}

// A stream whose framing ended inside an event was framed as complete (ORDER).
TEST_F(broken_streams, a_stream_that_is_truncated_inside_an_event_continues)
{
    this->start(2);
    auto const answer = this->begin({"one", "", ""}, 3, 8);
    this->first_engine().truncate_streams();
    this->expect_whole(answer);
}

// A stream that its caller resumed and that closed inside an event was framed
// as complete (ORDER).
TEST_F(broken_streams, a_resumed_stream_that_closes_inside_an_event_continues)
{
    this->start(2);
    this->end_by_close();
    auto const answer = this->begin({"again", "2", "one"}, 4, 8);
    this->first_engine().cut_streams();
    this->expect_whole(answer, 3);
}

// A stream that may run once only and that closed inside an event was framed
// as complete (ORDER).
TEST_F(broken_streams, a_broken_stream_that_runs_once_ends_as_broken)
{
    this->start(2);
    this->end_by_close();
    auto const answer = this->begin({"one", "", "", "/once/new"}, 3, 8);
    this->first_engine().cut_streams();
    ASSERT_TRUE(this->run_to_end(answer));
    EXPECT_FALSE(answer->end->is_complete);
    EXPECT_EQ(answer->events(), events_of("v1", 1, 3));
    EXPECT_EQ(this->sent_to("v1"), 1U);
}

// Guards the fix against refusing sound streams of that kind.
TEST_F(broken_streams, a_whole_stream_may_end_with_its_connection)
{
    this->start(2);
    this->end_by_close();
    auto const answer = this->ask(0, {"one", "", ""});
    this->expect_whole(answer);
    EXPECT_EQ(this->sent_to("v1"), 1U);
}

} // namespace jujubestand::programs::test
