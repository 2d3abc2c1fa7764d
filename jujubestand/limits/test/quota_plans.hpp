#ifndef JUJUBESTAND_LIMITS_TEST_QUOTA_PLANS_HPP
#define JUJUBESTAND_LIMITS_TEST_QUOTA_PLANS_HPP

#include <gtest/gtest.h>
#include <jujubestand/limits/test/quota_fleet.hpp>

/// \brief Plans of fleets with quotas, with the figures of a deployment.
namespace jujubestand::limits::test
{

inline quota_terms terms_of(double rate, double burst)
{
    quota_terms result;
    result.rate = rate;
    result.burst = burst;
    result.counts_tokens = true;
    result.window = milliseconds{8'000};
    result.overage = 0.1;
    result.slack = 110'000;
    return result;
}

inline constexpr double large_rate = 481'852;
inline constexpr double small_rate = 29'000;

/// \brief A team with long streams, short streams and plain calls.
/// \param demand as a multiple of the rate
inline team_plan team_of(std::string name, double rate, double demand,
                         placement where)
{
    team_plan result;
    result.name = std::move(name);
    result.quota = terms_of(rate, rate);
    result.demand = demand * rate;
    result.calls = {{9'250, 0.24}, {900, 0.54}, {200, 0.22}};
    result.where = where;
    return result;
}

/// \brief A team whose quota counts calls.
inline team_plan requests_team(double demand, placement where)
{
    constexpr double rate = 20;
    constexpr double slack = 16;
    auto result = team_of("requests", rate, demand, where);
    result.quota.counts_tokens = false;
    result.quota.slack = slack;
    result.calls = {{1, 1}};
    return result;
}

/// \brief Two teams, a large and a small one, with demand above their quotas.
inline fleet_plan overload_plan(unsigned seed,
                                placement where = placement::everywhere)
{
    fleet_plan plan;
    plan.seed = seed;
    plan.teams = {team_of("large", large_rate, 2, where),
                  team_of("small", small_rate, 2, where)};
    return plan;
}

inline std::string name_of(fleet_plan const& plan, std::size_t team)
{
    return plan.teams[team].name + ", seed " + std::to_string(plan.seed);
}

inline void check_rule(quota_fleet const& fleet, fleet_plan const& plan)
{
    for (std::size_t team = 0; team < plan.teams.size(); ++team)
    {
        auto const& quota = plan.teams[team].quota;
        double const most = most_in_window(fleet.teams[team].run, quota.window);
        EXPECT_LE(most, allowed_in_window(quota)) << name_of(plan, team);
        testing::Test::RecordProperty(
            name_of(plan, team),
            std::to_string(most / allowed_in_window(quota)));
    }
}

} // namespace jujubestand::limits::test

#endif
