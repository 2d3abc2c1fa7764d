#include <algorithm>
#include <map>
#include <programs/test/gateways_fixture.hpp>
#include <random>
#include <standins/service/crashing_service.hpp>

// A call to plain services ends each one that runs it, and is sent again and
// again by its callers, at any gateway. Services come back under other ids.
namespace jujubestand::programs::test
{

namespace
{

constexpr char const* crashing_path = "/status/bad";

/// One that gateways never send twice, so that each call ends one service.
constexpr char const* crashing_once_path = "/book/bad";

/// What callers and services do.
struct call_play
{
    standins::service_crash crash{crashing_path};
    /// From the end of a service to its return.
    milliseconds down_time{1'200};
    /// From the end of a service to that of its record.
    milliseconds lapse_time{0};
    /// Callers that send the call at the same time.
    std::size_t callers = 1;
    milliseconds interval{150};
    milliseconds sound_interval{15};
    /// How long a caller waits for its answer; zero: for as long as it takes.
    milliseconds patience{0};
    /// Kills a gateway at this many ends, and starts it again; zero: never.
    std::size_t killed_at_end = 0;
    /// Services come back under the ids that they had.
    bool keeps_ids = false;
    /// Kills all gateways so long after this many ends, and starts them again;
    /// zero ends: never.
    std::size_t all_killed_at_end = 0;
    milliseconds all_killed_after{1'000};
    /// The store returns from a copy without any crash so long after these
    /// ends; zero: never.
    milliseconds store_returns_after{0};
    /// All sound calls are the same one.
    bool has_same_sound_call = false;
};

class crashing_calls : public gateways_test
{
protected:
    // The bounds of the rule: so long after the third end, no more calls.
    static constexpr std::size_t ends_allowed = 3;
    static constexpr milliseconds contact{3'000};
    static constexpr double served_min = 0.9;

    struct sound_call
    {
        mono_time sent_at{};
        answer_ptr answer;
    };

    void start(std::size_t gateway_count, std::size_t service_count)
    {
        this->start_gateways(gateway_count);
        this->add_engine("v1", near);
        for (std::size_t number = 0; number < service_count; ++number)
            this->add_fragile_service(number);
        this->wait_ready();
    }

    /// \brief Sends calls of both kinds for some time.
    void play(milliseconds duration)
    {
        auto const end = mono_now() + duration;
        auto next_crashing = mono_now();
        while (mono_now() < end)
        {
            if (mono_now() >= next_crashing)
            {
                for (std::size_t left = this->rules.callers; left > 0; --left)
                    this->send_crashing();
                next_crashing += this->rules.interval;
            }
            this->return_store();
            this->restart_killed();
            this->send_sound();
            this->run_until(
                []
                {
                    return false;
                },
                this->rules.sound_interval);
        }
    }

    /// \brief Checks that the call was sent no more after the third end, that
    /// sound calls were served then, and none of them refused as crashing.
    void expect_bounds()
    {
        ASSERT_GE(this->ends.size(), ends_allowed);
        std::cout << "ends " << this->ends.size() << " arrivals "
                  << this->arrivals.size() << '\n';
        auto const counted = this->ends[ends_allowed - 1] + contact;
        EXPECT_EQ(std::count_if(this->arrivals.begin(), this->arrivals.end(),
                                [counted](mono_time at)
                                {
                                    return at > counted;
                                }),
                  0);
        EXPECT_GE(this->served_after(counted), served_min);
        EXPECT_EQ(this->sound_refused_as_crashing(), 0);
    }

    call_play rules;
    std::vector<mono_time> ends;
    std::vector<mono_time> arrivals;

private:
    struct live_service
    {
        std::string id;
        std::uint64_t starts = 0;
    };

    static constexpr unsigned seed = 20261205;
    static constexpr std::size_t first_service = 200;

    void add_fragile_service(std::size_t number)
    {
        if (this->services.size() <= number)
            this->services.resize(number + 1);
        ++this->services_started;
        auto const id = "book-" + std::to_string(this->rules.keeps_ids
                                                     ? number
                                                     : this->services_started);
        standins::crash_events events;
        events.arrived = [this](std::string const& path)
        {
            if (path == this->rules.crash.path)
                this->arrivals.push_back(mono_now());
        };
        events.ended = [this, number, id]
        {
            this->ends.push_back(mono_now());
            this->later.run(milliseconds{0},
                            [this, number, id]
                            {
                                this->end_service(number, id);
                            });
        };
        this->services[number] = std::make_unique<standins::crashing_service>(
            this->base.get(), address{host(first_service + number), 0},
            this->rules.crash, events);
        this->add_service(id, this->services[number]->bound(),
                          this->services_started);
        this->live[number] = {id, this->services_started};
    }

    void end_service(std::size_t number, std::string const& id)
    {
        this->live.erase(number);
        if (this->rules.crash.end != standins::service_end::silence)
            this->services[number].reset();
        if (!this->rules.keeps_ids)
            this->later.run(this->rules.lapse_time,
                            [this, id]
                            {
                                this->store.put("keyed.servers", id, "");
                            });
        this->later.run(this->rules.down_time,
                        [this, number]
                        {
                            this->services[number].reset();
                            this->add_fragile_service(number);
                        });
    }

    [[nodiscard]] bool has_ended(std::size_t count, milliseconds ago) const
    {
        return count > 0 && this->ends.size() >= count &&
               mono_now() - this->ends[count - 1] >= ago;
    }

    void return_store()
    {
        bool const is_due = this->rules.store_returns_after.count() > 0 &&
                            this->has_ended(this->rules.all_killed_at_end,
                                            this->rules.store_returns_after);
        if (!is_due || std::exchange(this->has_returned, true))
            return;
        ASSERT_FALSE(this->store.keys("keyed.quarantine").empty());
        this->store.return_from_copy();
        // The copy has the first services; those that live write again.
        for (std::size_t first = 1; first <= this->services.size(); ++first)
            this->store.put("keyed.servers", "book-" + std::to_string(first),
                            "");
        for (auto const& [number, running] : this->live)
            this->add_service(running.id, this->services[number]->bound(),
                              running.starts);
    }

    void restart_killed()
    {
        if (this->was_killed)
            return;
        bool const is_one_due =
            this->has_ended(this->rules.killed_at_end, milliseconds{0});
        bool const are_all_due = this->has_ended(this->rules.all_killed_at_end,
                                                 this->rules.all_killed_after);
        this->was_killed = is_one_due || are_all_due;
        if (is_one_due)
            this->restart_gateway(0);
        if (are_all_due)
            this->restart_gateways();
    }

    std::size_t any_gateway()
    {
        return this->random() % this->gateways.size();
    }

    void send_crashing()
    {
        stream_call call{"bad-" + std::to_string(++this->calls), "", ""};
        call.target = this->rules.crash.path;
        auto const answer = this->ask(this->any_gateway(), call);
        this->leave_after(answer, this->rules.patience);
    }

    void send_sound()
    {
        stream_call call{"good-" + std::to_string(++this->calls), "", ""};
        call.target =
            "/status/good-" +
            std::to_string(this->rules.has_same_sound_call ? 0 : this->calls);
        this->sound.push_back(
            {mono_now(), this->ask(this->any_gateway(), call)});
    }

    [[nodiscard]] double served_after(mono_time time) const
    {
        double sent = 0;
        double served = 0;
        for (auto const& call : this->sound)
        {
            if (call.sent_at < time || !call.answer->end)
                continue;
            ++sent;
            served += call.answer->status == HTTP_OK ? 1 : 0;
        }
        return sent == 0 ? 0 : served / sent;
    }

    [[nodiscard]] std::ptrdiff_t sound_refused_as_crashing() const
    {
        return std::count_if(this->sound.begin(), this->sound.end(),
                             [](sound_call const& call)
                             {
                                 return call.answer->body.find("quarantined") !=
                                        std::string::npos;
                             });
    }

    std::mt19937 random{seed};
    std::size_t calls = 0;
    std::size_t services_started = 0;
    bool was_killed = false;
    bool has_returned = false;
    std::map<std::size_t, live_service> live;
    std::vector<sound_call> sound;
    std::vector<std::unique_ptr<standins::crashing_service>> services;
};

/// One way for services to end.
struct end_kind
{
    char const* name;
    standins::service_end end;
};

// For the names of failed tests.
std::ostream& operator<<(std::ostream& out, end_kind const& kind)
{
    return out << kind.name;
}

class call_ends : public crashing_calls,
                  public testing::WithParamInterface<end_kind>
{
};

constexpr std::array<end_kind, 4> end_kinds{{
    {"close", standins::service_end::close},
    {"half_answer", standins::service_end::half_answer},
    {"half_unframed_answer", standins::service_end::half_unframed},
    {"silence", standins::service_end::silence},
}};

std::string name_of(testing::TestParamInfo<end_kind> const& info)
{
    return info.param.name;
}

} // namespace

// Three services that one call ended at the same time counted as one, as if a
// rack had failed, so that those that came back were ended as well (BUDGET).
TEST_F(crashing_calls, three_services_ended_at_once_are_enough)
{
    this->rules.callers = 3;
    this->rules.lapse_time = milliseconds{2'500};
    this->rules.down_time = milliseconds{3'300};
    this->start(2, 3);
    this->play(milliseconds{9'000});
    this->expect_bounds();
}

// However callers saw services end, the call went on to the next ones (BUDGET).
TEST_P(call_ends, the_call_is_refused_and_no_other)
{
    this->rules.crash.end = this->GetParam().end;
    if (this->rules.crash.end == standins::service_end::silence)
    {
        this->rules.patience = milliseconds{1'000};
        this->rules.lapse_time = milliseconds{2'500};
        this->rules.down_time = milliseconds{3'000};
    }
    this->start(2, 6);
    this->play(milliseconds{9'000});
    this->expect_bounds();
}

INSTANTIATE_TEST_SUITE_P(services_end, call_ends, testing::ValuesIn(end_kinds),
                         name_of);

// Services that were back before their records lapsed had never ended, for
// gateways that were refused no connection meanwhile (BUDGET).
TEST_F(crashing_calls, services_that_are_back_at_once_have_ended)
{
    this->rules.keeps_ids = true;
    this->rules.down_time = milliseconds{20};
    this->rules.interval = milliseconds{1'500};
    this->rules.sound_interval = this->rules.interval;
    this->start(2, 6);
    this->play(milliseconds{7'000});
    this->expect_bounds();
}

// A gateway that was killed took what it knew along (BUDGET).
TEST_F(crashing_calls, the_call_is_refused_though_a_gateway_is_killed)
{
    this->rules.killed_at_end = 2;
    this->start(2, 6);
    this->play(milliseconds{7'000});
    this->expect_bounds();
}

// Gateways that were all restarted between two ends counted from the first one
// again (BUDGET).
TEST_F(crashing_calls, ends_count_though_all_gateways_restart_between_them)
{
    this->rules.all_killed_at_end = 2;
    this->rules.interval = milliseconds{2'000};
    this->rules.crash.path = crashing_once_path;
    this->start(2, 6);
    this->play(milliseconds{12'000});
    this->expect_bounds();
    EXPECT_EQ(this->ends.size(), ends_allowed);
}

// The store had lost the ends when it returned from an older copy, so that
// gateways that started after that counted anew (BUDGET).
TEST_F(crashing_calls, ends_are_stored_again_after_the_store_returns)
{
    this->rules.all_killed_at_end = 2;
    this->rules.all_killed_after = milliseconds{3'000};
    this->rules.store_returns_after = milliseconds{1'000};
    this->rules.interval = milliseconds{4'500};
    this->rules.crash.path = crashing_once_path;
    this->start(2, 6);
    this->store.keep_copy();
    this->play(milliseconds{19'000});
    this->expect_bounds();
    EXPECT_EQ(this->ends.size(), ends_allowed);
}

// A sound call that was in flight at two ends is no suspect any more once it is
// answered, for gateways that start later either (LOST).
TEST_F(crashing_calls, an_answered_call_is_cleared_though_all_gateways_restart)
{
    this->rules.all_killed_at_end = 2;
    this->rules.interval = milliseconds{2'000};
    this->rules.has_same_sound_call = true;
    this->rules.crash.path = crashing_once_path;
    this->start(2, 6);
    this->play(milliseconds{12'000});
    this->expect_bounds();
}

// Gateways that were all restarted together had forgotten the call (BUDGET).
TEST_F(crashing_calls, the_call_is_known_after_all_gateways_restart)
{
    this->start(2, 6);
    this->play(milliseconds{5'000});
    ASSERT_GE(this->ends.size(), ends_allowed);
    this->restart_gateways();
    this->wait_ready();
    this->play(milliseconds{3'000});
    this->expect_bounds();
}

} // namespace jujubestand::programs::test
