#include <programs/test/gateways_fixture.hpp>
#include <set>
#include <standins/service/recording_service.hpp>

// Versions of the configuration of which gateways can't read a part, or that
// have an unusual form. Checks which keys are accepted from then on.
namespace jujubestand::programs::test
{

namespace
{

using json = nlohmann::json;

constexpr int status_unauthorized = 401;

json team(std::string const& name, std::set<std::string> const& keys)
{
    return {{"name", name}, {"api-keys", keys}};
}

/// \brief A configuration whose routes need keys of these teams.
json configuration_of(std::uint64_t version, json const& teams)
{
    auto result = json::parse(configuration(version));
    for (auto& route : result["routes"])
        route["public"] = false;
    result["tenants"] = teams;
    return result;
}

class odd_tables : public gateways_test
{
protected:
    static constexpr std::size_t gateway_count = 3;

    /// \brief Starts gateways, of which two read the store, and the last gets
    /// the records from these.
    /// \param teams one of them has the key `gone`
    void start(json const& teams)
    {
        this->store.put("keyed.op", "config",
                        configuration_of(1, teams).dump());
        this->start_gateways(gateway_count);
        this->add_engine("v1", near);
        standins::service_events events;
        events.arrived = [](std::string const&) {};
        events.run = [this](std::string const& id)
        {
            this->runs.insert(id);
        };
        constexpr std::uint64_t seed = 20261207;
        this->service = std::make_unique<standins::recording_service>(
            this->base.get(), address{host(service_number), 0}, seed,
            standins::service_faults{}, events);
        this->add_service("book-0", this->service->bound());
        this->wait_ready();
        for (std::size_t number = 0; number < gateway_count; ++number)
            EXPECT_EQ(this->ask_of(number, "gone"), HTTP_OK) << number;
    }

    void configure(json const& content)
    {
        this->store.put("keyed.op", "config", content.dump());
        for (std::size_t number = 0; number < gateway_count; ++number)
            this->wait_logged(number, "tables_applied",
                              "version=" + content["version"].dump());
    }

    /// \brief Status of a call that is to run at most once.
    int ask_of(std::size_t gateway, std::string const& key,
               std::string const& target = "/book/new")
    {
        stream_call asked{"call-" + std::to_string(++this->calls), "", ""};
        asked.target = target;
        asked.key = key;
        auto const answer = this->ask(gateway, asked);
        EXPECT_TRUE(this->run_to_end(answer));
        EXPECT_EQ(this->runs.contains(asked.request_id),
                  answer->status == HTTP_OK)
            << key;
        return answer->status;
    }

    /// \brief Checks the status of calls with a key at each gateway, and at
    /// one that has started since.
    void expect_of_all(std::string const& key, int status)
    {
        for (std::size_t number = 0; number < gateway_count; ++number)
            EXPECT_EQ(this->ask_of(number, key), status)
                << key << " at " << number;
        this->restart_gateway(0);
        EXPECT_TRUE(this->run_until(
            [this]
            {
                return this->is_ready(this->gateways[0]);
            }));
        EXPECT_EQ(this->ask_of(0, key), status) << key << " after a start";
    }

private:
    static constexpr std::size_t service_number = 200;

    std::set<std::string> runs;
    std::size_t calls = 0;
    std::unique_ptr<standins::recording_service> service;
};

} // namespace

// The version that lifted a team's limit in this form was rejected as a whole,
// and a key that it took away went on running (CONFIG, review/8).
TEST_F(odd_tables, a_key_goes_beside_a_burst_without_a_rate)
{
    auto limited = team("a", {"kept"});
    limited["rate-per-s"] = 1'000;
    limited["burst"] = 1'000;
    this->start({limited, team("b", {"gone"})});
    limited.erase("rate-per-s");
    this->configure(configuration_of(2, {limited, team("b", {})}));
    this->expect_of_all("gone", status_unauthorized);
    this->expect_of_all("kept", HTTP_OK);
}

// Another part that couldn't be read kept the whole version from being in force
// (CONFIG).
TEST_F(odd_tables, a_key_goes_beside_a_part_that_cannot_be_read)
{
    json const teams = {team("a", {"kept"}), team("b", {"gone"})};
    this->start(teams);
    auto odd_quota = team("odd", {"odd"});
    odd_quota["rate-per-s"] = "many";
    auto next = configuration_of(2, {team("a", {"kept"}), odd_quota});
    next["routes"].push_back({{"name", "odd"},
                              {"host", "engines.example"},
                              {"path-prefix", "/odd/"}});
    this->configure(next);
    this->expect_of_all("gone", status_unauthorized);
    this->expect_of_all("odd", HTTP_SERVUNAVAIL);
    this->expect_of_all("kept", HTTP_OK);
    EXPECT_EQ(this->ask_of(0, "kept", "/odd/new"), HTTP_SERVUNAVAIL);
    for (std::size_t number = 0; number < gateway_count; ++number)
        this->wait_logged(number, "record_rejected", "key=config");
    this->configure(configuration_of(3, teams));
    this->expect_of_all("gone", HTTP_OK);
}

// Gateways went on to confirm the tables before as current, without end
// (CONFIG).
TEST_F(odd_tables, no_key_is_accepted_for_long_once_nothing_can_be_read)
{
    this->revoke_ms = 2'000;
    auto const teams = json::array({team("a", {"kept", "gone"})});
    this->start(teams);
    this->store.put("keyed.op", "config", R"({"version":2,"routes":)");
    auto const acked_at = mono_now();
    for (std::size_t number = 0; number < gateway_count; ++number)
        this->wait_logged(number, "record_rejected", "key=config");
    EXPECT_EQ(this->ask_of(1, "kept"), HTTP_OK);
    // A second one must not extend the time.
    this->store.put("keyed.op", "config", R"({"version":"3","routes":[]})");
    this->run_until(
        [&]
        {
            return mono_now() - acked_at > milliseconds(this->revoke_ms);
        });
    for (std::size_t number = 0; number < gateway_count; ++number)
    {
        EXPECT_EQ(this->ask_of(number, "gone"), HTTP_SERVUNAVAIL) << number;
        EXPECT_FALSE(this->is_ready(this->gateways[number])) << number;
    }
    this->configure(configuration_of(4, json::array({team("a", {"kept"})})));
    this->expect_of_all("gone", status_unauthorized);
    this->expect_of_all("kept", HTTP_OK);
}

// An empty list of teams opened all routes to any key (ROUTE, CONFIG,
// review/4).
TEST_F(odd_tables, a_list_of_teams_that_is_empty_or_none_opens_no_route)
{
    this->start(json::array({team("a", {"gone"})}));
    this->configure(configuration_of(2, json::array()));
    for (auto const* key : {"gone", "none", ""})
        this->expect_of_all(key, status_unauthorized);
    std::uint64_t version = 2;
    for (json const& odd : {json(nullptr), json::object(), json("none")})
    {
        this->configure(configuration_of(++version, odd));
        for (auto const* key : {"gone", "none", ""})
            this->expect_of_all(key, HTTP_SERVUNAVAIL);
    }
}

} // namespace jujubestand::programs::test
