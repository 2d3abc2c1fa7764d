#include <algorithm>
#include <map>
#include <programs/test/faulty_gateways.hpp>
#include <programs/test/repeat_counts.hpp>
#include <standins/service/recording_service.hpp>

// Gateway processes that are killed, stopped, paused and started again in
// series, before plain services that refuse, fail and break off. Checks what
// callers and services see.
namespace jujubestand::programs::test
{

namespace
{

class faults : public faulty_gateways_test
{
protected:
    struct sent_call
    {
        mono_time sent_at{};
        answer_ptr answer;
        bool is_repeatable = false;
        std::vector<mono_time> arrivals;
        std::size_t runs = 0;
    };

    void start()
    {
        this->retry_reserve = reserve;
        this->retry_ratio = ratio;
        this->retry_window_s = static_cast<unsigned>(window.count() / 1'000);
        this->start_gateways(gateway_count);
        this->add_engine("v1", near);
        for (std::size_t number = 0; number < service_count; ++number)
        {
            standins::service_events events;
            events.arrived = [this](std::string const& id)
            {
                this->calls[id].arrivals.push_back(mono_now());
            };
            events.run = [this](std::string const& id)
            {
                ++this->calls[id].runs;
            };
            this->services.push_back(
                std::make_unique<standins::recording_service>(
                    this->base.get(), address{host(first_service + number), 0},
                    this->seed + number, service_faults, events));
            this->add_service("book-" + std::to_string(number),
                              this->services.back()->bound());
        }
        this->wait_ready();
    }

    void send()
    {
        auto const id = "call-" + std::to_string(this->calls.size());
        auto& call = this->calls[id];
        call.sent_at = mono_now();
        call.is_repeatable = this->random() % 2 == 0;
        stream_call asked{id, "", ""};
        asked.target = call.is_repeatable ? "/status/new" : "/book/new";
        call.answer = this->ask(this->random() % gateway_count, asked);
    }

    void play(milliseconds duration)
    {
        this->play_faults(duration, call_interval,
                          [this]
                          {
                              this->send();
                          });
        // What a refused call promised must hold afterwards as well.
        this->run_until(
            []
            {
                return false;
            },
            settle_time);
    }

    static constexpr std::size_t gateway_count = 3;
    static constexpr std::size_t service_count = 3;
    static constexpr std::size_t first_service = 200;
    static constexpr unsigned reserve = 30;
    static constexpr double ratio = 0.05;
    static constexpr milliseconds window{10'000};
    static constexpr milliseconds call_interval{10};
    static constexpr milliseconds settle_time{1'500};
    static constexpr standins::service_faults service_faults{0.1, 0.1, 0.1,
                                                             0.05};

    std::map<std::string, sent_call> calls;
    std::vector<std::unique_ptr<standins::recording_service>> services;
};

} // namespace

// On machines of the users' own, calls ran twice, ran though refused as not
// run, or were repeated beyond the limit (TWICE, REFUSED, BUDGET).
TEST_F(faults, calls_keep_their_promises_under_process_faults)
{
    constexpr unsigned usual_seconds = 10;
    this->start();
    this->play(play_time(usual_seconds));
    std::size_t served = 0;
    for (auto const& [id, call] : this->calls)
    {
        int const status = call.answer->status;
        served += status == HTTP_OK ? 1 : 0;
        if (call.is_repeatable)
            continue;
        EXPECT_LE(call.runs, 1U) << id << " status " << status;
        bool const is_promise = status == HTTP_SERVUNAVAIL || status == 429 ||
                                status == 408 || status == 421;
        EXPECT_FALSE(is_promise && call.runs > 0) << id << " status " << status;
    }
    EXPECT_GT(served, this->calls.size() / 4);
    auto const in_window = std::min(
        this->calls.size(), static_cast<std::size_t>(window / call_interval));
    EXPECT_LE(static_cast<double>(most_repeats(this->calls, window)),
              reserve + ratio * static_cast<double>(in_window));
    RecordProperty("calls", static_cast<int>(this->calls.size()));
    RecordProperty("repeats",
                   static_cast<int>(most_repeats(this->calls, window)));
}

} // namespace jujubestand::programs::test
