#include <gtest/gtest.h>
#include <jujubestand/dispatch/speeds.hpp>
#include <jujubestand/dispatch/test/fleet.hpp>
#include <random>

// Estimates of the speed of upstreams and the rule that puts them in use.
namespace jujubestand::dispatch
{

namespace
{

constexpr double fixed_time_ms = 22;
constexpr double long_tokens = 2'890;
constexpr double short_tokens = 600;

mono_time at_ms(double ms)
{
    return at(0) + microseconds{static_cast<std::int64_t>(ms * 1'000)};
}

/// Sends that end at once, with a given time to the first output.
struct sends
{
    state& dispatcher;
    call_key last_key = 0;

    call_key begin(upstream& target, double tokens, double ahead, double ms)
    {
        open_send sent;
        sent.upstream = target.key;
        sent.sent_at = at_ms(ms);
        sent.prefill_tokens = tokens;
        sent.model = "m";
        sent.forecast.tokens_ahead = ahead;
        sent.forecast.is_certain = true;
        ++target.open_calls;
        this->dispatcher.sends[++this->last_key] = sent;
        return this->last_key;
    }

    void send(upstream& target, double tokens, double first_output_ms,
              double ms, double ahead = 0)
    {
        auto const key = this->begin(target, tokens, ahead, ms);
        on_output(this->dispatcher, key, 1, at_ms(ms + first_output_ms));
        on_send_end(this->dispatcher, key, send_outcome::served,
                    at_ms(ms + first_output_ms));
    }

    void call_service(upstream& target, double took_ms, double ms)
    {
        auto const key = this->begin(target, 0, 0, ms);
        this->dispatcher.sends.at(key).model.clear();
        on_send_end(this->dispatcher, key, send_outcome::served,
                    at_ms(ms + took_ms));
    }
};

double speed_factor(upstream_key key)
{
    constexpr std::array factors{0.6, 1.0, 1.6};
    return factors.at(key % factors.size());
}

/// Time to the first output of a prompt.
double output_after(double tokens, double speed)
{
    return fixed_time_ms + tokens / speed;
}

// Sends to all engines in turn for a time and reviews the speeds.
template <typename Time>
std::vector<speeds_change> play(state& dispatcher, sends& sent, int from_ms,
                                int to_ms, Time first_output_ms)
{
    std::vector<speeds_change> changes;
    for (int ms = from_ms; ms < to_ms; ms += 100)
    {
        for (auto& [key, target] : dispatcher.upstreams)
        {
            double const tokens =
                (static_cast<call_key>(ms / 100) + key) % 3 == 0 ? short_tokens
                                                                 : long_tokens;
            sent.send(target, tokens, first_output_ms(target, tokens, ms), ms);
        }
        auto const next = review_speeds(dispatcher, at(ms));
        changes.insert(changes.end(), next.begin(), next.end());
    }
    return changes;
}

} // namespace

// An estimate that one slow answer halves would take the engine's calls away.
TEST(speeds, three_outliers_change_an_estimate_by_less_than_a_quarter)
{
    for (double const factor : {10.0, 0.1})
    {
        prefill_samples window;
        for (int index = 0; index < 25; ++index)
            add_sample(window, 33.0 + index / 2.0, at(index));
        double const before = window.value;
        EXPECT_EQ(before, 43.5);
        for (int index = 0; index < 3; ++index)
            add_sample(window, factor * 40, at(10 + index));
        EXPECT_NEAR(window.value, before, before / 4);
    }
}

// An engine that has become slower is also known by its reported queue; one
// that has recovered must be found again.
TEST(speeds, slow_samples_replace_an_estimate_later_than_fast_ones)
{
    prefill_samples window;
    for (int index = 0; index < 25; ++index)
        add_sample(window, 80, at(index));
    for (int index = 0; index < 22; ++index)
        add_sample(window, 32, at(20 + index));
    EXPECT_EQ(window.value, 32);
    for (int index = 0; index < 4; ++index)
        add_sample(window, 80, at(50 + index));
    EXPECT_EQ(window.value, 80);
}

// The earlier deployments have engines of 38.1 and 44.2 tokens/ms, which the
// constant serves.
TEST(speeds, constants_stay_in_use_where_speeds_are_as_assumed)
{
    for (double const speed : {30.0, 38.1, 44.2, 50.0})
    {
        auto dispatcher = fleet(12);
        sends sent{dispatcher};
        auto const changes = play(dispatcher, sent, 0, 20'000,
                                  [&](upstream const&, double tokens, int)
                                  {
                                      return output_after(tokens, speed);
                                  });
        EXPECT_TRUE(changes.empty()) << speed;
        EXPECT_EQ(prefill_tokens_per_ms(dispatcher, engine(dispatcher, 1)), 40);
        EXPECT_EQ(output_ms_per_token(dispatcher, engine(dispatcher, 1)), 4.5);
        EXPECT_EQ(pool_prefill_tokens_per_ms(dispatcher, "engines", at(20'000)),
                  40);
    }
}

// Delays of first outputs vary by other gateways' calls; a pool that switched
// for them would be served by noise.
TEST(speeds, noise_does_not_switch_a_pool)
{
    std::mt19937 random(5);
    std::normal_distribution<double> jitter(0, 4);
    std::exponential_distribution<double> delay(1.0 / 40);
    std::uniform_real_distribution<double> kind(0, 1);
    auto const noisy = [&](double ms)
    {
        double const drawn = kind(random);
        // Wrong by ten times, either way.
        if (drawn < 0.04)
            return drawn < 0.02 ? ms / 10 : ms * 10;
        bool const is_delayed = drawn < 0.7;
        return std::max(1.0,
                        ms + jitter(random) + (is_delayed ? delay(random) : 0));
    };
    for (double const speed : {36.7, 38.1, 44.2})
    {
        for (int const engines : {1, 3, 12, 49})
        {
            auto dispatcher = fleet(engines);
            sends sent{dispatcher};
            auto const changes =
                play(dispatcher, sent, 0, 60'000,
                     [&](upstream const&, double tokens, int)
                     {
                         return noisy(output_after(tokens, speed));
                     });
            EXPECT_TRUE(changes.empty()) << speed << " " << engines;
        }
    }
}

// Under a constant of 40, faster engines idle and slower ones queue.
TEST(speeds, a_pool_of_another_speed_is_learned)
{
    for (double const speed : {20.0, 81.9})
    {
        auto dispatcher = fleet(12);
        sends sent{dispatcher};
        auto const changes = play(dispatcher, sent, 0, 20'000,
                                  [&](upstream const&, double tokens, int)
                                  {
                                      return output_after(tokens, speed);
                                  });
        ASSERT_EQ(changes.size(), 1U);
        EXPECT_TRUE(changes[0].is_learned);
        EXPECT_EQ(changes[0].pool, "engines");
        EXPECT_NEAR(changes[0].spread, 1, 0.01);
        EXPECT_NEAR(prefill_tokens_per_ms(dispatcher, engine(dispatcher, 1)),
                    speed, speed / 10);
        EXPECT_NEAR(
            pool_prefill_tokens_per_ms(dispatcher, "engines", at(20'000)),
            speed, speed / 10);
    }
}

// Uneven engines are told apart, and by noisy samples as well.
TEST(speeds, engines_of_uneven_speed_are_learned)
{
    std::mt19937 random(7);
    std::normal_distribution<double> noise(0, 5);
    for (double const middle : {40.0, 81.9})
    {
        auto dispatcher = fleet(12);
        sends sent{dispatcher};
        auto const changes = play(
            dispatcher, sent, 0, 20'000,
            [&](upstream const& target, double tokens, int)
            {
                return output_after(tokens, middle * speed_factor(target.key)) +
                       noise(random);
            });
        ASSERT_EQ(changes.size(), 1U);
        EXPECT_TRUE(changes[0].is_learned);
        for (auto const& [key, target] : dispatcher.upstreams)
        {
            double const speed = middle * speed_factor(key);
            EXPECT_NEAR(prefill_tokens_per_ms(dispatcher, target), speed,
                        speed / 4);
        }
    }
}

// While engines are busy or calls wait, what is ahead of a call is known badly:
// all of them would seem slow.
TEST(speeds, sends_behind_others_are_not_measured)
{
    auto dispatcher = fleet(3);
    sends sent{dispatcher};
    auto& target = engine(dispatcher, 1);
    sent.send(target, long_tokens, 300, 0, long_tokens);
    for (bool const is_pool_full : {true, false})
    {
        auto const key = sent.begin(target, long_tokens, 0, 400);
        dispatcher.sends.at(key).forecast.is_pool_full = is_pool_full;
        dispatcher.sends.at(key).forecast.is_certain = is_pool_full;
        on_output(dispatcher, key, 1, at(700));
        on_send_end(dispatcher, key, send_outcome::served, at(700));
    }
    EXPECT_EQ(target.speeds.prefill.count, 0U);
    sent.send(target, long_tokens, 300, 800, long_tokens / 4);
    EXPECT_EQ(target.speeds.prefill.count, 1U);
}

// A send that is cut or withdrawn before its output says nothing of a speed.
TEST(speeds, sends_without_output_are_not_measured)
{
    auto dispatcher = fleet(1);
    sends sent{dispatcher};
    auto& target = engine(dispatcher, 1);
    for (auto const outcome :
         {send_outcome::cut, send_outcome::cancelled, send_outcome::refused})
        on_send_end(dispatcher, sent.begin(target, long_tokens, 0, 0), outcome,
                    at(500));
    EXPECT_EQ(target.speeds.prefill.count, 0U);
    EXPECT_EQ(target.speeds.output.count, 0U);
    EXPECT_EQ(target.speeds.call.count, 0U);
}

// A pool that turns back near a threshold would switch again and again.
TEST(speeds, a_pool_switches_back_only_well_within_the_limits)
{
    auto dispatcher = fleet(12);
    sends sent{dispatcher};
    auto const speed_at = [](int ms)
    {
        return ms < 10'000 ? 60.0 : ms < 20'000 ? 51.0 : 42.0;
    };
    auto const changes = play(dispatcher, sent, 0, 30'000,
                              [&](upstream const&, double tokens, int ms)
                              {
                                  return output_after(tokens, speed_at(ms));
                              });
    ASSERT_EQ(changes.size(), 2U);
    EXPECT_TRUE(changes[0].is_learned);
    EXPECT_FALSE(changes[1].is_learned);
    EXPECT_NEAR(changes[1].median, 42, 4);
    EXPECT_EQ(prefill_tokens_per_ms(dispatcher, engine(dispatcher, 1)), 40);
}

// An engine that is taken for too fast gets more than fits into its memory.
TEST(speeds, learned_speeds_stay_within_a_factor_of_four_of_the_constant)
{
    for (double const speed : {2.0, 2'000.0})
    {
        auto dispatcher = fleet(6);
        sends sent{dispatcher};
        play(dispatcher, sent, 0, 10'000,
             [&](upstream const& target, double tokens, int)
             {
                 return output_after(tokens, speed * speed_factor(target.key));
             });
        for (auto const& [key, target] : dispatcher.upstreams)
        {
            EXPECT_GE(prefill_tokens_per_ms(dispatcher, target), 10);
            EXPECT_LE(prefill_tokens_per_ms(dispatcher, target), 160);
        }
    }
}

// What the process before had measured says nothing of the new one.
TEST(speeds, a_restarted_upstream_begins_with_the_median)
{
    auto dispatcher = fleet(12);
    sends sent{dispatcher};
    play(dispatcher, sent, 0, 20'000,
         [&](upstream const& target, double tokens, int)
         {
             return output_after(tokens, 81.9 * speed_factor(target.key));
         });
    auto& slow = engine(dispatcher, 3);
    EXPECT_LT(prefill_tokens_per_ms(dispatcher, slow), 60);
    auto record = engine_record(3);
    record.born_ms = 2;
    on_upstream_record(dispatcher, record);
    static_cast<void>(review_speeds(dispatcher, at(20'300)));
    EXPECT_NEAR(prefill_tokens_per_ms(dispatcher, slow), 81.9, 8);
}

// An upstream that is taken for slow may get no calls that would show that it
// has recovered.
TEST(speeds, an_unused_upstream_approaches_the_median)
{
    auto dispatcher = fleet(12);
    sends sent{dispatcher};
    play(dispatcher, sent, 0, 20'000,
         [&](upstream const& target, double tokens, int)
         {
             return output_after(tokens, 81.9 * speed_factor(target.key));
         });
    static_cast<void>(review_speeds(dispatcher, at(80'000)));
    EXPECT_GT(prefill_tokens_per_ms(dispatcher, engine(dispatcher, 3)), 70);
}

// Times in which this process stood still are not those of an upstream.
TEST(speeds, sends_before_a_pause_of_the_process_are_not_measured)
{
    auto dispatcher = fleet(1);
    sends sent{dispatcher};
    dispatcher.running_since = at(100);
    sent.send(engine(dispatcher, 1), long_tokens, 3'000, 50);
    EXPECT_EQ(engine(dispatcher, 1).speeds.prefill.count, 0U);
    sent.send(engine(dispatcher, 1), long_tokens, 3'000, 150);
    EXPECT_EQ(engine(dispatcher, 1).speeds.prefill.count, 1U);
}

// The output time of an engine decides whether a call ends before a load.
TEST(speeds, output_time_is_measured_between_events)
{
    auto dispatcher = fleet(6);
    sends sent{dispatcher};
    play(dispatcher, sent, 0, 10'000,
         [&](upstream const& target, double tokens, int)
         {
             return output_after(tokens, 81.9 * speed_factor(target.key));
         });
    for (int ms = 10'000; ms < 11'000; ms += 100)
    {
        for (int number = 1; number <= 3; ++number)
        {
            auto const key =
                sent.begin(engine(dispatcher, number), short_tokens, 0, ms);
            on_output(dispatcher, key, 1, at(ms + 30));
            on_output(dispatcher, key, 21, at(ms + 30 + 20 * 7));
            // The last bytes may come later than the last event.
            on_send_end(dispatcher, key, send_outcome::served, at(ms + 500));
        }
    }
    static_cast<void>(review_speeds(dispatcher, at(11'000)));
    EXPECT_NEAR(output_ms_per_token(dispatcher, engine(dispatcher, 1)), 7,
                0.01);
    // The others have the median of those that are known.
    EXPECT_NEAR(output_ms_per_token(dispatcher, engine(dispatcher, 4)), 7,
                0.01);
}

// There is no constant for services: only differences within a pool count.
TEST(speeds, services_of_uneven_speed_are_learned_and_even_ones_are_not)
{
    std::mt19937 random(11);
    std::lognormal_distribution<double> noise(0, 0.5);
    for (bool const is_uneven : {false, true})
    {
        auto dispatcher = fleet(12);
        sends sent{dispatcher};
        std::vector<speeds_change> changes;
        for (int ms = 0; ms < 60'000; ms += 100)
        {
            for (auto& [key, target] : dispatcher.upstreams)
            {
                double const factor = is_uneven ? speed_factor(key) : 1;
                sent.call_service(target, 80 / factor * noise(random), ms);
            }
            auto const next = review_speeds(dispatcher, at(ms));
            changes.insert(changes.end(), next.begin(), next.end());
        }
        EXPECT_EQ(changes.size(), is_uneven ? 1U : 0U);
        for (auto const& [key, target] : dispatcher.upstreams)
        {
            auto const ratio = relative_call_time(target);
            ASSERT_EQ(ratio.has_value(), is_uneven);
            if (ratio)
            {
                EXPECT_NEAR(*ratio * speed_factor(key), 1, 0.4);
            }
        }
    }
}

} // namespace jujubestand::dispatch
