#include <programs/test/gateways_fixture.hpp>
#include <set>

// Teams become isolated, or no longer isolated, or go, while gateways run.
// Checks the salts under which engines are to cache the parts of prompts.
namespace jujubestand::programs::test
{

namespace
{

/// \brief A configuration with the teams `a`, `b` and `c`, whose keys are
/// their names.
/// \param isolated names of the isolated teams
std::string configuration_of(std::uint64_t version,
                             std::set<std::string> const& isolated)
{
    auto result = nlohmann::json::parse(configuration(version));
    for (auto& route : result["routes"])
        route["public"] = false;
    result["services"][0]["engine"] = {
        {"slots", 64},
        {"kv-capacity-tokens", 90'000},
        {"models", nlohmann::json::array({{{"name", "m1"}}})}};
    result["tenants"] = nlohmann::json::array();
    for (std::string const name : {"a", "b", "c"})
        result["tenants"].push_back(
            {{"name", name},
             {"api-keys", nlohmann::json::array({name})},
             {"isolated", isolated.contains(name)}});
    return result.dump();
}

class changed_teams : public gateways_test
{
protected:
    static constexpr std::size_t gateway_count = 2;

    void start()
    {
        this->store.put("keyed.op", "config", configuration_of(1, {}));
        this->start_gateways(gateway_count);
        this->start_agent(this->add_engine("v1", near));
        // Names the gateways; it is sent nothing.
        this->add_engine("v1", far);
        this->write_engine(1, "draining");
        this->wait_ready();
    }

    void configure(std::uint64_t version, std::set<std::string> const& isolated)
    {
        this->store.put("keyed.op", "config",
                        configuration_of(version, isolated));
        for (std::size_t number = 0; number < gateway_count; ++number)
            this->wait_applied(number, version);
    }

    void wait_applied(std::size_t gateway, std::uint64_t version)
    {
        this->wait_logged(gateway, "tables_applied",
                          "version=" + std::to_string(version));
    }

    answer_ptr ask_of(std::size_t gateway, std::string const& team)
    {
        stream_call asked{"call-" + std::to_string(++this->calls), "", ""};
        asked.parts = "5c1e07a2:800,91bd3f06:200";
        asked.key = team;
        return this->ask(gateway, asked);
    }

    /// \brief Salt of a team's call with these fields of its prompt.
    std::string salt_with(std::string const& team,
                          std::vector<http::field> const& prompt)
    {
        stream_call asked{"call-" + std::to_string(++this->calls), "", ""};
        asked.key = team;
        http1::client_request request;
        request.server = this->gateways[0].callers;
        request.method = "POST";
        request.target = asked.target;
        request.fields = fields_of(asked);
        request.fields.insert(request.fields.end(), prompt.begin(),
                              prompt.end());
        auto const answer = start_call(this->caller, std::move(request));
        EXPECT_TRUE(this->run_to_end(answer));
        EXPECT_EQ(answer->status, HTTP_OK) << team;
        return this->last_salt();
    }

    /// \brief Salt of the only engine's latest call.
    std::string last_salt()
    {
        return this->engines[0].engine->seen().back().cache_salt;
    }

    /// \brief Salt of a team's call at a gateway.
    std::string salt(std::size_t gateway, std::string const& team)
    {
        auto const answer = this->ask_of(gateway, team);
        EXPECT_TRUE(this->run_to_end(answer));
        EXPECT_EQ(answer->status, HTTP_OK) << team;
        return this->last_salt();
    }

    /// \brief The one salt of a team at all gateways.
    std::string common_salt(std::string const& team)
    {
        auto result = this->salt(0, team);
        EXPECT_EQ(this->salt(1, team), result) << team;
        return result;
    }

private:
    std::size_t calls = 0;
};

} // namespace

// A prompt that can't be read was sent without a salt, so that isolated teams
// shared its parts with all others (WALL).
TEST_F(changed_teams, the_salt_depends_on_no_field_of_the_prompt)
{
    this->start();
    this->configure(2, {"a"});
    http::field const model{"X-Model", "m1"};
    http::field const counts{"X-Token-Usage", "100,8"};
    http::field const parts{"X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:200"};
    http::field const long_ids{
        "X-Prompt-Prefix",
        "5c1e07a29f3b64d80a7be1c455d2f1e9:800,91bd3f06c2a84e17:200"};
    std::vector<std::vector<http::field>> const prompts{
        {model, counts, parts},
        {model, counts, long_ids},
        {model, counts, {"X-Prompt-Prefix", "5c1e07a2,91bd3f06:200"}},
        {model, counts, {"X-Prompt-Prefix", "5c1e07a2:800,,91bd3f06:200"}},
        {model, counts, {"X-Prompt-Prefix", "not:hexadecimal"}},
        {model, counts, {"X-Prompt-Prefix", "5c1e07a2:99999999999"}},
        {model, counts, parts, parts},
        {model, parts},
        {model, {"X-Token-Usage", "100"}, parts},
        {model, {"X-Token-Usage", "99999999999,8"}, parts},
        {model, counts, counts, parts},
        {counts, parts},
        {parts},
        {}};
    auto const alone = this->salt(0, "a");
    auto const shared = this->salt(0, "b");
    ASSERT_NE(alone, shared);
    for (std::size_t row = 0; row < prompts.size(); ++row)
    {
        EXPECT_EQ(this->salt_with("a", prompts[row]), alone) << row;
        EXPECT_EQ(this->salt_with("b", prompts[row]), shared) << row;
    }
    this->wait_logged(0, "prompts_unreadable", std::string{});
}

// The models of two fields may have other weights than one another.
TEST_F(changed_teams, calls_whose_model_is_not_known_share_nothing)
{
    this->start();
    this->configure(2, {"a"});
    std::vector<http::field> const two_models{
        {"X-Model", "m1"},
        {"X-Model", "m2"},
        {"X-Token-Usage", "100,8"},
        {"X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:200"}};
    std::set<std::string> salts;
    for (std::string const team : {"a", "a", "b", "b"})
    {
        auto const salt = this->salt_with(team, two_models);
        EXPECT_FALSE(salt.empty());
        EXPECT_TRUE(salts.insert(salt).second) << salt;
    }
}

// Other teams went on to use what a team's calls had cached before it became
// isolated (WALL).
TEST_F(changed_teams, what_a_team_cached_before_is_used_by_no_other)
{
    this->start();
    auto const before = this->common_salt("a");
    EXPECT_EQ(this->common_salt("b"), before);
    this->configure(2, {"a"});
    auto const shared = this->common_salt("b");
    auto const alone = this->common_salt("a");
    EXPECT_NE(shared, before);
    EXPECT_NE(alone, before);
    EXPECT_NE(alone, shared);
    EXPECT_EQ(this->common_salt("c"), shared);
}

// A team that shares again brings nothing of the time in which it did not, and
// gets nothing that others cached meanwhile when it is isolated once more.
TEST_F(changed_teams, a_team_that_changes_again_meets_no_foreign_parts)
{
    this->start();
    this->configure(2, {"a"});
    auto const without_a = this->common_salt("b");
    this->configure(3, {"b"});
    auto const without_b = this->common_salt("a");
    EXPECT_EQ(this->common_salt("c"), without_b);
    EXPECT_NE(without_b, without_a);
    this->configure(4, {"a", "b"});
    auto const without_both = this->common_salt("c");
    EXPECT_NE(without_both, without_a);
    EXPECT_NE(without_both, without_b);
    EXPECT_NE(this->common_salt("a"), without_b);
    EXPECT_NE(this->common_salt("b"), without_a);
}

// A gateway that starts after the change has never seen the configuration
// before it, and must not bring the parts of that time back.
TEST_F(changed_teams, a_gateway_that_starts_later_uses_the_same_salts)
{
    this->start();
    auto const before = this->common_salt("b");
    this->configure(2, {"a"});
    auto const shared = this->salt(1, "b");
    this->restart_gateway(0);
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return this->is_ready(this->gateways[0]);
        }));
    this->wait_logged(0, "member_live", 0);
    EXPECT_EQ(this->salt(0, "b"), shared);
    EXPECT_NE(shared, before);
    EXPECT_NE(this->salt(0, "a"), shared);
}

// A call that waits for an engine, or is sent again, is sent under the salt of
// the configuration that has come meanwhile.
TEST_F(changed_teams, calls_that_are_sent_later_follow_the_change)
{
    this->start();
    auto const before = this->common_salt("b");
    this->engines[0].engine->ask_for_pause("0.8");
    // The first call is refused; both wait for the end of the pause.
    auto const first = this->ask_of(0, "b");
    auto const second = this->ask_of(0, "a");
    this->wait_logged(0, "upstream_paused", 0);
    this->configure(2, {"a"});
    this->engines[0].engine->ask_for_pause("");
    auto const sent_before = this->engines[0].engine->seen().size();
    EXPECT_TRUE(this->run_to_end(first));
    EXPECT_TRUE(this->run_to_end(second));
    ASSERT_EQ(first->status, HTTP_OK);
    ASSERT_EQ(second->status, HTTP_OK);
    auto const& seen = this->engines[0].engine->seen();
    std::set<std::string> salts;
    for (auto at = sent_before; at < seen.size(); ++at)
        salts.insert(seen[at].cache_salt);
    EXPECT_EQ(salts.size(), 2U);
    EXPECT_FALSE(salts.contains(before));
}

// With the last team its key went, and then any key was accepted (ROUTE,
// CONFIG).
TEST_F(changed_teams, no_call_runs_once_the_last_team_is_gone)
{
    this->start();
    this->common_salt("a");
    auto without_teams = nlohmann::json::parse(configuration_of(2, {}));
    without_teams["tenants"] = nlohmann::json::array();
    this->store.put("keyed.op", "config", without_teams.dump());
    for (std::size_t number = 0; number < gateway_count; ++number)
        this->wait_applied(number, 2);
    auto const sent = this->engines[0].engine->seen().size();
    constexpr int unauthorized = 401;
    for (std::string const key : {"a", "none", ""})
    {
        auto const answer = this->ask_of(0, key);
        EXPECT_TRUE(this->run_to_end(answer));
        EXPECT_EQ(answer->status, unauthorized) << key;
    }
    EXPECT_EQ(this->engines[0].engine->seen().size(), sent);
}

} // namespace jujubestand::programs::test
