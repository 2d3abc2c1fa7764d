#ifndef JUJUBESTAND_PROGRAMS_TEST_PLAYED_CALLS_HPP
#define JUJUBESTAND_PROGRAMS_TEST_PLAYED_CALLS_HPP

#include <algorithm>
#include <map>
#include <programs/test/gateways_fixture.hpp>
#include <random>
#include <standins/service/recording_service.hpp>

namespace jujubestand::programs::test
{

/// \brief Gateways before engines and services, with calls at random gateways;
/// counts what upstreams receive and callers see.
class played_calls : public gateways_test
{
protected:
    struct sent_call
    {
        mono_time sent_at{};
        answer_ptr answer;
        std::optional<mono_time> ended_at;
        /// Came back after a rejection, at the time that it was told.
        bool is_return = false;
    };

    /// \brief Starts gateways before engines and services.
    void start(std::size_t gateway_count, std::size_t engine_count,
               std::size_t service_count = 0)
    {
        this->start_gateways(gateway_count);
        this->list_unreachable_gateways(this->unreachable_gateways);
        for (std::size_t number = 0; number < engine_count; ++number)
        {
            this->add_engine("v1", near);
            this->watch_engine(number);
        }
        for (std::size_t number = 0; number < service_count; ++number)
            this->add_book_service(number);
        this->wait_ready();
        this->started_at = mono_now();
    }

    void watch_engine(std::size_t number)
    {
        auto& watched = this->engines[number];
        watched.engine->on_stream(
            [this, id = watched.id](standins::stream_request const&)
            {
                this->arrivals[id].push_back(mono_now());
            });
    }

    void add_book_service(std::size_t number)
    {
        auto const id = "book-" + std::to_string(number);
        standins::service_events events;
        events.arrived = [this, id](std::string const& request)
        {
            this->arrivals[id].push_back(mono_now());
            ++this->arrivals_by_call[request];
        };
        events.run = [](std::string const&) {};
        this->services.push_back(std::make_unique<standins::recording_service>(
            this->base.get(), address{host(first_service + number), 0},
            seed + number, standins::service_faults{}, events));
        this->add_service(id, this->services.back()->bound());
    }

    sent_call& send(std::size_t gateway, std::string const& target)
    {
        auto const id = "call-" + std::to_string(this->calls.size());
        stream_call asked{id, "", ""};
        asked.target = target;
        bool const is_prompt = target.starts_with("/chat/");
        if (is_prompt)
            asked.parts = "aaaa:30,c" + std::to_string(this->random() % 7) +
                          ":40," + std::to_string(1'000 + this->calls.size()) +
                          ":10";
        auto& call = this->calls[id];
        call.sent_at = mono_now();
        call.answer = this->ask(gateway, asked);
        return call;
    }

    std::size_t any_gateway()
    {
        return this->random() % this->gateways.size();
    }

    /// \brief Sends calls at random gateways for some time.
    void play(milliseconds duration, std::string const& target,
              milliseconds interval)
    {
        this->play(duration, target, interval,
                   [this]
                   {
                       return this->any_gateway();
                   });
    }

    void play(milliseconds duration, std::string const& target,
              milliseconds interval,
              std::function<std::size_t()> const& gateway)
    {
        auto const end = mono_now() + duration;
        auto next = mono_now();
        while (mono_now() < end)
        {
            this->send(gateway(), target);
            next += interval;
            this->run_until(
                [&]
                {
                    this->note_ends();
                    return mono_now() >= next;
                },
                duration);
        }
    }

    void note_ends()
    {
        for (auto& [id, call] : this->calls)
        {
            if (call.ended_at || !call.answer->end)
                continue;
            call.ended_at = mono_now();
            bool const returns = this->returning_each > 0 &&
                                 call.answer->status == HTTP_SERVUNAVAIL &&
                                 ++this->rejections % this->returning_each == 0;
            if (returns)
                this->come_back(call.answer->field("Retry-After"));
        }
    }

    /// \brief Sends a call of the same kind after a time in seconds.
    void come_back(std::string const& retry_after)
    {
        constexpr double ms_per_s = 1'000;
        this->later.run(
            milliseconds{static_cast<int>(std::stod(retry_after) * ms_per_s)},
            [this]
            {
                this->send(this->any_gateway(), "/book/new").is_return = true;
            });
    }

    /// \brief Share of the calls that were served, of those that came back or
    /// of the others.
    [[nodiscard]] double share_served(bool is_return) const
    {
        double sent = 0;
        double served = 0;
        for (auto const& [id, call] : this->calls)
        {
            if (call.is_return != is_return || !call.answer->end)
                continue;
            ++sent;
            served += call.answer->status == HTTP_OK ? 1 : 0;
        }
        return sent == 0 ? 0 : served / sent;
    }

    [[nodiscard]] std::size_t calls_between(std::string const& upstream,
                                            mono_time from, mono_time until)
    {
        auto const& times = this->arrivals[upstream];
        return static_cast<std::size_t>(
            std::count_if(times.begin(), times.end(),
                          [&](mono_time time)
                          {
                              return time >= from && time < until;
                          }));
    }

    /// \brief Share of the calls sent from a time on that were served whole.
    [[nodiscard]] double served_after(mono_time time) const
    {
        double sent = 0;
        double served = 0;
        for (auto const& [id, call] : this->calls)
        {
            if (call.sent_at < time || !call.answer->end)
                continue;
            ++sent;
            served +=
                call.answer->status == HTTP_OK && call.answer->end->is_complete
                    ? 1
                    : 0;
        }
        return sent == 0 ? 0 : served / sent;
    }

    /// \brief Waits until no call is open.
    void settle()
    {
        this->run_until(
            [this]
            {
                this->note_ends();
                return std::all_of(this->calls.begin(), this->calls.end(),
                                   [](auto const& row)
                                   {
                                       return row.second.ended_at.has_value();
                                   });
            });
    }

    /// \brief Checks that calls which were rejected didn't reach a service, say
    /// when to come back, and were rejected soon.
    void check_rejections(mono_time from)
    {
        constexpr milliseconds at_once{500};
        std::size_t rejected = 0;
        std::size_t late = 0;
        for (auto const& [id, call] : this->calls)
        {
            if (call.sent_at < from || call.answer->status == HTTP_OK)
                continue;
            ++rejected;
            EXPECT_EQ(call.answer->status, HTTP_SERVUNAVAIL) << id;
            EXPECT_EQ(this->arrivals_by_call.count(id), 0U) << id;
            EXPECT_NE(call.answer->field("Retry-After"), "") << id;
            if (call.ended_at && *call.ended_at - call.sent_at > at_once)
                ++late;
        }
        EXPECT_GT(rejected, 0U);
        EXPECT_LE(late, rejected / 20);
        RecordProperty("rejected", static_cast<int>(rejected));
        RecordProperty("rejected_late", static_cast<int>(late));
    }

    static constexpr unsigned seed = 20261204;
    static constexpr std::size_t first_service = 200;
    static constexpr milliseconds usual_interval{15};

    std::size_t unreachable_gateways = 0;
    /// One in so many rejected calls comes back; 0: none.
    std::size_t returning_each = 0;
    std::size_t rejections = 0;
    mono_time started_at{};
    std::mt19937 random{seed};
    std::map<std::string, sent_call> calls;
    std::map<std::string, std::vector<mono_time>> arrivals;
    std::map<std::string, std::size_t> arrivals_by_call;
    std::vector<std::unique_ptr<standins::recording_service>> services;
};

} // namespace jujubestand::programs::test

#endif
