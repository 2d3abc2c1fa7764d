#include <algorithm>
#include <csignal>
#include <programs/test/gateways_fixture.hpp>
#include <standins/relay/tcp_relay.hpp>

// One gateway is cut off from the store and the others, or stands still, while
// engines of new software join. Streams begin at these through the other
// gateway, break, and are resumed at this one.
namespace jujubestand::programs::test
{

namespace
{

constexpr std::uint64_t begun = 3;

constexpr auto whole = standins::stream_engine::stream_events;

class out_of_step : public gateways_test
{
protected:
    /// \brief Starts two gateways before an engine of the first version; the
    /// second gateway reaches the store through a relay.
    void start()
    {
        constexpr std::size_t relay_number = 5;
        auto const where = address{host(relay_number), 0};
        this->relay = std::make_unique<standins::tcp_relay>(
            this->base.get(), where, this->store.bound(), where,
            standins::relay_switches{});
        this->store_addresses["front-1"] = this->relay->bound();
        this->start_gateways(2);
        // The streams' versions are kept by gateways that don't answer.
        this->list_unreachable_gateways(60);
        this->add_engine("v1", far);
        this->wait_ready();
        this->wait_logged(1, "member_live", 0);
    }

    /// \brief Breaks off the second gateway, has an engine of new software
    /// join, and begins a stream there through the first gateway.
    void begin_unseen_stream()
    {
        standins::relay_switches faults;
        faults.stall = true;
        this->relay->set(faults);
        this->gateways[1].process->signal(SIGSTOP);
        auto const joined = this->add_engine("v2", near);
        this->wait_logged(0, "member_live", joined);
        this->pause_all_after(begun);
        auto const answer = this->ask(0, {"first", "", ""});
        ASSERT_TRUE(this->run_to_events(answer, begun));
        ASSERT_EQ(answer->events(), events_of("v2", 1, begun));
        this->gateways[0].process->kill();
        this->pause_no_more();
    }

    answer_ptr resume(std::string const& name, std::string const& resumes)
    {
        auto answer = this->ask(1, {name, std::to_string(begun), resumes});
        EXPECT_TRUE(this->run_to_end(answer));
        return answer;
    }

    std::unique_ptr<standins::tcp_relay> relay;
};

} // namespace

// The stream went on at the only version that the gateway knew (ORDER).
TEST_F(out_of_step, a_stream_of_software_that_joined_meanwhile_is_not_joined)
{
    this->start();
    this->begin_unseen_stream();
    this->gateways[1].process->signal(SIGCONT);
    for (char const* resumes : {"", "first"})
    {
        auto const answer =
            this->resume(std::string("again-") + resumes, resumes);
        EXPECT_EQ(answer->status, HTTP_SERVUNAVAIL);
        EXPECT_TRUE(answer->events().empty());
    }
    EXPECT_EQ(this->sent_to("v1"), 0U);
}

// Once it reaches the store again, the gateway knows both versions.
TEST_F(out_of_step, a_stream_that_may_be_of_two_versions_is_refused_at_once)
{
    this->start();
    this->begin_unseen_stream();
    this->relay->set({});
    this->gateways[1].process->signal(SIGCONT);
    auto const answer = this->resume("again", "");
    EXPECT_EQ(answer->status, HTTP_SERVUNAVAIL);
    EXPECT_EQ(this->sent_to("v1"), 0U);
}

// What a gateway in step infers is right, whatever other gateways know.
TEST_F(out_of_step, a_stream_of_the_only_version_goes_on_at_a_gateway_in_step)
{
    this->start();
    for (char const* resumes : {"", "unknown"})
    {
        auto const answer =
            this->resume(std::string("again-") + resumes, resumes);
        EXPECT_EQ(answer->events(), events_of("v1", begun + 1, whole));
    }
}

} // namespace jujubestand::programs::test
