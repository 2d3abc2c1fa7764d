#ifndef JUJUBESTAND_PROGRAMS_TEST_VERSIONS_FIXTURE_HPP
#define JUJUBESTAND_PROGRAMS_TEST_VERSIONS_FIXTURE_HPP

#include <programs/test/faulty_gateways.hpp>
#include <standins/relay/tcp_relay.hpp>
#include <string>

namespace jujubestand::programs::test
{

/// \brief Gateways before engines of several software versions, with agents;
/// all of these processes may be killed at once.
class versions_test : public faulty_gateways_test
{
protected:
    /// \brief Puts a relay between the first gateway and the store; before the
    /// gateways start.
    void relay_store_of_first()
    {
        constexpr std::size_t relay_number = 5;
        address const where{host(relay_number), 0};
        this->relay = std::make_unique<standins::tcp_relay>(
            this->base.get(), where, this->store.bound(), where,
            standins::relay_switches{});
        this->store_addresses["front-0"] = this->relay->bound();
    }

    /// \brief Whether the store stands still for the first gateway.
    void set_stalled(bool is_stalled)
    {
        standins::relay_switches faults;
        faults.stall = is_stalled;
        this->relay->set(faults);
    }

    static constexpr std::size_t gateway_count = 3;

    /// \brief Adds two engines of a version, with agents.
    void add_version(std::string const& version, std::string const& data_centre)
    {
        for (int count = 0; count < 2; ++count)
        {
            auto const number = this->add_engine(version, data_centre);
            this->start_agent(number);
        }
    }

    /// \brief Starts gateways and a pool of one version.
    /// \param other_pool pool of an engine that only names the gateways
    void start_pool(std::string const& version,
                    std::string const& other_pool = "engines")
    {
        this->start_gateways(gateway_count);
        this->add_version(version, far);
        this->add_engine("none", far, other_pool);
        this->write_engine(2, "draining");
        this->wait_ready();
        this->wait_live(1);
    }

    void wait_live(std::size_t engine)
    {
        for (std::size_t gateway = 0; gateway < this->gateways.size();
             ++gateway)
            this->wait_logged(gateway, "member_live", engine);
    }

    /// \brief Kills all gateways, and starts them again.
    void kill_all_gateways()
    {
        this->restart_gateways();
        for (auto const& gateway : this->gateways)
            ASSERT_TRUE(this->run_until(
                [&]
                {
                    return this->is_ready(gateway);
                }));
    }

    /// \brief Kills all gateways and agents, and starts them again.
    void kill_all_processes()
    {
        for (auto const& gateway : this->gateways)
            gateway.process->kill();
        for (auto const& engine : this->engines)
        {
            if (engine.agent_process)
                engine.agent_process->kill();
        }
        for (std::size_t number = 0; number < this->engines.size(); ++number)
        {
            if (this->engines[number].agent_process)
                this->start_agent(number);
        }
        this->kill_all_gateways();
        this->wait_live(this->engines.size() - 1);
    }

private:
    std::unique_ptr<standins::tcp_relay> relay;
};

} // namespace jujubestand::programs::test

#endif
