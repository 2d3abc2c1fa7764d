#include <gtest/gtest.h>
#include <jujubestand/limits/test/quota_plans.hpp>

// Fleets of gateways that share quotas, without failures: how much of them is
// used, and with how many messages.
namespace jujubestand::limits::test
{

// A refusal below the quota is a loss, and so are tokens that are held where no
// calls come.
TEST(quota_fleet, serves_what_a_team_is_entitled_to)
{
    for (auto const where :
         {placement::everywhere, placement::one, placement::moving})
    {
        for (double const demand : {0.3, 0.8, 1.0, 1.5, 3.0})
        {
            fleet_plan plan;
            plan.teams = {team_of("large", large_rate, demand, where),
                          team_of("small", small_rate, demand, where),
                          requests_team(demand, where)};
            quota_fleet fleet(plan);
            fleet.run();
            check_rule(fleet, plan);
            for (std::size_t team = 0; team < plan.teams.size(); ++team)
            {
                auto const name = name_of(plan, team) + ", demand " +
                                  std::to_string(demand) + ", placement " +
                                  std::to_string(static_cast<int>(where));
                double const part =
                    part_served(fleet.teams[team], plan.teams[team].quota,
                                start + milliseconds{3'000});
                EXPECT_GE(part, 0.95) << name;
                auto const& result = fleet.teams[team];
                RecordProperty(
                    name,
                    std::to_string(part) + " served, " +
                        std::to_string(static_cast<double>(result.waited) /
                                       static_cast<double>(result.calls)) +
                        " waited, " + std::to_string(fleet.messages / 30) +
                        " messages/s");
            }
        }
    }
}

// The quotas of all teams are exchanged by instances that have 9 KB/s for all
// control.
TEST(quota_fleet, exchanges_little_with_many_gateways_and_teams)
{
    constexpr std::size_t gateways = 390;
    constexpr std::size_t team_count = 1'900;
    constexpr double all_tokens = 760'000;
    constexpr double calls_per_second = 3'300;
    constexpr double limit_bytes = 9'000;
    fleet_plan plan;
    plan.gateways = gateways;
    plan.duration = milliseconds{6'000};
    double rest = all_tokens;
    for (std::size_t team = 0; team < team_count; ++team)
    {
        // Some teams have much of the demand.
        double const part = team + 1 == team_count ? 1 : 0.01;
        double const demand = rest * part;
        rest -= demand;
        auto added = team_of("team" + std::to_string(team), demand * 2, 0.5,
                             placement::everywhere);
        added.calls = {{all_tokens / calls_per_second, 1}};
        plan.teams.push_back(std::move(added));
    }
    quota_fleet fleet(plan);
    fleet.run();
    double sum = 0;
    double most = 0;
    for (auto const bytes : fleet.bytes)
    {
        sum += static_cast<double>(bytes);
        most = std::max(most, static_cast<double>(bytes));
    }
    constexpr double seconds = 6;
    EXPECT_LE(most / seconds, limit_bytes);
    RecordProperty("bytes_per_second_mean",
                   std::to_string(sum / seconds / gateways));
    RecordProperty("bytes_per_second_most", std::to_string(most / seconds));
}

} // namespace jujubestand::limits::test
