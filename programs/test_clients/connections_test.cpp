#include <programs/test_clients/clients_fixture.hpp>

// More connections than the instance has descriptors: they were accepted
// without a limit, so that none was left for upstreams and the store.
namespace jujubestand::programs::test
{

namespace
{

constexpr instance_limits few_descriptors{60, 300};
constexpr std::size_t client_count = 400;
/// Past the header timeout of 3 s.
constexpr milliseconds slow_time{4'000};

struct connection_kind
{
    std::string name;
    std::string beginning;
    std::string repeated;
};

std::vector<connection_kind> connection_kinds(std::string const& path)
{
    return {{"silent", "", ""},
            {"midway", head_of("GET", path).substr(0, 40), ""},
            {"head_by_bytes", head_of("GET", path), "a: b\r\n"},
            {"body_by_bytes",
             head_of("POST", path) + "Content-Length: 100000\r\n\r\n", "x"},
            {"idle_after_a_request", head_of("GET", path) + "\r\n", ""}};
}

client_script script_of(connection_kind const& kind)
{
    constexpr std::size_t slow_bytes = 100'000;
    client_script result;
    result.beginning = kind.beginning;
    result.repeated = kind.repeated;
    result.total_bytes =
        kind.repeated.empty() ? kind.beginning.size() : slow_bytes;
    if (!kind.repeated.empty())
    {
        result.piece_bytes = 1;
        result.pause = milliseconds{100};
    }
    return result;
}

class connections
    : public clients_test,
      public testing::WithParamInterface<std::tuple<std::size_t, client_target>>
{
protected:
    void run(address const& where, std::string const& path)
    {
        auto const kind = connection_kinds(path)[std::get<0>(GetParam())];
        this->add_clients(where, script_of(kind), client_count);
        this->run_load(slow_time);
    }
};

} // namespace

TEST_P(connections, descriptors_are_kept_and_callers_are_served)
{
    auto const& target = std::get<1>(GetParam());
    this->start(few_descriptors);
    this->run(this->address_of(target), target.path);
    this->expect_sound();
}

INSTANTIATE_TEST_SUITE_P(
    clients, connections,
    testing::Combine(testing::Range<std::size_t>(0,
                                                 connection_kinds("/").size()),
                     testing::ValuesIn(client_targets())),
    [](auto const& given)
    {
        return connection_kinds("/")[std::get<0>(given.param)].name + "_to_" +
               std::get<1>(given.param).name;
    });

/// The port for the messages of our own processes.
class internal_connections : public clients_test,
                             public testing::WithParamInterface<std::size_t>
{
};

TEST_P(internal_connections, of_a_gateway_keep_descriptors)
{
    this->start(few_descriptors);
    auto const kind = connection_kinds("/")[GetParam()];
    this->add_clients({this->gateway_hosts[0], this->internal_port},
                      script_of(kind), client_count);
    this->run_load(slow_time);
    this->expect_sound();
}

TEST_P(internal_connections, of_an_agent_keep_descriptors)
{
    this->start(few_descriptors);
    auto const path = (this->folder / "agent").string();
    auto const& engine = this->engines[0];
    std::ofstream(path + ".toml")
        << agent_settings_text(engine.id, engine.engine->bound(),
                               this->internal_port, this->store.bound())
        << this->more_bounds;
    this->engines[0].agent.reset();
    bench::child_process agent(
        std::vector<std::string>{JUJUBESTAND_BINARY_DIR "/jujubestand_node",
                                 "agent", "--settings", path + ".toml"},
        path);
    this->watched = &agent;
    this->run_load(milliseconds{500});
    auto const kind = connection_kinds("/")[GetParam()];
    this->add_clients({engine.engine->bound().host, this->internal_port},
                      script_of(kind), client_count);
    this->run_load(slow_time);
    this->expect_sound();
    this->watched = this->gateways[0].process.get();
}

INSTANTIATE_TEST_SUITE_P(
    clients, internal_connections,
    testing::Range<std::size_t>(0, connection_kinds("/").size()),
    [](auto const& given)
    {
        return connection_kinds("/")[given.param].name;
    });

} // namespace jujubestand::programs::test
