#ifndef JUJUBESTAND_PROGRAMS_TEST_GATEWAYS_FIXTURE_HPP
#define JUJUBESTAND_PROGRAMS_TEST_GATEWAYS_FIXTURE_HPP

#include <jujubestand/http1/client.hpp>
#include <map>
#include <programs/test/engines_fixture.hpp>
#include <programs/test/stream_caller.hpp>
#include <string>
#include <vector>

namespace jujubestand::programs::test
{

/// \brief A gateway process.
struct running_gateway
{
    std::string name;
    address callers;
    /// Only with `gateways_test::has_readiness_port`.
    address readiness;
    std::unique_ptr<bench::child_process> process;
};

/// \brief Gateway processes among the stand-ins of `engines_test`.
class gateways_test : public engines_test
{
protected:
    gateways_test()
        : caller(this->base.get())
    {
    }

    ~gateways_test() override
    {
        for (auto const& gateway : this->gateways)
        {
            if (HasFailure())
                print_log(*gateway.process);
        }
    }

    /// \brief Ends a gateway, if it still runs, and starts it again.
    void restart_gateway(std::size_t number)
    {
        auto& gateway = this->gateways[number];
        gateway.process->kill();
        gateway.process = this->process_of(gateway);
    }

    /// \brief Kills all gateways and starts them again with nothing.
    void restart_gateways()
    {
        auto const count = this->gateways.size();
        this->gateways.clear();
        for (std::size_t number = 0; number < count; ++number)
            this->start_gateway(number);
    }

    /// \brief Starts gateways; before the first engine, whose agent names them.
    void start_gateways(std::size_t count)
    {
        for (std::size_t number = 0; number < count; ++number)
            this->gateway_hosts.push_back(host(first_gateway_number + number));
        for (std::size_t number = 0; number < count; ++number)
            this->start_gateway(number);
    }

    /// \brief Lists further gateways that answer nothing; before the first
    /// engine.
    void list_unreachable_gateways(std::size_t count)
    {
        for (std::size_t number = 0; number < count; ++number)
            this->gateway_hosts.push_back(
                host(first_unreachable_number + number));
    }

    /// \brief Waits until each gateway accepts calls and knows the others.
    void wait_ready()
    {
        for (auto const& gateway : this->gateways)
            ASSERT_TRUE(this->run_until(
                [&]
                {
                    return this->is_ready(gateway);
                }))
                << gateway.name;
        ASSERT_TRUE(this->run_until(
            [this]
            {
                return this->engines.back().agent->informed().size() ==
                       this->gateways.size();
            }));
    }

    /// \brief Waits until a gateway has logged this event of an engine.
    void wait_logged(std::size_t gateway, std::string const& event,
                     std::size_t engine)
    {
        this->wait_logged(gateway, event,
                          "upstream=" + this->engines[engine].id);
    }

    /// \brief Waits until a gateway has logged this event with a field.
    void wait_logged(std::size_t gateway, std::string const& event,
                     std::string const& field)
    {
        ASSERT_TRUE(this->run_until(
            [&]
            {
                return this->has_logged(gateway, event, field);
            }))
            << event << ' ' << field;
    }

    /// \brief Asks a gateway for a stream, once.
    answer_ptr ask(std::size_t gateway, stream_call const& asked)
    {
        http1::client_request request;
        request.server = this->gateways[gateway].callers;
        request.method = "POST";
        request.target = asked.target;
        request.fields = fields_of(asked);
        return start_call(this->caller, std::move(request));
    }

    /// \brief Has the caller leave if it has no answer by then.
    /// \param patience zero: it waits for as long as it takes
    void leave_after(answer_ptr const& answer, milliseconds patience)
    {
        if (patience.count() == 0)
            return;
        this->later.run(patience,
                        [this, answer]
                        {
                            if (!answer->end)
                                this->caller.cancel(answer->call);
                        });
    }

    /// \brief Asks again while a gateway promises that the call has not run,
    /// a few times, as callers do: a slow machine may delay the datagrams
    /// between gateways for longer than these wait.
    answer_ptr ask_until_accepted(std::size_t gateway, stream_call asked)
    {
        constexpr milliseconds retry_after{200};
        constexpr int attempts_limit = 5;
        auto const name = asked.request_id;
        answer_ptr result;
        for (int attempt = 0; attempt < attempts_limit; ++attempt)
        {
            asked.request_id = name + "-" + std::to_string(attempt);
            result = this->ask(gateway, asked);
            EXPECT_TRUE(this->run_until(
                [&]
                {
                    return result->status != 0 || result->end;
                }));
            RecordProperty(name + "-refusals", attempt);
            if (result->status != HTTP_SERVUNAVAIL)
                break;
            this->run_until(
                []
                {
                    return false;
                },
                retry_after);
        }
        return result;
    }

    bool is_ready(running_gateway const& gateway)
    {
        http1::client_request request;
        request.server = gateway.callers;
        request.target = "/ready";
        request.fields = {{"Host", to_text(gateway.callers)}};
        auto const answer = start_call(this->caller, std::move(request));
        return this->run_to_end(answer) && answer->status == HTTP_OK;
    }

    bool run_to_events(answer_ptr const& answer, std::size_t count)
    {
        return this->run_until(
            [&]
            {
                return answer->events().size() >= count;
            });
    }

    bool run_to_end(answer_ptr const& answer)
    {
        return this->run_until(
            [&]
            {
                return answer->end.has_value();
            });
    }

    /// \brief Whether a gateway has logged this event with a field.
    /// \param field empty: any
    bool has_logged(std::size_t gateway, std::string const& event,
                    std::string const& field) const
    {
        std::ifstream file(this->gateways[gateway].process->output() + ".out");
        for (std::string line; std::getline(file, line);)
        {
            line += ' ';
            if (line.find(' ' + event + ' ') != std::string::npos &&
                (field.empty() ||
                 line.find(' ' + field + ' ') != std::string::npos))
                return true;
        }
        return false;
    }

    /// Limits of repeated sends; set before the first gateway starts.
    unsigned retry_reserve = 1'000;
    double retry_ratio = 0.2;
    /// A gateway has its reserve from this age on.
    unsigned retry_window_s = 0;
    unsigned revoke_ms = 60'000;
    /// Further bounds, as lines of settings.
    std::string more_bounds;
    /// Gateways listen on a port for the balancer as well.
    bool has_readiness_port = false;
    /// The store's address for a gateway by name, if it is not the store's own.
    std::map<std::string, address> store_addresses;
    /// Words before the command of a gateway, by its name.
    std::map<std::string, std::vector<std::string>> command_prefixes;
    std::vector<running_gateway> gateways;
    http1::client caller;
    standins::delays later{this->base.get()};

private:
    static constexpr std::size_t first_gateway_number = 10;
    static constexpr std::size_t first_unreachable_number = 50;

    // The bounds are wide, so that a slow machine changes nothing.
    std::string settings_of(running_gateway const& gateway) const
    {
        auto const other = this->store_addresses.find(gateway.name);
        auto const where = other == this->store_addresses.end()
                               ? this->store.bound()
                               : other->second;
        auto text = settings_text(gateway.name, gateway.callers,
                                  this->internal_port, where);
        constexpr std::string_view listen = "[listen-addrs]\n";
        if (this->has_readiness_port)
            text.insert(text.find(listen) + listen.size(),
                        "ready = \"" + to_text(gateway.readiness) + "\"\n");
        return text +
               "[bounds]\nrevoke-ms = " + std::to_string(this->revoke_ms) +
               "\nbudget-slack = " + std::to_string(this->retry_reserve) +
               "\nbudget-window-s = " + std::to_string(this->retry_window_s) +
               "\nretry-budget-ratio = " + std::to_string(this->retry_ratio) +
               "\n" + this->more_bounds;
    }

    void start_gateway(std::size_t number)
    {
        auto const& where = this->gateway_hosts[number];
        auto& gateway = this->gateways.emplace_back();
        gateway.name = "front-" + std::to_string(number);
        do
            gateway.callers = {where, free_port(where)};
        while (gateway.callers.port == this->internal_port);
        while (this->has_readiness_port &&
               (gateway.readiness.port == 0 ||
                gateway.readiness.port == gateway.callers.port ||
                gateway.readiness.port == this->internal_port))
            gateway.readiness = {where, free_port(where)};
        gateway.process = this->process_of(gateway);
    }

    std::unique_ptr<bench::child_process>
    process_of(running_gateway const& gateway) const
    {
        auto const path = (this->folder / gateway.name).string();
        std::ofstream(path + ".toml") << this->settings_of(gateway);
        auto const prefix = this->command_prefixes.find(gateway.name);
        auto command = prefix == this->command_prefixes.end()
                           ? std::vector<std::string>{}
                           : prefix->second;
        command.insert(command.end(),
                       {JUJUBESTAND_BINARY_DIR "/jujubestand_node", "gateway",
                        "--settings", path + ".toml"});
        return std::make_unique<bench::child_process>(std::move(command), path);
    }
};

} // namespace jujubestand::programs::test

#endif
