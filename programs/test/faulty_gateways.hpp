#ifndef JUJUBESTAND_PROGRAMS_TEST_FAULTY_GATEWAYS_HPP
#define JUJUBESTAND_PROGRAMS_TEST_FAULTY_GATEWAYS_HPP

#include <csignal>
#include <cstdlib>
#include <programs/test/gateways_fixture.hpp>
#include <random>

namespace jujubestand::programs::test
{

/// \brief A number from the environment, or another one.
inline unsigned number_from(char const* variable, unsigned otherwise)
{
    char const* const text = std::getenv(variable);
    return text == nullptr
               ? otherwise
               : static_cast<unsigned>(std::strtoul(text, nullptr, 10));
}

/// \brief Gateway processes that are killed, stopped, paused and started again
/// in series. JUJUBESTAND_FAULT_SEED plays another seed,
/// JUJUBESTAND_FAULT_SECONDS another time.
class faulty_gateways_test : public gateways_test
{
protected:
    /// \brief Does one thing to one gateway.
    void disturb()
    {
        constexpr unsigned time_limit_ms = 1'500;
        auto const number = this->random() % this->gateways.size();
        auto& process = *this->gateways[number].process;
        milliseconds const time{this->random() % time_limit_ms};
        switch (this->random() % 3)
        {
        case 0:
            this->restart_gateway(number);
            break;
        case 1:
            process.begin_stop();
            this->later.run(time,
                            [this, number]
                            {
                                this->restart_gateway(number);
                            });
            break;
        default:
            process.signal(SIGSTOP);
            this->later.run(time,
                            [this, number]
                            {
                                this->gateways[number].process->signal(SIGCONT);
                            });
            break;
        }
    }

    /// \brief Calls `send` at intervals, and disturbs gateways meanwhile.
    void play_faults(milliseconds duration, milliseconds call_interval,
                     std::function<void()> const& send)
    {
        constexpr unsigned interval_min_ms = 100;
        constexpr unsigned interval_spread_ms = 700;
        auto const end = mono_now() + duration;
        auto next_fault = mono_now();
        while (mono_now() < end)
        {
            send();
            if (mono_now() >= next_fault)
            {
                this->disturb();
                next_fault += milliseconds{interval_min_ms +
                                           this->random() % interval_spread_ms};
            }
            this->run_until(
                []
                {
                    return false;
                },
                call_interval);
        }
        for (auto const& gateway : this->gateways)
            gateway.process->signal(SIGCONT);
    }

    /// \brief Time to play, unless the environment names another one.
    static milliseconds play_time(unsigned usual_seconds)
    {
        return std::chrono::seconds{
            number_from("JUJUBESTAND_FAULT_SECONDS", usual_seconds)};
    }

    unsigned seed = number_from("JUJUBESTAND_FAULT_SEED", 20261204);
    std::mt19937 random{seed};
};

} // namespace jujubestand::programs::test

#endif
