#include <algorithm>
#include <programs/test/gateways_fixture.hpp>
#include <random>

// Calls with one part in their prompts crash each engine that begins to answer
// them, over whole gateway processes. Engines come back under other ids.
namespace jujubestand::programs::test
{

namespace
{

constexpr std::string_view crashing_part = "bad0bad0";

// The bounds of the rule: so long after the fifth crash, so many more calls.
constexpr std::size_t crashes_allowed = 5;
constexpr milliseconds contact{3'000};
constexpr std::size_t late_calls_limit = 3;

class crashing_parts : public gateways_test
{
protected:
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
    }

    void add_fragile_engine()
    {
        auto const number = this->add_engine("v1", near);
        auto& engine = *this->engines[number].engine;
        engine.crash_on(std::string(crashing_part),
                        [this, number]
                        {
                            this->crash(number);
                        });
        engine.on_stream(
            [this](standins::stream_request const& sent)
            {
                if (sent.parts.find(crashing_part) != std::string::npos)
                    this->crashing_sends.push_back(mono_now());
            });
    }

    void crash(std::size_t number)
    {
        this->crash_engine(number);
        this->crashes.push_back(mono_now());
        this->later.run(down_time,
                        [this]
                        {
                            this->add_fragile_engine();
                        });
    }

    std::string unique_part()
    {
        return std::to_string(100'000 + ++this->calls) + ":10";
    }

    std::size_t any_gateway()
    {
        return this->random() % this->gateways.size();
    }

    /// \brief Sends a call with the part, after a first part that all share.
    void send_crashing()
    {
        stream_call call{"bad-" + std::to_string(this->calls), "", ""};
        call.parts = "aaaa:30," + std::string(crashing_part) + ":40," +
                     this->unique_part();
        this->ask(this->any_gateway(), call);
    }

    /// \brief Sends a call with the same first part and one of some others.
    void send_sound()
    {
        stream_call call{"good-" + std::to_string(this->calls), "", ""};
        call.parts = "aaaa:30,c" + std::to_string(this->random() % 7) + ":40," +
                     this->unique_part();
        this->sound.push_back(
            {mono_now(), this->ask(this->any_gateway(), call)});
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
                this->send_crashing();
                next_crashing += crashing_interval;
            }
            this->send_sound();
            this->run_until(
                []
                {
                    return false;
                },
                sound_interval);
        }
    }

    [[nodiscard]] std::size_t sends_after(mono_time time) const
    {
        return static_cast<std::size_t>(std::count_if(
            this->crashing_sends.begin(), this->crashing_sends.end(),
            [time](mono_time sent_at)
            {
                return sent_at > time;
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

    static constexpr unsigned seed = 20261204;
    static constexpr milliseconds down_time{700};
    static constexpr milliseconds crashing_interval{100};
    static constexpr milliseconds sound_interval{15};

    std::mt19937 random{seed};
    std::size_t calls = 0;
    std::vector<mono_time> crashes;
    std::vector<mono_time> crashing_sends;
    std::vector<sound_call> sound;
    standins::delays later{this->base.get()};
};

} // namespace

// Calls with a crashing part ended one engine after the other (BUDGET), and the
// sound calls beside them (LOST).
TEST_F(crashing_parts, a_part_that_crashes_engines_is_refused_and_no_other)
{
    this->start(2, 8);
    this->play(milliseconds{8'000});
    ASSERT_GE(this->crashes.size(), 3U);
    auto const last_counted =
        this->crashes[std::min(crashes_allowed, this->crashes.size()) - 1];
    EXPECT_LE(this->sends_after(last_counted + contact), late_calls_limit)
        << this->crashes.size() << " crashes";
    EXPECT_GE(this->served_after(last_counted + contact), 0.9);
}

// Gateways that were all restarted together had forgotten the part (BUDGET).
TEST_F(crashing_parts, a_crashing_part_is_known_after_all_gateways_restart)
{
    this->start(2, 8);
    this->play(milliseconds{5'000});
    ASSERT_GE(this->crashes.size(), 3U);
    this->restart_gateways();
    this->wait_ready();
    auto const restarted_at = mono_now();
    this->play(milliseconds{2'000});
    EXPECT_LE(this->sends_after(restarted_at), late_calls_limit);
    EXPECT_GE(this->served_after(restarted_at), 0.9);
}

} // namespace jujubestand::programs::test
