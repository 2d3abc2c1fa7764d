#include <array>
#include <map>
#include <programs/test/faulty_gateways.hpp>
#include <standins/relay/tcp_relay.hpp>
#include <standins/service/recording_service.hpp>

// Gateway processes before plain services on links that are slow, silent in one
// direction or in both, and cut, while gateways fail, services start again at
// the same address, callers leave, the store is away and configurations change;
// all at random, in series that overlap.
namespace jujubestand::programs::test
{

namespace
{

class network_faults : public faulty_gateways_test
{
protected:
    struct sent_call
    {
        answer_ptr answer;
        bool is_repeatable = false;
        std::size_t runs = 0;
    };

    struct linked_service
    {
        std::unique_ptr<standins::recording_service> service;
        std::unique_ptr<standins::tcp_relay> relay;
    };

    void start()
    {
        this->start_gateways(gateway_count);
        this->add_engine("v1", near);
        this->services.resize(service_count);
        for (std::size_t number = 0; number < service_count; ++number)
        {
            auto const where = address{host(first_service + number), 0};
            this->start_service(number, where);
            auto& added = this->services[number];
            added.relay = std::make_unique<standins::tcp_relay>(
                this->base.get(), where, added.service->bound(), where,
                standins::relay_switches{});
            this->add_service("book-" + std::to_string(number),
                              added.relay->bound());
        }
        this->wait_ready();
    }

    void start_service(std::size_t number, address const& where)
    {
        standins::service_events events;
        events.arrived = [](std::string const&) {};
        events.run = [this](std::string const& id)
        {
            ++this->calls[id].runs;
        };
        this->services[number].service =
            std::make_unique<standins::recording_service>(
                this->base.get(), where, this->random(), service_faults,
                events);
    }

    /// \brief Ends a service, which cuts its calls, and starts it again at its
    /// address.
    void restart_service(std::size_t number)
    {
        auto& service = this->services[number].service;
        if (!service)
            return;
        auto const where = service->bound();
        service.reset();
        this->start_service_later(number, where);
    }

    // A gateway that is being started has the old listener open until it runs
    // its own program, so the address may be taken for a moment.
    void start_service_later(std::size_t number, address const& where)
    {
        constexpr milliseconds down_time{100};
        this->later.run(down_time,
                        [this, number, where]
                        {
                            try
                            {
                                this->start_service(number, where);
                            }
                            catch (std::runtime_error const&)
                            {
                                this->start_service_later(number, where);
                            }
                        });
    }

    /// \brief Lets something go wrong on the way to a service for a while.
    void disturb_link(std::size_t number)
    {
        constexpr unsigned time_limit_ms = 1'500;
        constexpr unsigned distance_limit_us = 200'000;
        auto const distance_us = [this]
        {
            return static_cast<std::int64_t>(this->random() %
                                             distance_limit_us);
        };
        standins::relay_switches faults;
        switch (this->random() % 4)
        {
        case 0:
            faults.stall = true;
            break;
        case 1:
            faults.stall_back = true;
            break;
        case 2:
            faults.cut = true;
            break;
        default:
            faults.there_us = distance_us();
            faults.back_us = distance_us();
            break;
        }
        this->services[number].relay->set(faults);
        this->later.run(milliseconds{this->random() % time_limit_ms},
                        [this, number]
                        {
                            this->services[number].relay->set({});
                        });
    }

    /// \brief Takes the store away for a while.
    void take_store_away()
    {
        constexpr unsigned time_limit_ms = 1'500;
        this->store.set_away(true);
        this->later.run(milliseconds{this->random() % time_limit_ms},
                        [this]
                        {
                            this->store.set_away(false);
                        });
    }

    /// \brief Writes a configuration with other timeouts.
    void change_configuration()
    {
        constexpr milliseconds short_timeout{2'000};
        constexpr unsigned spread_ms = 2'000;
        this->store.put(
            "keyed.op", "config",
            configuration(++this->version,
                          short_timeout +
                              milliseconds{this->random() % spread_ms}));
    }

    /// \brief Disturbs the store, the configuration, a link or a service now
    /// and then.
    void disturb_services()
    {
        constexpr unsigned interval_min_ms = 50;
        constexpr unsigned interval_spread_ms = 400;
        auto const number = this->random() % service_count;
        auto const fault = this->random() % 10;
        if (fault < 2)
            this->restart_service(number);
        else if (fault == 2)
            this->take_store_away();
        else if (fault == 3)
            this->change_configuration();
        else
            this->disturb_link(number);
        this->later.run(
            milliseconds{interval_min_ms + this->random() % interval_spread_ms},
            [this]
            {
                this->disturb_services();
            });
    }

    void send()
    {
        constexpr unsigned leaving_each = 20;
        constexpr unsigned stay_limit_ms = 300;
        auto const id = "call-" + std::to_string(this->calls.size());
        auto& call = this->calls[id];
        call.is_repeatable = this->random() % 2 == 0;
        stream_call asked{id, "", ""};
        asked.target = call.is_repeatable ? "/status/new" : "/book/new";
        call.answer = this->ask(this->random() % gateway_count, asked);
        if (this->random() % leaving_each == 0)
            this->later.run(milliseconds{this->random() % stay_limit_ms},
                            [this, answer = call.answer]
                            {
                                this->caller.cancel(answer->call);
                            });
    }

    static constexpr std::size_t gateway_count = 3;
    static constexpr std::size_t service_count = 3;
    static constexpr std::size_t first_service = 200;
    static constexpr standins::service_faults service_faults{0.1, 0.05, 0.05,
                                                             0.05, 0.1};

    std::map<std::string, sent_call> calls;
    std::vector<linked_service> services;
    std::uint64_t version = 1;
};

} // namespace

// On machines of the users' own, calls that may run once ran twice, or ran
// though refused as not run (TWICE, REFUSED).
TEST_F(network_faults, calls_keep_their_promises_on_bad_links)
{
    constexpr unsigned usual_seconds = 10;
    constexpr milliseconds call_interval{10};
    constexpr milliseconds settle_time{5'000};
    this->start();
    this->disturb_services();
    this->play_faults(play_time(usual_seconds), call_interval,
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
    std::size_t served = 0;
    for (auto const& [id, call] : this->calls)
    {
        int const status = call.answer->status;
        served += status == HTTP_OK ? 1 : 0;
        if (call.is_repeatable)
            continue;
        EXPECT_LE(call.runs, 1U) << id << ", seed " << this->seed;
        bool const is_promise = status == HTTP_SERVUNAVAIL || status == 429 ||
                                status == 408 || status == 421;
        EXPECT_FALSE(is_promise && call.runs > 0)
            << id << " status " << status << ", seed " << this->seed;
    }
    EXPECT_GT(served, this->calls.size() / 5);
    RecordProperty("calls", static_cast<int>(this->calls.size()));
    RecordProperty("served", static_cast<int>(served));
}

} // namespace jujubestand::programs::test
