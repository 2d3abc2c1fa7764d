#include <algorithm>
#include <map>
#include <programs/test/faulty_gateways.hpp>
#include <standins/service/recording_service.hpp>

// Plain services that state limits, other ones, malformed ones and none any
// more at random, while gateway processes are killed, stopped, paused and
// started again in series.
namespace jujubestand::programs::test
{

namespace
{

constexpr milliseconds contact{3'000};
constexpr milliseconds window{4'000};

class limit_faults : public faulty_gateways_test
{
protected:
    struct limited_service
    {
        std::unique_ptr<standins::recording_service> service;
        /// Limit from each time on; 0: none.
        std::map<mono_time, double> limits;
        std::vector<mono_time> arrivals;
    };

    void start()
    {
        this->start_gateways(gateway_count);
        this->add_engine("v1", near);
        this->services.resize(service_count);
        for (std::size_t number = 0; number < service_count; ++number)
            this->add_limited(number);
        this->wait_ready();
    }

    void add_limited(std::size_t number)
    {
        auto& added = this->services[number];
        standins::service_events events;
        events.arrived = [&added](std::string const&)
        {
            added.arrivals.push_back(mono_now());
        };
        events.run = [](std::string const&) {};
        added.service = std::make_unique<standins::recording_service>(
            this->base.get(), address{host(first_service + number), 0},
            this->seed + number, standins::service_faults{0.05, 0, 0, 0},
            events);
        this->add_service("book-" + std::to_string(number),
                          added.service->bound());
        this->change_limit(number);
    }

    /// \brief States another limit now and then; malformed ones leave the one
    /// before in force.
    void change_limit(std::size_t number)
    {
        constexpr std::array<double, 10> choices{0,   0.2, 0.5, 1.2, 2,
                                                 3.5, 5,   10,  20,  50};
        constexpr unsigned time_min_ms = 500;
        constexpr unsigned time_spread_ms = 9'000;
        auto& changed = this->services[number];
        auto const chosen = choices[this->random() % choices.size()];
        bool const is_malformed = this->random() % 6 == 0;
        if (is_malformed)
            changed.service->name_limit("-1");
        else
        {
            changed.service->name_limit(chosen == 0 ? ""
                                                    : std::to_string(chosen));
            changed.limits[mono_now()] = chosen;
        }
        this->later.run(
            milliseconds{time_min_ms + this->random() % time_spread_ms},
            [this, number]
            {
                this->change_limit(number);
            });
    }

    void send()
    {
        stream_call asked{"call-" + std::to_string(++this->calls), "", ""};
        asked.target = this->random() % 2 == 0 ? "/status/new" : "/book/new";
        this->answers.push_back(
            this->ask(this->random() % gateway_count, asked));
    }

    /// \brief Most that a service allows in the window before a time; empty if
    /// it stated no limit for long enough.
    static std::optional<double> calls_allowed(limited_service const& service,
                                               mono_time until)
    {
        constexpr double excess_ratio = 1.5;
        constexpr double excess_calls = 5;
        auto const from = until - window - contact;
        auto row = service.limits.upper_bound(from);
        if (row == service.limits.begin())
            return std::nullopt;
        double most = 0;
        for (--row; row != service.limits.end() && row->first <= until; ++row)
        {
            if (row->second == 0)
                return std::nullopt;
            most = std::max(most, row->second);
        }
        return excess_ratio * most *
                   std::chrono::duration<double>(window).count() +
               excess_calls;
    }

    void check(limited_service const& service, std::size_t number)
    {
        auto const& times = service.arrivals;
        for (auto last = times.begin(); last != times.end(); ++last)
        {
            auto const allowed = calls_allowed(service, *last);
            if (!allowed)
                continue;
            ++this->checked_windows;
            auto const first =
                std::upper_bound(times.begin(), last, *last - window);
            EXPECT_LE(static_cast<double>(last - first + 1), *allowed)
                << "service " << number << ", seed " << this->seed;
        }
    }

    static constexpr std::size_t gateway_count = 4;
    static constexpr std::size_t service_count = 3;
    static constexpr std::size_t first_service = 200;

    std::vector<limited_service> services;
    std::vector<answer_ptr> answers;
    std::size_t calls = 0;
    std::size_t checked_windows = 0;
};

} // namespace

// Gateways that restart, stop and stand still took more than services stated
// (LIMIT).
TEST_F(limit_faults, limits_hold_while_they_change_and_gateways_fail)
{
    constexpr unsigned usual_seconds = 20;
    constexpr milliseconds call_interval{10};
    this->start();
    this->play_faults(play_time(usual_seconds), call_interval,
                      [this]
                      {
                          this->send();
                      });
    for (std::size_t number = 0; number < service_count; ++number)
        this->check(this->services[number], number);
    EXPECT_GT(this->checked_windows, 0U);
    auto const served =
        std::count_if(this->answers.begin(), this->answers.end(),
                      [](answer_ptr const& answer)
                      {
                          return answer->status == HTTP_OK;
                      });
    EXPECT_GT(served, 0);
    RecordProperty("windows", static_cast<int>(this->checked_windows));
    RecordProperty("served", static_cast<int>(served));
}

} // namespace jujubestand::programs::test
