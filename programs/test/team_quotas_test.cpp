#include <algorithm>
#include <map>
#include <programs/test/gateways_fixture.hpp>
#include <standins/service/recording_service.hpp>

// Teams whose quotas three gateways share. Checks which calls services ran and
// what callers were told.
namespace jujubestand::programs::test
{

namespace
{

constexpr int status_too_many = 429;

constexpr double rate = 10;
constexpr double burst = 10;
constexpr double overage = 0.1;
constexpr double slack = 6;
constexpr milliseconds window{4'000};

double calls_allowed()
{
    constexpr double ms_per_s = 1'000;
    return (rate * static_cast<double>(window.count()) / ms_per_s + burst) *
               (1 + overage) +
           slack;
}

/// \brief A configuration with the teams `a` and `b`, whose keys are their
/// names; `a` has a quota.
std::string configuration_of(std::uint64_t version, nlohmann::json const& quota)
{
    auto result = nlohmann::json::parse(configuration(version));
    for (auto& route : result["routes"])
        route["public"] = false;
    nlohmann::json limited{{"name", "a"},
                           {"api-keys", nlohmann::json::array({"a"})}};
    limited.update(quota);
    result["tenants"] = nlohmann::json::array(
        {limited, {{"name", "b"}, {"api-keys", nlohmann::json::array({"b"})}}});
    return result.dump();
}

class team_quotas : public gateways_test
{
protected:
    struct sent_call
    {
        std::string team;
        mono_time sent_at{};
        answer_ptr answer;
        std::optional<mono_time> run_at;
    };

    void start(std::size_t gateway_count, nlohmann::json const& quota)
    {
        this->more_bounds = "quota-window-s = 4\nquota-overage = 0.1\n"
                            "quota-slack = 6\n";
        this->store.put("keyed.op", "config", configuration_of(1, quota));
        this->start_gateways(gateway_count);
        this->add_engine("v1", near);
        standins::service_events events;
        events.arrived = [](std::string const&) {};
        events.run = [this](std::string const& id)
        {
            this->calls.at(id).run_at = mono_now();
        };
        this->service = std::make_unique<standins::recording_service>(
            this->base.get(), address{host(service_number), 0}, seed,
            standins::service_faults{}, events);
        this->add_service("book-0", this->service->bound());
        this->wait_ready();
    }

    answer_ptr send(std::size_t gateway, std::string const& team)
    {
        auto const id = "call-" + std::to_string(this->calls.size());
        stream_call asked{id, "", ""};
        asked.target = "/book/new";
        asked.key = team;
        auto& call = this->calls[id];
        call.team = team;
        call.sent_at = mono_now();
        call.answer = this->ask(gateway, asked);
        return call.answer;
    }

    /// \brief Sends calls of both teams at all gateways for some time.
    void play(milliseconds duration)
    {
        constexpr milliseconds interval{20};
        constexpr std::size_t calls_of_a_per_call_of_b = 10;
        auto const end = mono_now() + duration;
        for (std::size_t round = 0; mono_now() < end; ++round)
        {
            this->send(round % this->gateways.size(), "a");
            if (round % calls_of_a_per_call_of_b == 0)
                this->send(round / calls_of_a_per_call_of_b %
                               this->gateways.size(),
                           "b");
            this->run_until(
                []
                {
                    return false;
                },
                interval);
        }
        for (auto const& [id, call] : this->calls)
            EXPECT_TRUE(this->run_to_end(call.answer)) << id;
    }

    /// \brief Most calls of a team that were sent and run within a window.
    [[nodiscard]] std::size_t most_calls(std::string const& team) const
    {
        std::size_t most = 0;
        for (auto const& opening : this->calls)
        {
            auto const& first = opening.second;
            auto const count =
                std::count_if(this->calls.begin(), this->calls.end(),
                              [&](auto const& row)
                              {
                                  auto const& call = row.second;
                                  return call.team == team && call.run_at &&
                                         call.sent_at >= first.sent_at &&
                                         *call.run_at <= first.sent_at + window;
                              });
            most = std::max(most, static_cast<std::size_t>(count));
        }
        return most;
    }

    [[nodiscard]] std::size_t count(std::string const& team, int status) const
    {
        return static_cast<std::size_t>(
            std::count_if(this->calls.begin(), this->calls.end(),
                          [&](auto const& row)
                          {
                              return row.second.team == team &&
                                     row.second.answer->status == status;
                          }));
    }

    static constexpr std::size_t service_number = 200;
    static constexpr std::uint64_t seed = 20261206;

    std::map<std::string, sent_call> calls;
    std::unique_ptr<standins::recording_service> service;
};

} // namespace

// The heaviest teams had as much as they sent, at the cost of the others
// (QUOTA).
TEST_F(team_quotas, gateways_keep_a_quota_together_and_serve_other_teams)
{
    this->start(3, {{"rate-per-s", rate}, {"burst", burst}});
    this->play(milliseconds{9'000});
    auto const most = this->most_calls("a");
    EXPECT_LE(static_cast<double>(most), calls_allowed());
    RecordProperty("most", static_cast<int>(most));
    RecordProperty("served", static_cast<int>(this->count("a", HTTP_OK)));
    EXPECT_GT(this->count("a", HTTP_OK), 0U);
    EXPECT_GT(this->count("a", status_too_many), 0U);
    for (auto const& [id, call] : this->calls)
    {
        auto const& answer = *call.answer;
        if (call.team == "b")
        {
            EXPECT_EQ(answer.status, HTTP_OK) << id;
        }
        if (answer.status != status_too_many)
            continue;
        EXPECT_FALSE(call.run_at) << id;
        EXPECT_GT(std::stod("0" + answer.field("Retry-After")), 0) << id;
        EXPECT_NE(answer.body.find("\"team_limit\""), std::string::npos) << id;
        EXPECT_NE(answer.body.find("\"not_run\""), std::string::npos) << id;
    }
    for (std::size_t number = 0; number < this->gateways.size(); ++number)
        this->wait_logged(number, "quota_exceeded", "team=a");
}

// A quota that can't be read opens the system to no team.
TEST_F(team_quotas, a_malformed_quota_lets_no_call_of_its_team_run)
{
    this->start(1, {{"rate-per-s", 1}, {"burst", 1}});
    std::uint64_t version = 1;
    for (nlohmann::json const& odd :
         {nlohmann::json(-1), nlohmann::json("many")})
    {
        this->calls.clear();
        this->store.put("keyed.op", "config",
                        configuration_of(++version, {{"rate-per-s", odd}}));
        this->wait_logged(0, "tables_applied",
                          "version=" + std::to_string(version));
        this->wait_logged(0, "record_rejected", "key=config");
        this->play(milliseconds{500});
        EXPECT_EQ(this->most_calls("a"), 0U) << odd;
        EXPECT_GT(this->count("a", HTTP_SERVUNAVAIL), 0U) << odd;
        EXPECT_GT(this->count("b", HTTP_OK), 0U) << odd;
        EXPECT_EQ(this->count("b", HTTP_OK), this->most_calls("b")) << odd;
    }
}

} // namespace jujubestand::programs::test
