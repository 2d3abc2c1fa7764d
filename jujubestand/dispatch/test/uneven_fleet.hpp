#ifndef JUJUBESTAND_DISPATCH_TEST_UNEVEN_FLEET_HPP
#define JUJUBESTAND_DISPATCH_TEST_UNEVEN_FLEET_HPP

#include <jujubestand/dispatch/dispatch.hpp>
#include <jujubestand/dispatch/speeds.hpp>
#include <jujubestand/dispatch/test/fleet.hpp>
#include <map>
#include <random>
#include <set>
#include <vector>

/// \brief Gateways that send to engines of uneven speed, in virtual time.
namespace jujubestand::dispatch
{

/// \brief An engine that prefills one call after the other.
struct simulated_engine
{
    double tokens_per_ms = 40;
    double busy_until_ms = 0;
    int calls = 0;
    std::set<call_key> prefilling;
    std::map<call_key, double> running;
};

/// \brief A call at an engine.
struct simulated_send
{
    std::size_t gateway = 0;
    call_key call = 0;
    int engine = 0;
    bool is_output = false;
};

/// \brief All gateways and engines.
struct uneven_fleet
{
    std::vector<state> gateways;
    std::vector<simulated_engine> engines;
    std::multimap<int, simulated_send> events;
    std::vector<speeds_change> changes;
    std::mt19937 random{3};
    call_key last_call = 0;
    int now_ms = 0;
    /// A third of the calls are short.
    bool short_calls = true;
    double arrivals = 0;
    int served = 0;
    int refused = 0;

    uneven_fleet(std::size_t gateway_count, std::vector<double> const& speeds)
        : gateways(gateway_count, fleet(static_cast<int>(speeds.size())))
        , engines(speeds.size())
    {
        for (std::size_t index = 0; index < speeds.size(); ++index)
            this->engines[index].tokens_per_ms = speeds[index];
        for (auto& gateway : this->gateways)
        {
            gateway.gateways = static_cast<std::uint32_t>(gateway_count);
            for (auto& [key, target] : gateway.upstreams)
                hold_parts(target, 77);
        }
    }

    void apply(std::size_t gateway, decision const& decided)
    {
        if (decided.next_action == action::refuse)
            ++this->refused;
        if (decided.next_action != action::send)
            return;
        constexpr double fixed_ms = 22;
        constexpr int output_ms = 34;
        auto const& sent = this->gateways[gateway].sends.at(decided.call);
        // Engines have the same keys at all gateways.
        int const number = static_cast<int>(decided.upstream) - 1;
        auto& target = this->engines[static_cast<std::size_t>(number)];
        target.busy_until_ms =
            std::max<double>(target.busy_until_ms, this->now_ms) +
            sent.prefill_tokens / target.tokens_per_ms;
        ++target.calls;
        target.prefilling.insert(decided.call);
        target.running[decided.call] = sent.memory_tokens;
        std::uniform_real_distribution<double> jitter_ms(0, 6);
        int const first_ms = static_cast<int>(target.busy_until_ms + fixed_ms +
                                              jitter_ms(this->random));
        this->events.insert({first_ms, {gateway, decided.call, number, true}});
        this->events.insert(
            {first_ms + output_ms, {gateway, decided.call, number, false}});
    }

    void end_events()
    {
        auto const end = this->events.upper_bound(this->now_ms);
        for (auto event = this->events.begin(); event != end; ++event)
        {
            auto const& send = event->second;
            auto& gateway = this->gateways[send.gateway];
            auto& target = this->engines[static_cast<std::size_t>(send.engine)];
            on_output(gateway, send.call, send.is_output ? 1 : 10,
                      at(this->now_ms));
            target.prefilling.erase(send.call);
            if (send.is_output)
                continue;
            target.running.erase(send.call);
            on_send_end(gateway, send.call, send_outcome::served,
                        at(this->now_ms));
            ++this->served;
        }
        this->events.erase(this->events.begin(), end);
    }

    void report()
    {
        for (auto& gateway : this->gateways)
        {
            for (auto& [key, target] : gateway.upstreams)
            {
                auto const& engine = this->engines[key - 1];
                auto load = idle_load(this->now_ms);
                load.report.prefilling =
                    static_cast<std::uint32_t>(engine.prefilling.size());
                load.report.running =
                    static_cast<std::uint32_t>(engine.running.size());
                for (auto const& [call, memory] : engine.running)
                    load.report.memory_used +=
                        static_cast<std::uint64_t>(memory);
                on_load_report(gateway, key, load);
            }
            auto const next = review_speeds(gateway, at(this->now_ms));
            this->changes.insert(this->changes.end(), next.begin(), next.end());
        }
    }

    void decide()
    {
        for (std::size_t index = 0; index < this->gateways.size(); ++index)
        {
            for (auto const& decided :
                 decide_waiting(this->gateways[index], at(this->now_ms)))
                this->apply(index, decided);
        }
    }

    void arrive(double calls_per_ms)
    {
        this->arrivals += calls_per_ms;
        for (; this->arrivals >= 1; this->arrivals -= 1)
        {
            std::size_t const index = this->random() % this->gateways.size();
            auto request = prompt_call(++this->last_call, 77, this->now_ms);
            if (this->short_calls && this->last_call % 3 == 0)
                request.model_prompt->parts.back().tokens = 600;
            this->apply(index, submit(this->gateways[index], request,
                                      at(this->now_ms)));
        }
    }

    /// \brief Plays calls as a share of what the engines can prefill.
    void play(int for_ms, double load)
    {
        double const mean_tokens =
            this->short_calls ? (2 * 2'890 + 600) / 3.0 : 2'890;
        constexpr int report_ms = 100;
        constexpr int review_ms = 10;
        double capacity = 0;
        for (auto const& engine : this->engines)
            capacity += engine.tokens_per_ms;
        for (int const end = this->now_ms + for_ms; this->now_ms < end;
             ++this->now_ms)
        {
            this->end_events();
            if (this->now_ms % report_ms == 0)
                this->report();
            if (this->now_ms % review_ms == 0)
                this->decide();
            this->arrive(load * capacity / mean_tokens);
        }
    }

    void reset_counts()
    {
        for (auto& engine : this->engines)
            engine.calls = 0;
        this->served = 0;
        this->refused = 0;
    }

    /// \brief Share of the calls that an engine got.
    [[nodiscard]] double share_of(std::size_t index) const
    {
        int sum = 0;
        for (auto const& engine : this->engines)
            sum += engine.calls;
        return static_cast<double>(this->engines[index].calls) / sum;
    }
};

} // namespace jujubestand::dispatch

#endif
