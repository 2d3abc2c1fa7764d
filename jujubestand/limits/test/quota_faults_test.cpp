#include <gtest/gtest.h>
#include <jujubestand/limits/test/quota_plans.hpp>

// Fleets of gateways with quotas in which gateways and links fail. Each test
// checks the rule in every window.
namespace jujubestand::limits::test
{

namespace
{

constexpr unsigned seeds = 5;

using preparation = std::function<void(quota_fleet&, fleet_plan const&)>;

void play_seeds(placement where, preparation const& prepare,
                std::function<void(fleet_plan&)> const& change = {})
{
    for (unsigned seed = 1; seed <= seeds; ++seed)
    {
        auto plan = overload_plan(seed, where);
        if (change)
            change(plan);
        quota_fleet fleet(plan);
        prepare(fleet, plan);
        fleet.run();
        check_rule(fleet, plan);
        for (std::size_t team = 0; team < plan.teams.size(); ++team)
            EXPECT_FALSE(fleet.teams[team].run.empty()) << name_of(plan, team);
    }
}

} // namespace

// A gateway that takes over began with a full burst.
TEST(quota_fleet, keeps_quotas_while_gateways_are_killed_one_by_one)
{
    for (auto const where : {placement::everywhere, placement::moving})
        play_seeds(where,
                   [](quota_fleet& fleet, fleet_plan const& plan)
                   {
                       for (std::size_t number = 0; number < 12; ++number)
                       {
                           auto const at =
                               milliseconds{3'000} +
                               milliseconds{2'000} * static_cast<int>(number);
                           // The issuers of the teams among them.
                           auto const killed = number < plan.teams.size()
                                                   ? fleet.issuer(number)
                                                   : number;
                           fleet.at(at,
                                    [&fleet, killed]
                                    {
                                        fleet.kill(killed);
                                    });
                           fleet.at(at + milliseconds{1'200} +
                                        milliseconds{400} *
                                            static_cast<int>(number),
                                    [&fleet, killed]
                                    {
                                        fleet.launch(killed);
                                    });
                       }
                   });
}

// Restarted issuers began with a full burst each time.
TEST(quota_fleet, keeps_quotas_while_all_gateways_restart_again_and_again)
{
    for (auto const where : {placement::everywhere, placement::one})
        play_seeds(
            where,
            [](quota_fleet& fleet, fleet_plan const& plan)
            {
                for (int round = 0; round < 20; ++round)
                {
                    milliseconds const at{4'000 + round * 1'000};
                    for (std::size_t number = 0; number < plan.gateways;
                         ++number)
                    {
                        fleet.at(at,
                                 [&fleet, number]
                                 {
                                     fleet.kill(number);
                                 });
                        fleet.at(at + milliseconds{300},
                                 [&fleet, number]
                                 {
                                     fleet.launch(number);
                                 });
                    }
                }
            },
            [](fleet_plan& plan)
            {
                for (auto& team : plan.teams)
                    team.demand *= 2;
            });
}

// What an issuer had granted before it stood still was granted once more.
TEST(quota_fleet, keeps_quotas_while_gateways_stand_still)
{
    for (auto const where : {placement::everywhere, placement::moving})
        play_seeds(where,
                   [](quota_fleet& fleet, fleet_plan const& plan)
                   {
                       for (int round = 0; round < 7; ++round)
                       {
                           auto const frozen =
                               round % 2 == 0
                                   ? fleet.issuer(
                                         static_cast<std::size_t>(round / 2) %
                                         plan.teams.size())
                                   : static_cast<std::size_t>(round);
                           // After the longer ones another gateway is the
                           // issuer.
                           milliseconds const span{round < 4 ? 3'000 : 7'000};
                           fleet.at(milliseconds{3'000 + round * 3'700},
                                    [&fleet, frozen, span]
                                    {
                                        fleet.freeze(frozen, span);
                                    });
                       }
                   });
}

// The issuer before a new gateway went on beside it.
TEST(quota_fleet, keeps_quotas_while_gateways_are_added_and_end)
{
    for (auto const where : {placement::everywhere, placement::moving})
        play_seeds(where,
                   [](quota_fleet& fleet, fleet_plan const& plan)
                   {
                       constexpr std::size_t most = 47;
                       for (std::size_t number = plan.gateways; number < most;
                            ++number)
                       {
                           milliseconds const joins{
                               5'000 + static_cast<int>(number % 5) * 700};
                           fleet.at(joins,
                                    [&fleet, number]
                                    {
                                        fleet.launch(number);
                                    });
                           fleet.at(joins + milliseconds{10'000},
                                    [&fleet, number]
                                    {
                                        fleet.stop(number);
                                    });
                       }
                   });
}

// Each half has an issuer of its own; the rate was issued twice.
TEST(quota_fleet, keeps_quotas_while_the_gateways_are_divided)
{
    for (auto const where : {placement::everywhere, placement::moving})
        play_seeds(
            where,
            [](quota_fleet& fleet, fleet_plan const&)
            {
                fleet.at(milliseconds{4'000},
                         [&fleet]
                         {
                             fleet.set_divided(true);
                         });
                // Longer than any state is kept but that on the division.
                fleet.at(milliseconds{50'000},
                         [&fleet]
                         {
                             fleet.set_divided(false);
                         });
            },
            [](fleet_plan& plan)
            {
                plan.duration = milliseconds{62'000};
            });
}

// Two gateways each took themselves for the issuer.
TEST(quota_fleet, keeps_quotas_while_agents_list_different_gateways)
{
    for (auto const where : {placement::everywhere, placement::moving})
        play_seeds(
            where, [](quota_fleet&, fleet_plan const&) {},
            [](fleet_plan& plan)
            {
                plan.lists_differ = true;
            });
}

// Answers that were lost were granted twice, or requests that were sent again.
TEST(quota_fleet, keeps_quotas_while_messages_are_lost)
{
    for (auto const where : {placement::everywhere, placement::moving})
        play_seeds(
            where, [](quota_fleet&, fleet_plan const&) {},
            [](fleet_plan& plan)
            {
                plan.loss = 0.3;
            });
}

// Charges of calls that had not run came back at any time later, beside what
// the rate brings.
TEST(quota_fleet, keeps_quotas_while_calls_end_as_not_run)
{
    for (auto const where : {placement::everywhere, placement::one})
        play_seeds(
            where, [](quota_fleet&, fleet_plan const&) {},
            [](fleet_plan& plan)
            {
                plan.not_run_part = 0.5;
                for (auto& team : plan.teams)
                    team.demand *= 3;
            });
}

// A lower quota holds for each window that begins once it is in force
// everywhere; a raised one brought tokens at once.
TEST(quota_fleet, changes_a_quota)
{
    constexpr milliseconds applied{1'000};
    for (double const change : {0.25, 4.0})
    {
        auto plan = overload_plan(1);
        for (auto& team : plan.teams)
            team.demand *= std::max(1.0, change);
        quota_fleet fleet(plan);
        milliseconds const changed_at{12'000};
        std::vector<quota_terms> next;
        for (auto const& team : plan.teams)
            next.push_back(
                terms_of(team.quota.rate * change, team.quota.burst * change));
        fleet.at(changed_at,
                 [&]
                 {
                     for (std::size_t team = 0; team < next.size(); ++team)
                         fleet.change_quota(team, next[team]);
                 });
        fleet.run();
        for (std::size_t team = 0; team < next.size(); ++team)
        {
            auto const& run = fleet.teams[team].run;
            auto const& before = plan.teams[team].quota;
            EXPECT_LE(most_in_window(run, before.window, start,
                                     start + changed_at - before.window),
                      allowed_in_window(before));
            EXPECT_LE(most_in_window(run, before.window,
                                     start + changed_at + applied),
                      allowed_in_window(next[team]));
            if (change > 1)
            {
                EXPECT_LE(most_in_window(run, before.window),
                          allowed_in_window(next[team]));
            }
            EXPECT_GE(most_in_window(run, before.window,
                                     start + changed_at + applied),
                      0.9 * next[team].rate * 8);
        }
    }
}

} // namespace jujubestand::limits::test
