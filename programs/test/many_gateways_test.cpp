#include <map>
#include <programs/test/faulty_gateways.hpp>
#include <programs/test/repeat_counts.hpp>
#include <standins/service/recording_service.hpp>

// More gateways than the reserve of retries has retries for, before services
// that refuse and cut most calls, which may all be repeated.
namespace jujubestand::programs::test
{

namespace
{

class many_gateways : public faulty_gateways_test
{
protected:
    struct sent_call
    {
        answer_ptr answer;
        std::vector<mono_time> arrivals;
    };

    void start(std::size_t gateway_count)
    {
        this->retry_reserve = reserve;
        this->retry_ratio = ratio;
        this->retry_window_s = static_cast<unsigned>(window.count() / 1'000);
        this->start_gateways(gateway_count);
        this->add_engine("v1", near);
        for (std::size_t number = 0; number < service_count; ++number)
            this->start_service(number);
        this->wait_ready();
    }

    void start_service(std::size_t number)
    {
        standins::service_events events;
        events.arrived = [this](std::string const& id)
        {
            this->calls[id].arrivals.push_back(mono_now());
        };
        events.run = [](std::string const&) {};
        this->services.push_back(std::make_unique<standins::recording_service>(
            this->base.get(), address{host(first_service + number), 0},
            this->seed + number, service_faults, events));
        this->add_service("book-" + std::to_string(number),
                          this->services.back()->bound());
    }

    // Each gateway gets as many calls as the others.
    void send()
    {
        auto const number = this->calls.size();
        auto const id = "call-" + std::to_string(number);
        stream_call asked{id, "", ""};
        asked.target = "/status/new";
        this->calls[id].answer =
            this->ask(number % this->gateways.size(), asked);
    }

    void play(milliseconds duration)
    {
        auto const end = mono_now() + duration;
        while (mono_now() < end)
        {
            this->send();
            this->run_until(
                []
                {
                    return false;
                },
                call_interval);
        }
    }

    /// \brief Plays, and checks that all gateways together keep the limit.
    void check_limit(std::size_t gateway_count)
    {
        constexpr unsigned usual_seconds = 12;
        this->start(gateway_count);
        this->play(play_time(usual_seconds));
        auto const in_window =
            static_cast<double>(window / call_interval) * ratio;
        EXPECT_LE(static_cast<double>(most_repeats(this->calls, window)),
                  reserve + in_window)
            << "seed " << this->seed;
        EXPECT_GT(most_repeats(this->calls, window), 0U);
        RecordProperty("calls", static_cast<int>(this->calls.size()));
        RecordProperty("repeats",
                       static_cast<int>(most_repeats(this->calls, window)));
    }

    static constexpr std::size_t service_count = 3;
    static constexpr std::size_t first_service = 200;
    static constexpr unsigned reserve = 30;
    static constexpr double ratio = 0.05;
    static constexpr milliseconds window{3'000};
    static constexpr milliseconds call_interval{7};
    static constexpr standins::service_faults service_faults{0.6, 0.1, 0.1};

    std::map<std::string, sent_call> calls;
    std::vector<std::unique_ptr<standins::recording_service>> services;
};

} // namespace

// Each gateway had two retries of the reserve and one for answers that had
// begun, so that many gateways together repeated beyond the limit (BUDGET).
TEST_F(many_gateways, repeats_stay_within_the_limit_of_all_gateways)
{
    constexpr std::size_t more_than_the_reserve = 40;
    this->check_limit(more_than_the_reserve);
}

} // namespace jujubestand::programs::test
