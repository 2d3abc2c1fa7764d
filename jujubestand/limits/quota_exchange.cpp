#include <jujubestand/limits/quota_exchange.hpp>

#include <algorithm>
#include <jujubestand/limits/permit_issuer.hpp>
#include <utility>

namespace jujubestand::limits
{

namespace
{

/// A longer gap between reviews means that the process was suspended.
constexpr std::chrono::milliseconds pause_limit{1'000};

/// A gateway that has received no message for this long issues nothing.
constexpr std::chrono::milliseconds silence_limit{1'500};

// What was issued before may have been issued by another gateway since.
void restart_issuing(quota_exchange& exchange, mono_time now)
{
    exchange.issuer = {};
    exchange.is_assigned = false;
    exchange.steady_since = now;
}

void check_pause(quota_exchange& exchange, mono_time now)
{
    if (now - exchange.reviewed_at > pause_limit)
        restart_issuing(exchange, now);
    exchange.reviewed_at = now;
}

bool is_issuer(quota_exchange const& exchange, std::string const& team)
{
    return issuer_of(exchange.gateways.members, std::string_view(team)) ==
           exchange.own;
}

issue_terms issue_terms_of(quota_exchange const& exchange,
                           team_terms const& team)
{
    issue_terms result;
    result.quota = team.quota;
    result.since = std::max(
        {exchange.steady_since, exchange.gateways.changed_at, team.since});
    result.rate_share = rate_share(exchange.gateways);
    return result;
}

// A bucket fills from the time at which this gateway becomes the issuer, also
// before the first request: after all gateways were restarted at once the list
// of them changes for a while, and a bucket that began anew with each change
// refused calls within the quota.
void assign_teams(quota_exchange& exchange, mono_time now)
{
    if (exchange.is_assigned &&
        exchange.assigned_members == exchange.gateways.changed_at)
        return;
    exchange.is_assigned = true;
    exchange.assigned_members = exchange.gateways.changed_at;
    std::erase_if(exchange.issuer.teams,
                  [&](auto const& row)
                  {
                      return !exchange.teams.contains(row.first) ||
                             !is_issuer(exchange, row.first);
                  });
    for (auto const& [team, terms] : exchange.teams)
    {
        if (is_issuer(exchange, team))
            begin_issuing(exchange.issuer, team,
                          issue_terms_of(exchange, terms), now);
    }
}

void append(std::vector<quota_decision>& into,
            std::vector<quota_decision> const& more)
{
    into.insert(into.end(), more.begin(), more.end());
}

// Without a list of gateways there is no issuer to send to; calls wait.
void send_due(quota_exchange& exchange, std::string const& team, mono_time now,
              double draw, quota_effects& effects)
{
    // A gateway that is the issuer itself answers at once.
    constexpr int rounds_limit = 4;
    auto const terms = exchange.teams.find(team);
    if (terms == exchange.teams.end() || exchange.gateways.members.empty())
        return;
    auto& holder = exchange.holders.at(team);
    for (int round = 0; round < rounds_limit; ++round)
    {
        auto request = due_request(holder, terms->second.quota, now);
        if (!request)
            return;
        request->team = team;
        auto const issuer =
            issuer_of(exchange.gateways.members, std::string_view(team));
        if (*issuer != exchange.own)
        {
            effects.requests.push_back({*issuer, *request});
            return;
        }
        append(effects.decisions,
               on_answer(holder,
                         on_quota_request(exchange, exchange.own, *request, now,
                                          draw),
                         now));
    }
}

void drop_team(quota_exchange& exchange, std::string const& team,
               quota_effects& effects)
{
    exchange.issuer.teams.erase(team);
    auto const holder = exchange.holders.find(team);
    if (holder == exchange.holders.end())
        return;
    for (auto const& waiter : holder->second.waiting)
        effects.decisions.push_back(
            {waiter.call, quota_step::accept, 0, microseconds{0}});
    exchange.holders.erase(holder);
}

void change_team(quota_exchange& exchange, std::string const& team,
                 team_terms const& before, quota_terms const& quota,
                 quota_effects& effects)
{
    if (before.quota.counts_tokens != quota.counts_tokens)
        drop_team(exchange, team, effects);
    auto const issued = exchange.issuer.teams.find(team);
    if (issued == exchange.issuer.teams.end())
        return;
    // Until now the rate was the one before.
    refill(issued->second, issue_terms_of(exchange, before),
           exchange.reviewed_at);
    change_terms(issued->second, quota);
}

} // namespace

quota_exchange begin_exchange(std::string own, mono_time now)
{
    quota_exchange result;
    result.own = std::move(own);
    result.received_at = now;
    result.steady_since = now;
    result.reviewed_at = now;
    return result;
}

quota_effects set_quotas(quota_exchange& exchange,
                         std::map<std::string, quota_terms> const& teams,
                         mono_time now)
{
    quota_effects effects;
    std::map<std::string, team_terms> next;
    for (auto const& [team, quota] : teams)
    {
        auto const before = exchange.teams.find(team);
        bool const is_known = before != exchange.teams.end();
        next[team] = {quota, now};
        if (is_known && before->second.quota == quota)
            next[team].since = before->second.since;
        else if (is_known)
            change_team(exchange, team, before->second, quota, effects);
    }
    for (auto const& [team, terms] : exchange.teams)
    {
        if (!next.contains(team))
            drop_team(exchange, team, effects);
    }
    exchange.teams = std::move(next);
    exchange.is_assigned = false;
    return effects;
}

quota_effects on_quota_call(quota_exchange& exchange, std::string const& team,
                            std::uint64_t call, double cost, mono_time now,
                            double draw)
{
    quota_effects effects;
    auto const terms = exchange.teams.find(team);
    if (terms == exchange.teams.end())
    {
        effects.decisions.push_back(
            {call, quota_step::accept, 0, microseconds{0}});
        return effects;
    }
    auto const& quota = terms->second.quota;
    auto const charge = charge_for(quota, cost);
    if (!charge)
    {
        effects.decisions.push_back(
            {call, quota_step::refuse, 0, window_of(quota)});
        return effects;
    }
    auto const [at, is_new] = exchange.holders.try_emplace(team);
    auto& holder = at->second;
    // Numbers go up over restarts of the process. After a restart of the
    // machine the issuer accepts lower ones once it has removed this requester.
    if (is_new)
        holder.last_number = static_cast<std::uint64_t>(to_us(now));
    // Missing gateways may be cut off and use a credit as well.
    auto const credit = credit_of(quota, exchange.gateways.members.size() +
                                             exchange.gateways.missing.size());
    auto const decision = on_call(holder, quota, credit, call, *charge, now);
    if (decision.step != quota_step::wait)
        effects.decisions.push_back(decision);
    send_due(exchange, team, now, draw, effects);
    return effects;
}

quota_answer on_quota_request(quota_exchange& exchange, std::string const& host,
                              quota_request const& request, mono_time now,
                              double draw)
{
    check_pause(exchange, now);
    if (!is_issuer(exchange, request.team))
    {
        exchange.issuer.teams.erase(request.team);
        return undecided(request);
    }
    if (is_cut_off(exchange, now) || !exchange.is_current)
        return undecided(request);
    auto const terms = exchange.teams.find(request.team);
    // The requester has a configuration that has not come here yet, or one
    // that is not in force any more.
    if (terms == exchange.teams.end())
        return unlimited(request);
    return issue(exchange.issuer, host, request,
                 issue_terms_of(exchange, terms->second), now, draw);
}

quota_effects on_quota_answer(quota_exchange& exchange,
                              quota_answer const& answer, mono_time now,
                              double draw)
{
    quota_effects effects;
    auto const holder = exchange.holders.find(answer.team);
    if (holder == exchange.holders.end())
        return effects;
    effects.decisions = on_answer(holder->second, answer, now);
    send_due(exchange, answer.team, now, draw, effects);
    return effects;
}

quota_effects review_quotas(quota_exchange& exchange, mono_time now,
                            double draw)
{
    check_pause(exchange, now);
    if (is_cut_off(exchange, now))
        restart_issuing(exchange, now);
    assign_teams(exchange, now);
    for (auto& [team, issued] : exchange.issuer.teams)
        refill(issued, issue_terms_of(exchange, exchange.teams.at(team)), now);
    quota_effects effects;
    for (auto& [team, holder] : exchange.holders)
    {
        append(effects.decisions, expire(holder, now));
        send_due(exchange, team, now, draw, effects);
    }
    std::erase_if(exchange.holders,
                  [&](auto const& row)
                  {
                      auto const terms = exchange.teams.find(row.first);
                      return terms == exchange.teams.end() ||
                             is_unused(row.second, terms->second.quota, now);
                  });
    return effects;
}

bool is_cut_off(quota_exchange const& exchange, mono_time now)
{
    bool const has_others = exchange.gateways.members.size() > 1;
    return has_others && now - exchange.received_at > silence_limit;
}

} // namespace jujubestand::limits
