#include <algorithm>
#include <iostream>
#include <programs/test/versions_fixture.hpp>

// Engines of two software versions serve, and all processes, or all gateways,
// are killed at once again and again, while the store goes away, one gateway is
// cut off from it, and single gateways start again. Callers take their streams
// up after each kill.
namespace jujubestand::programs::test
{

namespace
{

constexpr std::uint64_t begun = 3;

constexpr auto whole = standins::stream_engine::stream_events;

/// \brief A stream as its caller holds it.
struct held_stream
{
    std::string request_id;
    std::size_t gateway = 0;
    answer_ptr answer;
    /// Software version of its first event; empty if it has not begun.
    std::string version;
};

std::string version_of(std::string const& event)
{
    return event.substr(0, event.find(' '));
}

class rejoined_faults : public versions_test
{
protected:
    static constexpr std::size_t stream_count = 12;
    /// From the first event of a stream until its version is stored at the
    /// latest, if nothing fails meanwhile.
    static constexpr milliseconds storing_time{1'500};

    void start()
    {
        this->relay_store_of_first();
        this->start_pool("v1", "unused");
    }

    void wait_for(milliseconds time)
    {
        this->run_until(
            []
            {
                return false;
            },
            time);
    }

    /// \brief Begins streams at all gateways and leaves them open.
    std::vector<held_stream> begin_streams()
    {
        std::vector<held_stream> result(stream_count);
        this->pause_all_after(begun);
        for (auto& stream : result)
        {
            stream.request_id = "stream-" + std::to_string(++this->streams);
            stream.gateway = this->random() % gateway_count;
            stream.answer =
                this->ask(stream.gateway, {stream.request_id, {}, {}});
        }
        this->run_until(
            [&]
            {
                return std::all_of(result.begin(), result.end(),
                                   [](held_stream const& stream)
                                   {
                                       return stream.answer->events().size() >=
                                                  begun ||
                                              stream.answer->end;
                                   });
            });
        return result;
    }

    /// \brief Does one thing that delays what the gateways write, or loses
    /// what they remember. \returns whether all is stored in time all the same
    bool disturb_writes()
    {
        constexpr unsigned time_limit_ms = 1'200;
        milliseconds const time{this->random() % time_limit_ms};
        switch (this->random() % 4)
        {
        case 0:
            this->store.set_away(true);
            this->wait_for(time);
            return false;
        case 1:
            this->set_stalled(true);
            this->wait_for(time);
            return false;
        case 2:
            this->wait_for(time);
            this->restart_gateway(this->random() % gateway_count);
            return false;
        default:
            this->wait_for(storing_time);
            return true;
        }
    }

    void kill_some()
    {
        if (this->random() % 4 == 0)
            this->restart_gateway(this->random() % gateway_count);
        this->store.set_away(false);
        this->set_stalled(false);
        this->kill_all_processes();
    }

    /// \brief Resumes a stream at another gateway.
    /// \param is_patient whether its caller comes back while it is refused
    /// \returns whether it goes on
    bool resume(held_stream const& stream, bool is_patient)
    {
        auto const gateway = (stream.gateway + 1) % gateway_count;
        stream_call const asked{"again-" + stream.request_id,
                                std::to_string(begun), stream.request_id};
        auto const again = is_patient ? this->ask_until_accepted(gateway, asked)
                                      : this->ask(gateway, asked);
        this->run_to_end(again);
        auto const events = again->events();
        for (auto const& event : events)
            EXPECT_EQ(version_of(event), stream.version)
                << stream.request_id << ", seed " << this->seed;
        return events == events_of(stream.version, begun + 1, whole);
    }

    void resume_all(std::vector<held_stream>& held, bool is_stored)
    {
        this->pause_no_more();
        for (auto& stream : held)
        {
            auto const events = stream.answer->events();
            this->caller.cancel(stream.answer->call);
            if (events.size() < begun)
                continue;
            stream.version = version_of(events.front());
            bool const goes_on = this->resume(stream, is_stored);
            ++this->resumed;
            this->gone_on += goes_on ? 1 : 0;
            EXPECT_TRUE(goes_on || !is_stored)
                << stream.request_id << ", seed " << this->seed;
        }
    }

    std::size_t streams = 0;
    std::size_t resumed = 0;
    std::size_t gone_on = 0;
};

} // namespace

// Versions that streams had begun at were lost with all processes (LOST); none
// may be guessed (ORDER).
TEST_F(rejoined_faults, streams_go_on_at_their_version_or_not_at_all)
{
    constexpr unsigned usual_seconds = 12;
    this->start();
    auto const end = mono_now() + play_time(usual_seconds);
    std::size_t rounds = 0;
    while (mono_now() < end && !HasFailure())
    {
        auto held = this->begin_streams();
        if (rounds++ == 0)
        {
            this->add_version("v2", near);
            this->wait_live(4);
        }
        bool const is_stored = this->disturb_writes();
        this->kill_some();
        this->resume_all(held, is_stored);
    }
    EXPECT_GT(this->resumed, 0U) << "seed " << this->seed;
    RecordProperty("rounds", static_cast<int>(rounds));
    RecordProperty("resumed", static_cast<int>(this->resumed));
    RecordProperty("gone_on", static_cast<int>(this->gone_on));
    std::cout << "rounds " << rounds << " resumed " << this->resumed
              << " gone on " << this->gone_on << '\n';
}

} // namespace jujubestand::programs::test
