#include <map>
#include <programs/test/gateways_fixture.hpp>
#include <standins/service/recording_service.hpp>

// Plain services that send answers which belong to no call, over whole gateway
// processes.
namespace jujubestand::programs::test
{

namespace
{

class stray_answers : public gateways_test
{
protected:
    struct sent_call
    {
        answer_ptr answer;
        std::size_t runs = 0;
    };

    void start(standins::service_faults faults,
               std::size_t service_count = usual_service_count)
    {
        this->start_gateways(1);
        this->add_engine("v1", near);
        for (std::size_t number = 0; number < service_count; ++number)
        {
            standins::service_events events;
            events.arrived = [](std::string const&) {};
            events.run = [this](std::string const& id)
            {
                ++this->calls[id].runs;
            };
            this->services.push_back(
                std::make_unique<standins::recording_service>(
                    this->base.get(), address{host(first_service + number), 0},
                    seed + number, faults, events));
            this->add_service("book-" + std::to_string(number),
                              this->services.back()->bound());
        }
        this->wait_ready();
    }

    void play(std::size_t count)
    {
        constexpr milliseconds interval{15};
        for (std::size_t number = 0; number < count; ++number)
        {
            auto const id = "call-" + std::to_string(number);
            stream_call asked{id, "", ""};
            asked.target = "/book/new";
            this->calls[id].answer = this->ask(0, asked);
            this->run_until(
                []
                {
                    return false;
                },
                interval);
        }
        for (auto const& [id, call] : this->calls)
            EXPECT_TRUE(this->run_to_end(call.answer)) << id;
    }

    /// \brief Checks that each call ran once at most, and not if it was refused
    /// as not run.
    void check(std::size_t least_served) const
    {
        std::size_t served = 0;
        for (auto const& [id, call] : this->calls)
        {
            EXPECT_LE(call.runs, 1U) << id;
            EXPECT_FALSE(call.answer->status == HTTP_SERVUNAVAIL &&
                         call.runs > 0)
                << id;
            served += call.answer->status == HTTP_OK ? 1 : 0;
        }
        EXPECT_GE(served, least_served);
    }

    static constexpr std::size_t usual_service_count = 3;
    static constexpr std::size_t first_service = 200;
    static constexpr std::uint64_t seed = 20261204;

    std::map<std::string, sent_call> calls;
    std::vector<std::unique_ptr<standins::recording_service>> services;
};

} // namespace

// A refusal that names no call was taken for the one in flight: it ran, and was
// sent to the next service as well (TWICE) or refused as not run (REFUSED).
TEST_F(stray_answers, a_refusal_that_names_no_call_promises_nothing)
{
    standins::service_faults faults;
    faults.stray_refusal = 0.3;
    this->start(faults);
    this->play(200);
    this->check(190);
}

// A service wrote an earlier refusal once more on a kept connection: it was
// taken for the call in flight, which ran (REFUSED), or ran at a second service
// as well (TWICE).
TEST_F(stray_answers, an_earlier_refusal_once_more_promises_nothing)
{
    standins::service_faults faults;
    faults.refused = 0.2;
    faults.repeated_refusal = 0.3;
    this->start(faults);
    this->play(200);
    this->check(190);
}

// A call was refused, and sent to the same service again: the earlier refusal,
// written once more, names the call, but says nothing of the second send
// (REFUSED, TWICE).
TEST_F(stray_answers, a_second_refusal_of_one_call_promises_nothing)
{
    standins::service_faults faults;
    faults.refused = 0.4;
    faults.repeated_refusal = 0.8;
    this->start(faults, 1);
    this->play(100);
    this->check(50);
}

} // namespace jujubestand::programs::test
