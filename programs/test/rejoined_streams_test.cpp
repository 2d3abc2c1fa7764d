#include <algorithm>
#include <jujubestand/gateway/stored_origins.hpp>
#include <programs/test/versions_fixture.hpp>
#include <set>

// All gateways, or these and all agents, are killed at once around a change of
// the engines' software, and callers resume their streams at the gateways that
// start in their place. Counts the streams that go on and those that are joined
// from two versions.
namespace jujubestand::programs::test
{

namespace
{

constexpr std::uint64_t begun = 3;

constexpr char const* origin_topic = "origins";

constexpr auto whole = standins::stream_engine::stream_events;

/// What became of streams that callers resumed.
struct outcome
{
    std::size_t resumed = 0;
    std::size_t served = 0;
    std::size_t joined = 0;
};

class rejoined_streams : public versions_test
{
protected:
    static constexpr std::size_t stream_count = 20;

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

    /// \brief Number of streams whose versions are stored.
    std::size_t stored_streams() const
    {
        std::set<gateway::origin_key> result;
        for (auto const& record : this->store.records(origin_topic))
        {
            auto const batch = msgpack::unpack(record.data(), record.size())
                                   .get()
                                   .as<gateway::origin_batch>();
            for (auto const& [version, streams] : batch.streams)
                result.insert(streams.begin(), streams.end());
        }
        return result.size();
    }

    /// \brief Waits until the store has so many streams.
    void wait_stored(std::size_t count)
    {
        EXPECT_TRUE(this->run_until(
            [&]
            {
                return this->stored_streams() >= count;
            }))
            << this->stored_streams();
    }

    /// \brief Begins streams at a version, and as many at one that comes then.
    /// \param before_second called before those
    void begin_at_two_versions(std::function<void()> const& before_second = {})
    {
        this->start_pool("v1", "unused");
        this->begin_streams("v1");
        this->add_version("v2", near);
        this->wait_live(4);
        if (before_second)
            before_second();
        this->begin_streams("v2");
    }

    void expect_all_go_on(std::vector<std::string> const& versions)
    {
        for (auto const& version : versions)
        {
            auto const result = this->resume_streams(version, true);
            EXPECT_EQ(result.served, result.resumed) << version;
            EXPECT_EQ(result.joined, 0U) << version;
        }
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
    this->expect_all_go_on({"v1", "v2"});
}

// The versions that streams had begun at were lost with the gateways and the
// agents: all were refused, though engines of their version served (LOST).
TEST_F(rejoined_streams, streams_go_on_after_all_processes_were_killed)
{
    this->begin_at_two_versions();
    this->wait_stored(2 * stream_count);
    this->store.append(origin_topic, "not a batch");
    this->kill_all_processes();
    this->expect_all_go_on({"v1", "v2"});
}

// A gateway that can't reach the store has the others write its streams (LOST).
TEST_F(rejoined_streams, streams_of_a_gateway_without_the_store_go_on)
{
    this->relay_store_of_first();
    this->begin_at_two_versions(
        [this]
        {
            this->set_stalled(true);
        });
    this->wait_stored(2 * stream_count);
    this->wait_logged(0, "origins_unstored", std::string{});
    this->set_stalled(false);
    this->kill_all_processes();
    this->expect_all_go_on({"v1", "v2"});
}

// The store doesn't answer a gateway: its caller is refused as not run while it
// still waits, and goes on at another gateway.
TEST_F(rejoined_streams, a_store_that_stands_still_holds_no_caller)
{
    this->relay_store_of_first();
    this->begin_at_two_versions();
    this->wait_stored(2 * stream_count);
    this->kill_all_processes();
    this->set_stalled(true);
    stream_call const asked{"early", std::to_string(begun), "v1-0"};
    auto const refused = this->ask(0, asked);
    ASSERT_TRUE(this->run_to_end(refused));
    EXPECT_EQ(refused->status, HTTP_SERVUNAVAIL);
    EXPECT_TRUE(this->has_logged(0, "resume_decided", "store=failed"));
    auto const again =
        this->ask_until_accepted(1, {"later", std::to_string(begun), "v1-0"});
    ASSERT_TRUE(this->run_to_end(again));
    EXPECT_EQ(again->events(), events_of("v1", begun + 1, whole));
}

// The store returned from a copy without the records (LOST).
TEST_F(rejoined_streams,
       versions_are_written_again_when_the_store_has_lost_them)
{
    this->start_pool("v1", "unused");
    this->begin_streams("v1");
    this->add_version("v2", near);
    this->wait_live(4);
    this->store.keep_copy();
    this->begin_streams("v2");
    this->wait_stored(2 * stream_count);
    this->store.return_from_copy();
    ASSERT_LT(this->stored_streams(), 2 * stream_count);
    this->wait_stored(2 * stream_count);
    this->kill_all_processes();
    this->expect_all_go_on({"v1", "v2"});
}

// Where a version can be inferred, the store is not written to.
TEST_F(rejoined_streams, nothing_is_stored_while_one_version_serves)
{
    constexpr milliseconds several_writes{1'000};
    this->start_pool("v1", "unused");
    this->begin_streams("v1");
    this->run_until(
        []
        {
            return false;
        },
        several_writes);
    EXPECT_TRUE(this->store.records(origin_topic).empty());
    this->kill_all_processes();
    this->expect_all_go_on({"v1"});
    EXPECT_TRUE(this->store.records(origin_topic).empty());
}

// The store is away when callers resume: they are refused as not run, soon, and
// go on once it is back.
TEST_F(rejoined_streams, streams_go_on_once_the_store_is_back)
{
    this->begin_at_two_versions();
    this->wait_stored(2 * stream_count);
    this->kill_all_processes();
    this->store.set_away(true);
    auto const refused = this->ask(1, {"early", std::to_string(begun), "v1-0"});
    ASSERT_TRUE(this->run_to_end(refused));
    EXPECT_EQ(refused->status, HTTP_SERVUNAVAIL);
    EXPECT_TRUE(this->has_logged(1, "resume_decided", "store=failed"));
    this->store.set_away(false);
    this->expect_all_go_on({"v1", "v2"});
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
