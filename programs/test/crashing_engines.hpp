#ifndef JUJUBESTAND_PROGRAMS_TEST_CRASHING_ENGINES_HPP
#define JUJUBESTAND_PROGRAMS_TEST_CRASHING_ENGINES_HPP

#include <algorithm>
#include <programs/test/gateways_fixture.hpp>
#include <random>

namespace jujubestand::programs::test
{

inline constexpr std::string_view crashing_part = "bad0bad0";
inline constexpr std::string_view second_crashing_part = "bad1bad1";

/// \brief What calls and engines do while a part crashes engines.
struct crash_play
{
    /// What an engine does as it answers a call with the part.
    standins::crash_script script{std::string(crashing_part)};
    /// A second part crashes engines as well.
    bool has_second_part = false;
    /// Answers, whole ones too, have neither a length nor chunks.
    bool is_unframed = false;
    std::string target = "/chat/new";
    /// Event that each call with the part, sent by a caller that resumes its
    /// stream, already has; empty: none.
    std::string last_event{};
    /// Half of the engines have no agent that reports their end.
    bool lack_agents = false;
    /// From event to event of sound streams.
    milliseconds event_interval{0};
    milliseconds crashing_interval{100};
    /// Engines crash by themselves at this interval; zero: never.
    milliseconds spontaneous_interval{0};
    /// Kills a gateway at this many crashes, and starts it again; zero: never.
    std::size_t killed_at_crash = 0;
    /// An engine that gets a call with the part stands still, as its agent
    /// does, from then to its crash.
    bool is_still_before_crash = false;
    /// All calls with the part are the same one.
    bool is_same_call = false;
    /// How long callers wait for calls with the part; zero: to their end.
    milliseconds patience{0};
};

/// \brief Calls with one part in their prompts crash each engine that begins to
/// answer them, over whole gateway processes. Engines come back under other
/// ids.
class crashing_engines : public gateways_test
{
protected:
    // The bounds of the rule: so long after the fifth crash, so many more
    // calls.
    static constexpr std::size_t crashes_allowed = 5;
    static constexpr milliseconds contact{3'000};
    static constexpr std::size_t late_calls_limit = 3;
    static constexpr double served_min = 0.9;

    /// A crash, or a call that an engine was sent, with a crashing part.
    struct part_event
    {
        std::string part;
        mono_time at{};
    };

    struct sound_call
    {
        mono_time sent_at{};
        answer_ptr answer;
    };

    void start(std::size_t gateway_count, std::size_t engine_count)
    {
        this->start_gateways(gateway_count);
        for (std::size_t number = 0; number < engine_count; ++number)
            this->add_fragile_engine();
        this->wait_ready();
        for (std::size_t number = 0; number < engine_count; ++number)
            this->drop_agent(number);
    }

    /// \brief Sends calls of both kinds for some time.
    void play(milliseconds duration)
    {
        auto const end = mono_now() + duration;
        auto next_crashing = mono_now();
        auto next_spontaneous = mono_now() + this->rules.spontaneous_interval;
        while (mono_now() < end)
        {
            if (mono_now() >= next_crashing)
            {
                this->send_crashing();
                next_crashing += this->rules.crashing_interval;
            }
            if (this->rules.spontaneous_interval.count() > 0 &&
                mono_now() >= next_spontaneous)
            {
                this->crash_any();
                next_spontaneous += this->rules.spontaneous_interval;
            }
            this->restart_killed();
            this->send_sound();
            this->run_until(
                []
                {
                    return false;
                },
                sound_interval);
        }
    }

    /// \brief Checks the rule's bounds for each part, and that sound calls are
    /// served and none of them is refused as crashing.
    void expect_bounds()
    {
        ASSERT_GE(this->crashes.size(), 3U);
        RecordProperty("crashes", static_cast<int>(this->crashes.size()));
        std::cout << "crashes " << this->crashes.size() << '\n';
        mono_time from{};
        for (auto const& script : this->scripts())
        {
            auto const counted = this->last_counted(script.part) + contact;
            EXPECT_LE(this->sends_after(script.part, counted), late_calls_limit)
                << script.part;
            from = std::max(from, counted);
        }
        EXPECT_GE(this->served_after(from), served_min);
        EXPECT_EQ(this->sound_refused_as_crashing(), 0U);
    }

    /// \brief Time of the last crash by a part of those that count.
    [[nodiscard]] mono_time last_counted(std::string_view part) const
    {
        std::size_t count = 0;
        mono_time result{};
        for (auto const& crash : this->crashes)
        {
            if (crash.part != part || count == crashes_allowed)
                continue;
            ++count;
            result = crash.at;
        }
        return result;
    }

    [[nodiscard]] std::size_t sends_after(std::string_view part,
                                          mono_time time) const
    {
        return static_cast<std::size_t>(std::count_if(
            this->crashing_sends.begin(), this->crashing_sends.end(),
            [part, time](part_event const& sent)
            {
                return sent.part == part && sent.at > time;
            }));
    }

    /// \brief Share of the sound calls sent from a time on that were served.
    [[nodiscard]] double served_after(mono_time time) const
    {
        double sent = 0;
        double served = 0;
        for (auto const& call : this->sound)
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

    [[nodiscard]] std::size_t sound_refused_as_crashing() const
    {
        return static_cast<std::size_t>(
            std::count_if(this->sound.begin(), this->sound.end(),
                          [](sound_call const& call)
                          {
                              return call.answer->status == HTTP_SERVUNAVAIL &&
                                     call.answer->body.find("quarantined") !=
                                         std::string::npos;
                          }));
    }

    crash_play rules;
    std::vector<part_event> crashes;
    std::vector<part_event> crashing_sends;
    std::vector<sound_call> sound;

private:
    static constexpr unsigned seed = 20261204;
    static constexpr milliseconds down_time{700};
    static constexpr milliseconds sound_interval{15};
    static constexpr std::size_t sound_parts = 7;

    std::vector<standins::crash_script> scripts() const
    {
        auto result = std::vector{this->rules.script};
        if (this->rules.has_second_part)
        {
            result.push_back(this->rules.script);
            result.back().part = second_crashing_part;
        }
        return result;
    }

    void add_fragile_engine()
    {
        auto const number = this->add_engine("v1", near);
        auto& engine = *this->engines[number].engine;
        engine.pace(this->rules.event_interval);
        if (this->rules.is_unframed)
            engine.end_by_close();
        engine.crash_on(this->scripts(),
                        [this, number](std::string const& part)
                        {
                            this->crash(number, part);
                        });
        engine.on_stream(
            [this, number](standins::stream_request const& sent)
            {
                for (auto const part : {crashing_part, second_crashing_part})
                {
                    if (sent.parts.find(part) != std::string::npos)
                        this->on_crashing_send(number, std::string(part));
                }
            });
        if (this->is_started)
            this->drop_agent(number);
    }

    void on_crashing_send(std::size_t number, std::string const& part)
    {
        this->crashing_sends.push_back({part, mono_now()});
        if (!this->rules.is_still_before_crash)
            return;
        this->engines[number].agent.reset();
        this->engines[number].engine->pause_after(0, 0);
    }

    // Until the start each agent names the gateways.
    void drop_agent(std::size_t number)
    {
        this->is_started = true;
        if (this->rules.lack_agents && number % 2 == 1)
            this->engines[number].agent.reset();
    }

    void crash(std::size_t number, std::string const& part)
    {
        if (!this->engines[number].engine)
            return;
        this->crash_engine(number);
        this->crashes.push_back({part, mono_now()});
        this->come_back();
    }

    void come_back()
    {
        this->later.run(down_time,
                        [this]
                        {
                            this->add_fragile_engine();
                        });
    }

    // Not counted: the rule counts crashes by calls with the part.
    void crash_any()
    {
        std::vector<std::size_t> running;
        for (std::size_t number = 0; number < this->engines.size(); ++number)
        {
            if (this->engines[number].engine)
                running.push_back(number);
        }
        if (running.empty())
            return;
        this->crash_engine(running[this->random() % running.size()]);
        this->come_back();
    }

    void restart_killed()
    {
        if (this->rules.killed_at_crash == 0 || this->was_killed ||
            this->crashes.size() < this->rules.killed_at_crash)
            return;
        this->was_killed = true;
        this->restart_gateway(0);
    }

    std::string unique_part()
    {
        return std::to_string(100'000 + ++this->calls) + ":10";
    }

    std::size_t any_gateway()
    {
        return this->random() % this->gateways.size();
    }

    // The first part is one that all calls share.
    void send_crashing()
    {
        stream_call call{"bad-" + std::to_string(this->calls), "", ""};
        call.target = this->rules.target;
        bool const is_second =
            this->rules.has_second_part && this->random() % 2 == 0;
        auto const part = is_second ? second_crashing_part : crashing_part;
        call.parts = "aaaa:30," + std::string(part) + ":40," +
                     (this->rules.is_same_call ? "10:10" : this->unique_part());
        if (this->rules.is_same_call)
            call.request_id = "bad-" + std::to_string(++this->calls);
        if (!this->rules.last_event.empty())
        {
            call.last_event = this->rules.last_event;
            call.resumes = this->last_whole;
        }
        auto const answer = this->ask(this->any_gateway(), call);
        this->leave_after(answer, this->rules.patience);
    }

    // Sound streams pass through the same routes; their ids can be resumed.
    void send_sound()
    {
        stream_call call{"good-" + std::to_string(this->calls), "", ""};
        call.target = this->rules.target;
        call.parts = "aaaa:30,c" +
                     std::to_string(this->random() % sound_parts) + ":40," +
                     this->unique_part();
        auto const sent = this->ask(this->any_gateway(), call);
        this->sound.push_back({mono_now(), sent});
        this->last_whole = call.request_id;
    }

    std::mt19937 random{seed};
    std::size_t calls = 0;
    std::string last_whole;
    bool is_started = false;
    bool was_killed = false;
};

} // namespace jujubestand::programs::test

#endif
