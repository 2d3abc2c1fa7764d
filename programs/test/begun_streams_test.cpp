#include <programs/test/gateways_fixture.hpp>

// Streams that have begun, in a pool of two software versions of engines, over
// whole gateway processes.
namespace jujubestand::programs::test
{

namespace
{

constexpr std::uint64_t begun = 3;

constexpr auto whole = standins::stream_engine::stream_events;

class begun_streams : public gateways_test
{
protected:
    /// \brief Starts gateways and a pool of two engines of v1.
    void start_old_pool(std::size_t gateway_count)
    {
        this->start_gateways(gateway_count);
        this->add_engine("v1", far);
        this->add_engine("v1", far);
        this->wait_ready();
        for (std::size_t gateway = 0; gateway < gateway_count; ++gateway)
        {
            this->wait_logged(gateway, "member_live", 0);
            this->wait_logged(gateway, "member_live", 1);
        }
    }

    /// \brief Adds two engines of v2, which gateways prefer.
    void add_new_version()
    {
        this->add_engine("v2", near);
        this->add_engine("v2", near);
        for (std::size_t gateway = 0; gateway < this->gateways.size();
             ++gateway)
        {
            this->wait_logged(gateway, "member_live", 2);
            this->wait_logged(gateway, "member_live", 3);
        }
    }

    /// \brief Begins the stream `first` at the first gateway; it pauses.
    answer_ptr begin_stream()
    {
        this->pause_all_after(begun);
        auto answer = this->ask(0, {"first", "", ""});
        EXPECT_TRUE(this->run_to_events(answer, begun));
        EXPECT_EQ(answer->events(), events_of("v1", 1, begun));
        return answer;
    }

    /// \brief Breaks the caller's connection.
    void break_off(answer_ptr const& answer)
    {
        this->caller.cancel(answer->call);
    }
};

} // namespace

// A stream that its engine cut went on at an engine of another version (ORDER).
TEST_F(begun_streams, a_cut_stream_continues_at_another_engine_of_its_version)
{
    this->start_old_pool(2);
    auto const answer = this->begin_stream();
    this->add_new_version();
    auto const first = this->engine_with_stream();
    this->pause_no_more();
    this->engines[first].engine->cut_streams();
    ASSERT_TRUE(this->run_to_end(answer));
    EXPECT_TRUE(answer->end->is_complete) << answer->end->why.text;
    EXPECT_EQ(answer->events(), events_of("v1", 1, whole));
    auto const& other = this->engines[1 - first].engine->seen();
    ASSERT_EQ(other.size(), 1U);
    EXPECT_EQ(other[0].last_event, std::to_string(begun));
    EXPECT_EQ(this->sent_to("v2"), 0U);
}

// A stream that its caller resumed at another gateway went on at an engine of
// A stream had begun and broke off; the next engine answered with an error,
// whose text must not stand in the middle of the stream, nor end it as if it
// were complete (ORDER, MIXED).
TEST_F(begun_streams, an_error_of_the_next_engine_is_not_passed_on)
{
    this->start_old_pool(1);
    for (int const status : {400, 404, 500, 502, 503})
    {
        for (auto const& engine : this->engines)
            engine.engine->refuse_resumed(status);
        this->pause_all_after(begun);
        auto const id = "first-" + std::to_string(status);
        auto const answer = this->ask(0, {id, "", ""});
        ASSERT_TRUE(this->run_to_events(answer, begun)) << status;
        for (auto const& engine : this->engines)
            engine.engine->cut_streams();
        ASSERT_TRUE(this->run_to_end(answer)) << status;
        EXPECT_FALSE(answer->end->is_complete) << status;
        EXPECT_EQ(answer->events(), events_of("v1", 1, begun)) << status;
        EXPECT_EQ(answer->body.find("boom"), std::string::npos) << status;
        EXPECT_EQ(answer->body.find("HTTP/1"), std::string::npos) << status;
    }
}

// another version (ORDER).
TEST_F(begun_streams, a_stream_continues_at_its_version_at_another_gateway)
{
    this->start_old_pool(2);
    this->break_off(this->begin_stream());
    this->add_new_version();
    this->pause_no_more();
    auto const again =
        this->ask_until_accepted(1, {"again", std::to_string(begun), "first"});
    ASSERT_TRUE(this->run_to_end(again));
    EXPECT_TRUE(again->end->is_complete) << again->end->why.text;
    EXPECT_EQ(again->status, HTTP_OK);
    EXPECT_EQ(again->events(), events_of("v1", begun + 1, whole));
    EXPECT_EQ(this->sent_to("v1"), 2U);
    EXPECT_EQ(this->sent_to("v2"), 0U);
}

// The version of a stream was lost with the gateway that began it, so that its
// callers were refused at all others (LOST) or got events of another version
// (ORDER). One of the three that are left was not sent it and has to query.
TEST_F(begun_streams, a_version_is_known_after_its_gateway_was_killed)
{
    this->start_old_pool(4);
    this->break_off(this->begin_stream());
    this->gateways[0].process->kill();
    this->add_engine("v2", near);
    this->add_engine("v2", near);
    auto at = begun;
    for (std::size_t gateway = 1; gateway < this->gateways.size(); ++gateway)
    {
        this->wait_logged(gateway, "member_live", 2);
        this->wait_logged(gateway, "member_live", 3);
        auto const next = at + 1;
        this->pause_all_after(next);
        auto const again =
            this->ask_until_accepted(gateway, {"at-" + std::to_string(gateway),
                                               std::to_string(at), "first"});
        ASSERT_TRUE(this->run_to_events(again, 1)) << again->status;
        EXPECT_EQ(again->events(), events_of("v1", next, next));
        this->break_off(again);
        at = next;
    }
    EXPECT_EQ(this->sent_to("v1"), this->gateways.size());
    EXPECT_EQ(this->sent_to("v2"), 0U);
}

// A stream of which no gateway knows the version was sent to some engine
// (ORDER).
TEST_F(begun_streams, a_stream_of_unknown_version_is_refused_between_two)
{
    this->start_old_pool(2);
    this->add_new_version();
    for (std::size_t gateway = 0; gateway < this->gateways.size(); ++gateway)
    {
        auto const answer = this->ask(
            gateway, {"again-" + std::to_string(gateway), "3", "never-seen"});
        ASSERT_TRUE(this->run_to_end(answer));
        EXPECT_EQ(answer->status, HTTP_SERVUNAVAIL);
        EXPECT_NE(answer->field("Retry-After"), "");
    }
    EXPECT_EQ(this->sent_to("v1") + this->sent_to("v2"), 0U);
}

// A stream of unknown version was refused though there was one version only
// (LOST).
TEST_F(begun_streams, a_stream_of_unknown_version_continues_at_the_only_one)
{
    this->start_old_pool(2);
    for (std::size_t gateway = 0; gateway < this->gateways.size(); ++gateway)
    {
        auto const answer = this->ask(
            gateway, {"again-" + std::to_string(gateway), "3", "never-seen"});
        ASSERT_TRUE(this->run_to_end(answer));
        EXPECT_EQ(answer->status, HTTP_OK);
        EXPECT_EQ(answer->events(), events_of("v1", 4, whole));
    }
}

// A stream whose version has left waited for it until its deadline, or went on
// at another version (ORDER). The deadline is far beyond the test's limit.
TEST_F(begun_streams, a_stream_whose_version_has_left_is_refused_at_once)
{
    this->start_old_pool(2);
    this->break_off(this->begin_stream());
    this->add_new_version();
    this->pause_no_more();
    this->write_engine(0, "draining");
    this->remove_engine(1);
    this->wait_logged(1, "member_leaving", 0);
    this->wait_logged(1, "member_gone", 1);
    auto const again = this->ask(1, {"again", std::to_string(begun), "first"});
    ASSERT_TRUE(this->run_to_end(again));
    EXPECT_EQ(again->status, HTTP_SERVUNAVAIL);
    EXPECT_NE(again->field("Retry-After"), "");
    EXPECT_EQ(this->sent_to("v1"), 1U);
    EXPECT_EQ(this->sent_to("v2"), 0U);
}

} // namespace jujubestand::programs::test
