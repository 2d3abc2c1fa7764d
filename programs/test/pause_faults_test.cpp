#include <algorithm>
#include <map>
#include <programs/test/faulty_gateways.hpp>
#include <set>
#include <standins/service/recording_service.hpp>

// Plain services that ask for pauses at random, while their records lapse, are
// set back to an older process and come back, and gateway processes are killed,
// stopped, frozen and started again in series.
namespace jujubestand::programs::test
{

namespace
{

/// The rule: calls that may arrive from one gateway between the margin after
/// it was refused and the end of the pause.
constexpr milliseconds margin{500};
constexpr std::ptrdiff_t calls_limit = 2;

class pause_faults : public faulty_gateways_test
{
protected:
    struct refusal
    {
        std::size_t gateway = 0;
        mono_time at{};
        milliseconds pause{0};
    };

    struct pausing_service
    {
        std::unique_ptr<standins::recording_service> service;
        /// Zero: runs calls.
        milliseconds pause{0};
        std::map<std::size_t, std::vector<mono_time>> arrivals;
        std::vector<refusal> refusals;
    };

    void start()
    {
        this->start_gateways(gateway_count);
        this->add_engine("v1", near);
        this->services.resize(service_count);
        for (std::size_t number = 0; number < service_count; ++number)
            this->add_pausing(number);
        this->wait_ready();
        for (std::size_t number = 0; number < service_count; ++number)
        {
            this->change_pause(number);
            this->change_record(number);
        }
        this->disturb_later();
    }

    void add_pausing(std::size_t number)
    {
        auto& added = this->services[number];
        standins::service_events events;
        events.arrived = [this, &added](std::string const& request)
        {
            auto const gateway = this->gateway_by_call.at(request);
            added.arrivals[gateway].push_back(mono_now());
            if (added.pause.count() > 0)
                added.refusals.push_back({gateway, mono_now(), added.pause});
        };
        events.run = [](std::string const&) {};
        added.service = std::make_unique<standins::recording_service>(
            this->base.get(), address{host(first_service + number), 0},
            this->seed + number, standins::service_faults{0.05, 0.01, 0, 0},
            events);
        this->write_record(number);
    }

    /// \brief Runs something again and again, after random times.
    void repeat(milliseconds least, unsigned spread_ms,
                std::function<void()> const& action)
    {
        this->later.run(least + milliseconds{this->random() % spread_ms},
                        action);
    }

    /// \brief Asks for another pause or for none, for a while.
    void change_pause(std::size_t number)
    {
        constexpr std::array<unsigned, 6> choices_ms{0,     0,     700,
                                                     1'500, 3'000, 4'250};
        auto& changed = this->services[number];
        auto const chosen = choices_ms[this->random() % choices_ms.size()];
        changed.pause = milliseconds{chosen};
        constexpr double ms_per_s = 1'000;
        changed.service->ask_for_pause(
            chosen == 0 ? "" : std::to_string(chosen / ms_per_s));
        this->repeat(milliseconds{150}, 1'500,
                     [this, number]
                     {
                         this->change_pause(number);
                     });
    }

    void write_record(std::size_t number, bool is_older = false)
    {
        constexpr std::uint64_t older_by_ms = 500;
        auto record = nlohmann::json::parse(service_record(
            this->services[number].service->bound(), ++this->records));
        auto const born = record["born"].get<std::uint64_t>();
        record["born"] = is_older ? born - older_by_ms : born;
        this->store.put("keyed.servers", "book-" + std::to_string(number),
                        record.dump());
    }

    /// \brief Removes a record or sets it back, and writes it again soon.
    void change_record(std::size_t number)
    {
        if (this->random() % 3 == 0)
            this->write_record(number, true);
        else
            this->store.put("keyed.servers", "book-" + std::to_string(number),
                            "");
        this->later.run(milliseconds{this->random() % 500},
                        [this, number]
                        {
                            this->write_record(number);
                        });
        this->repeat(milliseconds{600}, 1'500,
                     [this, number]
                     {
                         this->change_record(number);
                     });
    }

    void note_disturbance(std::size_t gateway)
    {
        this->disturbances[gateway].push_back(mono_now());
    }

    /// \brief Ends or freezes a gateway, never the first, and mends that later.
    void disturb_one()
    {
        auto const number = 1 + this->random() % (gateway_count - 1);
        if (!this->disturbed.insert(number).second)
            return;
        auto& process = *this->gateways[number].process;
        bool const is_frozen = this->random() % 2 == 0;
        this->note_disturbance(number);
        if (is_frozen)
            process.signal(SIGSTOP);
        else if (this->random() % 2 == 0)
            process.begin_stop();
        else
            process.kill();
        this->later.run(milliseconds{this->random() % 1'000},
                        [this, number, is_frozen]
                        {
                            this->note_disturbance(number);
                            this->disturbed.erase(number);
                            if (is_frozen)
                                this->gateways[number].process->signal(SIGCONT);
                            else
                                this->restart_gateway(number);
                        });
    }

    void disturb_later()
    {
        this->repeat(milliseconds{1'500}, 2'500,
                     [this]
                     {
                         this->disturb_one();
                         this->disturb_later();
                     });
    }

    void send()
    {
        auto const gateway = this->random() % gateway_count;
        stream_call asked{"call-" + std::to_string(++this->calls), "", ""};
        asked.target = this->random() % 2 == 0 ? "/status/new" : "/book/new";
        this->gateway_by_call[asked.request_id] = gateway;
        this->answers.push_back(this->ask(gateway, asked));
    }

    void play(milliseconds duration, milliseconds interval)
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
                interval);
        }
        for (auto const number : this->disturbed)
            this->restart_gateway(number);
    }

    static std::ptrdiff_t count_between(std::vector<mono_time> const& times,
                                        mono_time from, mono_time until)
    {
        return std::count_if(times.begin(), times.end(),
                             [&](mono_time time)
                             {
                                 return time >= from && time < until;
                             });
    }

    void check(pausing_service& service, std::size_t number)
    {
        for (auto const& [gateway, at, pause] : service.refusals)
        {
            auto const end = at + pause;
            if (count_between(this->disturbances[gateway], at, end) > 0)
                continue;
            ++this->checked_pauses;
            EXPECT_LE(
                count_between(service.arrivals[gateway], at + margin, end),
                calls_limit)
                << "service " << number << ", gateway " << gateway << ", seed "
                << this->seed;
        }
    }

    static constexpr std::size_t gateway_count = 3;
    static constexpr std::size_t service_count = 3;
    static constexpr std::size_t first_service = 200;

    std::vector<pausing_service> services;
    std::map<std::size_t, std::vector<mono_time>> disturbances;
    /// Gateways that are down or frozen.
    std::set<std::size_t> disturbed;
    std::map<std::string, std::size_t> gateway_by_call;
    std::vector<answer_ptr> answers;
    std::uint64_t records = 0;
    std::size_t calls = 0;
    std::size_t checked_pauses = 0;
};

} // namespace

// Services got calls in pauses that they had asked for, once their records had
// lapsed or had been set back (BUDGET).
TEST_F(pause_faults, pauses_hold_while_records_lapse_and_gateways_fail)
{
    constexpr unsigned usual_seconds = 12;
    constexpr milliseconds call_interval{8};
    this->start();
    this->play(play_time(usual_seconds), call_interval);
    for (std::size_t number = 0; number < service_count; ++number)
        this->check(this->services[number], number);
    EXPECT_GT(this->checked_pauses, 0U);
    auto const served =
        std::count_if(this->answers.begin(), this->answers.end(),
                      [](answer_ptr const& answer)
                      {
                          return answer->status == HTTP_OK;
                      });
    EXPECT_GT(served, 0);
    RecordProperty("pauses", static_cast<int>(this->checked_pauses));
    RecordProperty("served", static_cast<int>(served));
}

} // namespace jujubestand::programs::test
