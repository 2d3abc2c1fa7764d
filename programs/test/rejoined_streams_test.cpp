#include <algorithm>
#include <programs/test/gateways_fixture.hpp>

// All gateways are killed at once around a change of the engines' software, and
// callers resume their streams at the gateways that start in their place.
// Counts the streams that go on and those that are joined from two versions.
namespace jujubestand::programs::test
{

namespace
{

constexpr std::uint64_t begun = 3;

constexpr auto whole = standins::stream_engine::stream_events;

/// What became of streams that callers resumed.
struct outcome
{
    std::size_t resumed = 0;
    std::size_t served = 0;
    std::size_t joined = 0;
};

class rejoined_streams : public gateways_test
{
protected:
    static constexpr std::size_t gateway_count = 3;
    static constexpr std::size_t stream_count = 20;

    /// \brief Adds two engines of a version, with agents.
    void add_version(std::string const& version, std::string const& data_centre)
    {
        for (int count = 0; count < 2; ++count)
        {
            auto const number = this->add_engine(version, data_centre);
            this->start_agent(number);
        }
    }

    /// \brief Starts gateways and a pool of one version.
    void start_pool(std::string const& version)
    {
        this->start_gateways(gateway_count);
        this->add_version(version, far);
        // Names the gateways; it is sent nothing.
        this->add_engine("none", far);
        this->write_engine(2, "draining");
        this->wait_ready();
        this->wait_live(1);
    }

    void wait_live(std::size_t engine)
    {
        for (std::size_t gateway = 0; gateway < this->gateways.size();
             ++gateway)
            this->wait_logged(gateway, "member_live", engine);
    }

    /// \brief Begins streams at all gateways, and breaks them off.
    void begin_streams(std::string const& version)
    {
        this->pause_all_after(begun);
        for (std::size_t number = 0; number < stream_count; ++number)
        {
            auto const name = version + '-' + std::to_string(number);
            auto const answer =
                this->ask(number % gateway_count, {name, "", ""});
            ASSERT_TRUE(this->run_to_events(answer, begun));
            ASSERT_EQ(answer->events(), events_of(version, 1, begun));
            this->caller.cancel(answer->call);
        }
        this->pause_no_more();
    }

    void kill_all_gateways()
    {
        this->restart_gateways();
        for (auto const& gateway : this->gateways)
            ASSERT_TRUE(this->run_until(
                [&]
                {
                    return this->is_ready(gateway);
                }));
    }

    /// \brief Resumes the streams of a version at other gateways than before.
    /// \param is_patient whether callers come back while they are refused
    outcome resume_streams(std::string const& version, bool is_patient)
    {
        outcome result;
        for (std::size_t number = 0; number < stream_count; ++number)
        {
            auto const name = version + '-' + std::to_string(number);
            auto const gateway = (number + 1) % gateway_count;
            stream_call const asked{"again-" + name, std::to_string(begun),
                                    name};
            auto const again = is_patient
                                   ? this->ask_until_accepted(gateway, asked)
                                   : this->ask(gateway, asked);
            this->run_to_end(again);
            ++result.resumed;
            auto const events = again->events();
            result.served +=
                events == events_of(version, begun + 1, whole) ? 1 : 0;
            result.joined +=
                std::any_of(events.begin(), events.end(),
                            [&](std::string const& event)
                            {
                                return !event.starts_with(version + ' ');
                            })
                    ? 1
                    : 0;
        }
        RecordProperty(version + "-served", static_cast<int>(result.served));
        RecordProperty(version + "-joined", static_cast<int>(result.joined));
        return result;
    }
};

} // namespace

// The versions that streams had begun at were lost with the gateways: all were
// refused, though engines of their version served (LOST).
TEST_F(rejoined_streams, streams_go_on_after_all_gateways_were_killed)
{
    this->start_pool("v1");
    this->begin_streams("v1");
    this->add_version("v2", near);
    this->wait_live(4);
    this->begin_streams("v2");
    this->kill_all_gateways();
    this->wait_live(4);
    for (char const* version : {"v1", "v2"})
    {
        auto const result = this->resume_streams(version, true);
        EXPECT_EQ(result.served, result.resumed) << version;
        EXPECT_EQ(result.joined, 0U) << version;
    }
}

// Gateways that had just started took the only version that they saw for that
// of streams whose version had left (ORDER).
TEST_F(rejoined_streams, no_version_is_inferred_by_gateways_that_just_started)
{
    this->start_pool("v1");
    this->begin_streams("v1");
    this->add_version("v2", near);
    this->wait_live(4);
    this->remove_engine(0);
    this->remove_engine(1);
    this->remove_engine(2);
    this->kill_all_gateways();
    this->wait_live(4);
    auto const result = this->resume_streams("v1", false);
    EXPECT_EQ(result.served, 0U);
    EXPECT_EQ(result.joined, 0U);
}

} // namespace jujubestand::programs::test
