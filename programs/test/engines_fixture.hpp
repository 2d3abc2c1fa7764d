#ifndef JUJUBESTAND_PROGRAMS_TEST_ENGINES_FIXTURE_HPP
#define JUJUBESTAND_PROGRAMS_TEST_ENGINES_FIXTURE_HPP

#include <bench/support/child_process.hpp>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <jujubestand/loop/timer.hpp>
#include <memory>
#include <nlohmann/json.hpp>
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

/// \brief An engine, its agent and its id. The agent is a stand-in or a
/// process.
struct running_engine
{
    std::string id;
    std::string version;
    std::string data_centre;
    std::uint64_t born_ms = 0;
    std::string pool;
    std::unique_ptr<standins::stream_engine> engine;
    std::unique_ptr<standins::status_agent> agent;
    std::unique_ptr<bench::child_process> agent_process;
};

/// \brief Stand-ins for the platform's store, engines and agents. Each test
/// process has loopback addresses of its own.
class engines_test : public testing::Test
{
protected:
    static constexpr milliseconds limit{10'000};

    engines_test()
        : base(standins::make_base())
        , wake(this->base.get(), [] {})
        , store(this->base.get(), {host(store_number), 0})
    {
        constexpr milliseconds wake_interval{5};
        this->wake.start_every(wake_interval);
        auto pattern = (std::filesystem::temp_directory_path() /
                        "jujubestand-gateways-XXXXXX")
                           .string();
        if (::mkdtemp(pattern.data()) == nullptr)
            throw std::runtime_error("cannot make " + pattern);
        this->folder = pattern;
        this->internal_port = free_port(host(port_number));
        this->store.put("keyed.op", "config", configuration());
    }

    ~engines_test() override
    {
        for (auto const& engine : this->engines)
        {
            if (HasFailure() && engine.agent_process)
                print_log(*engine.agent_process);
        }
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
                           std::string const& data_centre,
                           std::string const& pool = "engines")
    {
        auto const number = this->engines.size();
        auto const where = host(first_engine_number + number);
        auto& added = this->engines.emplace_back();
        added.id = "engine-" + std::to_string(number);
        added.version = version;
        added.data_centre = data_centre;
        added.born_ms = 1'000 + number;
        added.pool = pool;
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
        nlohmann::json const model{
            {"name", "m1"}, {"version", written.engine->loaded_weights()}};
        nlohmann::json const record{
            {"service", written.pool},
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
        if (crashed.agent)
            crashed.agent->lose_engine();
        this->remove_engine(number);
    }

    void remove_engine(std::size_t number)
    {
        this->store.put("keyed.servers", this->engines[number].id, "");
    }

    /// \brief Registers a plain service.
    /// \param starts how often it has started
    void add_service(std::string const& id, address const& where,
                     std::uint64_t starts = 0)
    {
        this->store.put("keyed.servers", id,
                        service_record(where, ++this->sequence, starts));
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

    standins::base_ptr base;
    loop::timer wake;
    standins::keyed_store store;
    std::vector<running_engine> engines;
    std::filesystem::path folder;
    std::uint16_t internal_port = 0;
    std::vector<std::string> gateway_hosts;

private:
    static constexpr std::size_t store_number = 1;
    /// The internal port is one that is free at this address.
    static constexpr std::size_t port_number = 10;
    static constexpr std::size_t first_engine_number = 100;

    std::uint64_t sequence = 0;
};

} // namespace jujubestand::programs::test

#endif
