#ifndef JUJUBESTAND_PROGRAMS_TEST_GATEWAYS_FIXTURE_HPP
#define JUJUBESTAND_PROGRAMS_TEST_GATEWAYS_FIXTURE_HPP

#include <bench/support/child_process.hpp>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <jujubestand/http1/client.hpp>
#include <jujubestand/loop/timer.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <programs/test/stream_caller.hpp>
#include <programs/test/surroundings.hpp>
#include <standins/agent/status_agent.hpp>
#include <standins/keyed/keyed_store.hpp>
#include <standins/stream/stream_engine.hpp>
#include <standins/support/program.hpp>
#include <string>
#include <vector>

namespace jujubestand::programs::test
{

using std::chrono::milliseconds;

/// \brief A gateway process.
struct running_gateway
{
    std::string name;
    address callers;
    std::unique_ptr<bench::child_process> process;
};

/// \brief An engine, its agent and its id. The agent is a stand-in or a
/// process.
struct running_engine
{
    std::string id;
    std::string version;
    std::string data_centre;
    std::uint64_t born_ms = 0;
    std::unique_ptr<standins::stream_engine> engine;
    std::unique_ptr<standins::status_agent> agent;
    std::unique_ptr<bench::child_process> agent_process;
};

/// \brief Gateway processes among stand-ins for the platform's store, engines
/// and agents. Each test process has loopback addresses of its own.
class gateways_test : public testing::Test
{
protected:
    static constexpr milliseconds limit{10'000};

    gateways_test()
        : base(standins::make_base())
        , wake(this->base.get(), [] {})
        , store(this->base.get(), {host(store_number), 0})
        , caller(this->base.get())
    {
        constexpr milliseconds wake_interval{5};
        this->wake.start_every(wake_interval);
        auto pattern = (std::filesystem::temp_directory_path() /
                        "jujubestand-gateways-XXXXXX")
                           .string();
        if (::mkdtemp(pattern.data()) == nullptr)
            throw std::runtime_error("cannot make " + pattern);
        this->folder = pattern;
        this->internal_port = free_port(host(first_gateway_number));
        this->store.put("keyed.op", "config", configuration());
    }

    ~gateways_test() override
    {
        if (HasFailure())
            this->print_logs();
        this->gateways.clear();
        this->engines.clear();
        std::filesystem::remove_all(this->folder);
    }

    /// \brief Runs the loop until `done`. \returns whether that came in time
    bool run_until(std::function<bool()> const& done, milliseconds within)
    {
        auto const end = mono_now() + within;
        while (!done())
        {
            if (mono_now() > end)
                return false;
            event_base_loop(this->base.get(), EVLOOP_ONCE);
        }
        return true;
    }

    bool run_until(std::function<bool()> const& done)
    {
        return this->run_until(done, limit);
    }

    /// \brief Registers an engine that answers.
    std::size_t add_engine(std::string const& version,
                           std::string const& data_centre)
    {
        auto const number = this->engines.size();
        auto const where = host(first_engine_number + number);
        auto& added = this->engines.emplace_back();
        added.id = "engine-" + std::to_string(number);
        added.version = version;
        added.data_centre = data_centre;
        added.born_ms = 1'000 + number;
        added.engine = std::make_unique<standins::stream_engine>(
            this->base.get(), address{where, 0}, version);
        added.agent = std::make_unique<standins::status_agent>(
            this->base.get(), address{where, this->internal_port},
            this->gateway_hosts);
        this->write_engine(number, "ready");
        return number;
    }

    /// \brief Puts an agent process in the place of an engine's stand-in for
    /// one; not for the last engine.
    void start_agent(std::size_t number)
    {
        auto& engine = this->engines[number];
        engine.agent.reset();
        auto const path = (this->folder / ("side-" + engine.id)).string();
        std::ofstream(path + ".toml")
            << agent_settings_text(engine.id, engine.engine->bound(),
                                   this->internal_port, this->store.bound());
        engine.agent_process = std::make_unique<bench::child_process>(
            std::vector<std::string>{JUJUBESTAND_BINARY_DIR "/jujubestand_node",
                                     "agent", "--settings", path + ".toml"},
            path);
    }

    /// \brief Puts another engine in the place of one: at its address, under
    /// another id.
    void replace_engine(std::size_t number)
    {
        auto& replaced = this->engines[number];
        auto const where = replaced.engine->bound();
        this->remove_engine(number);
        replaced.engine.reset();
        replaced.id += "-next";
        replaced.born_ms += 1'000;
        replaced.engine = std::make_unique<standins::stream_engine>(
            this->base.get(), where, replaced.version);
        this->write_engine(number, "ready");
    }

    void write_engine(std::size_t number, std::string const& state)
    {
        auto const& written = this->engines[number];
        nlohmann::json const model{{"name", "m1"}, {"version", 1}};
        nlohmann::json const record{
            {"service", "engines"},
            {"address", to_text(written.engine->bound())},
            {"zone", written.data_centre},
            {"version", written.version},
            {"slots", 4},
            {"state", state},
            {"sequence", ++this->sequence},
            {"born", written.born_ms},
            {"models", nlohmann::json::array({model})}};
        this->store.put("keyed.servers", written.id, record.dump());
    }

    /// \brief Requests weights of the engines' model.
    void name_weights(std::uint64_t version)
    {
        nlohmann::json const record{{"model", "m1"}, {"version", version}};
        this->store.put("keyed.op", "version/m1", record.dump());
    }

    /// \brief Destroys an engine as a crash does: its connections break, its
    /// agent loses it, its record goes.
    void crash_engine(std::size_t number)
    {
        auto& crashed = this->engines[number];
        crashed.engine.reset();
        crashed.agent->lose_engine();
        this->remove_engine(number);
    }

    /// \brief Ends a gateway, if it still runs, and starts it again.
    void restart_gateway(std::size_t number)
    {
        auto& gateway = this->gateways[number];
        gateway.process->kill();
        gateway.process = this->process_of(gateway);
    }

    /// \brief Registers a plain service.
    void add_service(std::string const& id, address const& where)
    {
        this->store.put("keyed.servers", id,
                        service_record(where, ++this->sequence));
    }

    /// \brief Kills all gateways and starts them again with nothing.
    void restart_gateways()
    {
        auto const count = this->gateways.size();
        this->gateways.clear();
        for (std::size_t number = 0; number < count; ++number)
            this->start_gateway(number);
    }

    void remove_engine(std::size_t number)
    {
        this->store.put("keyed.servers", this->engines[number].id, "");
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

    void pause_all_after(std::uint64_t event)
    {
        for (auto const& engine : this->engines)
            engine.engine->pause_after(event);
    }

    /// \brief Engine that was sent the only stream so far.
    [[nodiscard]] std::size_t engine_with_stream() const
    {
        for (std::size_t number = 0; number < this->engines.size(); ++number)
        {
            if (!this->engines[number].engine->seen().empty())
                return number;
        }
        ADD_FAILURE() << "no engine was sent a stream";
        return 0;
    }

    void pause_no_more()
    {
        for (auto const& engine : this->engines)
            engine.engine->pause_no_more();
    }

    /// \brief Streams that the engines of a version were sent.
    [[nodiscard]] std::size_t sent_to(std::string const& version) const
    {
        std::size_t result = 0;
        for (auto const& engine : this->engines)
            result +=
                engine.version == version ? engine.engine->seen().size() : 0;
        return result;
    }

    /// Limits of repeated sends; set before the first gateway starts.
    unsigned retry_reserve = 1'000;
    double retry_ratio = 0.2;
    /// A gateway has its reserve from this age on.
    unsigned retry_window_s = 0;
    standins::base_ptr base;
    loop::timer wake;
    standins::keyed_store store;
    std::vector<running_engine> engines;
    std::vector<running_gateway> gateways;
    http1::client caller;

private:
    static constexpr std::size_t store_number = 1;
    static constexpr std::size_t first_gateway_number = 10;
    static constexpr std::size_t first_unreachable_number = 50;
    static constexpr std::size_t first_engine_number = 100;

    // The bounds are wide, so that a slow machine changes nothing.
    std::string settings_of(running_gateway const& gateway) const
    {
        return settings_text(gateway.name, gateway.callers, this->internal_port,
                             this->store.bound()) +
               "[bounds]\nrevoke-ms = 60000\nbudget-slack = " +
               std::to_string(this->retry_reserve) +
               "\nbudget-window-s = " + std::to_string(this->retry_window_s) +
               "\nretry-budget-ratio = " + std::to_string(this->retry_ratio) +
               "\n";
    }

    void start_gateway(std::size_t number)
    {
        auto const& where = this->gateway_hosts[number];
        auto& gateway = this->gateways.emplace_back();
        gateway.name = "front-" + std::to_string(number);
        do
            gateway.callers = {where, free_port(where)};
        while (gateway.callers.port == this->internal_port);
        gateway.process = this->process_of(gateway);
    }

    std::unique_ptr<bench::child_process>
    process_of(running_gateway const& gateway) const
    {
        auto const path = (this->folder / gateway.name).string();
        std::ofstream(path + ".toml") << this->settings_of(gateway);
        return std::make_unique<bench::child_process>(
            std::vector<std::string>{JUJUBESTAND_BINARY_DIR "/jujubestand_node",
                                     "gateway", "--settings", path + ".toml"},
            path);
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

    bool has_logged(std::size_t gateway, std::string const& event,
                    std::string const& field) const
    {
        std::ifstream file(this->gateways[gateway].process->output() + ".out");
        for (std::string line; std::getline(file, line);)
        {
            line += ' ';
            if (line.find(' ' + event + ' ') != std::string::npos &&
                line.find(' ' + field + ' ') != std::string::npos)
                return true;
        }
        return false;
    }

    void print_logs() const
    {
        for (auto const& gateway : this->gateways)
            print_log(*gateway.process);
        for (auto const& engine : this->engines)
        {
            if (engine.agent_process)
                print_log(*engine.agent_process);
        }
    }

    static void print_log(bench::child_process const& process)
    {
        for (char const* ending : {".out", ".err"})
        {
            auto const path = process.output() + ending;
            std::ifstream file(path);
            std::cerr << path << '\n' << file.rdbuf();
            std::cerr.clear();
        }
    }

    std::filesystem::path folder;
    std::uint16_t internal_port = 0;
    std::vector<std::string> gateway_hosts;
    std::uint64_t sequence = 0;
};

} // namespace jujubestand::programs::test

#endif
