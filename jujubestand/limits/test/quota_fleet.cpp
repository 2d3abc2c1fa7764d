#include <algorithm>
#include <jujubestand/limits/permit_issuer.hpp>
#include <jujubestand/limits/test/quota_fleet.hpp>
#include <jujubestand/status/messages.hpp>

namespace jujubestand::limits::test
{

namespace
{

constexpr milliseconds step{2};
constexpr milliseconds review_interval{100};
constexpr milliseconds agent_memory{3'000};
constexpr milliseconds move_interval{2'000};
constexpr std::size_t agent_count = 6;
constexpr std::size_t header_bytes = 28;

std::string host_of(std::size_t number)
{
    return "10.0." + std::to_string(number / 200) + "." +
           std::to_string(number % 200 + 1);
}

} // namespace

quota_fleet::quota_fleet(fleet_plan chosen)
    : teams(chosen.teams.size())
    , bytes(chosen.gateways)
    , plan(std::move(chosen))
    , random(this->plan.seed)
    , gateways(this->plan.gateways)
    , agents(agent_count)
{
    for (std::size_t number = 0; number < this->gateways.size(); ++number)
        this->launch(number);
}

void quota_fleet::at(milliseconds time, std::function<void()> action)
{
    this->actions.emplace(start + time, std::move(action));
}

void quota_fleet::run()
{
    std::int64_t steps = 0;
    for (; this->now < start + this->plan.duration; this->now += step, ++steps)
    {
        while (!this->actions.empty() &&
               this->actions.begin()->first <= this->now)
        {
            auto const action = this->actions.begin()->second;
            this->actions.erase(this->actions.begin());
            action();
        }
        this->make_calls();
        this->deliver();
        for (std::size_t number = 0; number < this->gateways.size(); ++number)
        {
            auto const& target = this->gateways[number];
            auto const turn = static_cast<std::size_t>(steps);
            bool const is_due = (turn + number) % (review_interval / step) == 0;
            if (is_due && target.is_running && target.frozen_until <= this->now)
                this->review(number);
        }
    }
}

void quota_fleet::kill(std::size_t number)
{
    this->gateways[number].is_running = false;
    std::erase_if(this->open,
                  [number](auto const& row)
                  {
                      return row.second.gateway == number;
                  });
}

void quota_fleet::stop(std::size_t number)
{
    for (std::size_t other = 0; other < this->gateways.size(); ++other)
    {
        if (this->is_reachable(number, other))
            on_ending(this->gateways[other].exchange.gateways, host_of(number),
                      this->now);
    }
    this->kill(number);
}

void quota_fleet::launch(std::size_t number)
{
    if (number >= this->gateways.size())
    {
        this->gateways.resize(number + 1);
        this->bytes.resize(number + 1);
    }
    this->numbers[host_of(number)] = number;
    auto& target = this->gateways[number];
    target = {};
    target.is_running = true;
    target.exchange = begin_exchange(host_of(number), this->now);
    target.exchange.is_current = true;
    auto const applied = set_quotas(target.exchange, this->quotas(), this->now);
    this->apply(number, applied);
}

void quota_fleet::freeze(std::size_t number, milliseconds span)
{
    this->gateways[number].frozen_until = this->now + span;
}

void quota_fleet::set_divided(bool divided)
{
    this->is_divided = divided;
}

void quota_fleet::change_quota(std::size_t team, quota_terms const& quota)
{
    this->plan.teams[team].quota = quota;
    for (std::size_t number = 0; number < this->gateways.size(); ++number)
        this->at(std::chrono::duration_cast<milliseconds>(this->now - start) +
                     milliseconds{static_cast<int>(this->draw() * 1'000)},
                 [this, number]
                 {
                     auto& target = this->gateways[number];
                     if (!target.is_running)
                         return;
                     auto const applied =
                         set_quotas(target.exchange, this->quotas(), this->now);
                     this->apply(number, applied);
                 });
}

std::size_t quota_fleet::issuer(std::size_t team) const
{
    std::vector<std::string> hosts;
    for (std::size_t number = 0; number < this->gateways.size(); ++number)
        hosts.push_back(host_of(number));
    auto const host =
        *issuer_of(hosts, std::string_view(this->plan.teams[team].name));
    return static_cast<std::size_t>(
        std::find(hosts.begin(), hosts.end(), host) - hosts.begin());
}

double quota_fleet::draw()
{
    return std::uniform_real_distribution<double>()(this->random);
}

bool quota_fleet::is_reachable(std::size_t from, std::size_t to) const
{
    return !this->is_divided || from % 2 == to % 2;
}

std::map<std::string, quota_terms> quota_fleet::quotas() const
{
    std::map<std::string, quota_terms> result;
    for (auto const& team : this->plan.teams)
    {
        if (team.quota.rate > 0)
            result[team.name] = team.quota;
    }
    return result;
}

void quota_fleet::send(std::size_t from, std::size_t to, event sent,
                       std::string const& datagram)
{
    auto const size = datagram.size() + header_bytes;
    ++this->messages;
    this->bytes[from] += size;
    if (!this->is_reachable(from, to) || this->draw() < this->plan.loss)
        return;
    this->bytes[to] += size;
    sent.from = from;
    sent.to = to;
    this->events.emplace(
        this->now + milliseconds{1 + static_cast<int>(this->draw() * 4)},
        std::move(sent));
}

void quota_fleet::deliver()
{
    while (!this->events.empty() && this->events.begin()->first <= this->now)
    {
        auto const received = this->events.begin()->second;
        this->events.erase(this->events.begin());
        auto const& target = this->gateways[received.to];
        if (!target.is_running)
            continue;
        if (target.frozen_until > this->now)
            this->events.emplace(target.frozen_until, received);
        else
            this->receive(received);
    }
}

void quota_fleet::receive(event const& received)
{
    auto& exchange = this->gateways[received.to].exchange;
    if (auto const* const call = std::get_if<arriving_call>(&received.what))
    {
        auto const key = ++this->last_call;
        this->open[key] = {call->team, call->cost, received.to};
        auto const effects =
            on_quota_call(exchange, this->plan.teams[call->team].name, key,
                          call->cost, this->now, this->draw());
        auto& result = this->teams[call->team];
        ++result.calls;
        if (effects.decisions.empty())
            ++result.waited;
        this->apply(received.to, effects);
        return;
    }
    if (auto const* const call = std::get_if<not_run_call>(&received.what))
    {
        auto const holder =
            exchange.holders.find(this->plan.teams[call->team].name);
        if (holder != exchange.holders.end())
            refund(holder->second, call->charge);
        return;
    }
    exchange.received_at = this->now;
    if (auto const* const request = std::get_if<quota_request>(&received.what))
    {
        status::quota_response response;
        response.answer = on_quota_request(exchange, host_of(received.from),
                                           *request, this->now, this->draw());
        this->send(received.to, received.from, {0, 0, response.answer},
                   status::to_datagram(response));
    }
    else if (auto const* const answer =
                 std::get_if<quota_answer>(&received.what))
        this->apply(received.to, on_quota_answer(exchange, *answer, this->now,
                                                 this->draw()));
}

void quota_fleet::apply(std::size_t number, quota_effects const& effects)
{
    for (auto const& sent : effects.requests)
    {
        status::quota_query query;
        query.request = sent.request;
        this->send(number, this->numbers.at(sent.host), {0, 0, sent.request},
                   status::to_datagram(query));
    }
    for (auto const& decision : effects.decisions)
        this->decide(number, decision);
}

void quota_fleet::decide(std::size_t number, quota_decision const& decision)
{
    auto const found = this->open.find(decision.call);
    if (found == this->open.end())
        return;
    auto const call = found->second;
    this->open.erase(found);
    auto& result = this->teams[call.team];
    if (decision.step == quota_step::unavailable)
        ++result.unavailable;
    if (decision.step != quota_step::accept)
        return;
    if (this->draw() >= this->plan.not_run_part)
    {
        result.run.push_back({this->now, call.cost});
        return;
    }
    this->events.emplace(
        this->now + milliseconds{static_cast<int>(this->draw() * 1'000)},
        event{number, number,
              not_run_call{call.team, {decision.charge, this->now}}});
}

void quota_fleet::make_calls()
{
    constexpr double ms_per_s = 1'000;
    for (std::size_t team = 0; team < this->plan.teams.size(); ++team)
    {
        auto const& shown = this->plan.teams[team];
        double mean = 0;
        for (auto const& kind : shown.calls)
            mean += kind.part * kind.cost;
        std::poisson_distribution<int> count(
            shown.demand / mean * static_cast<double>(step.count()) / ms_per_s);
        for (int left = count(this->random); left > 0; --left)
            this->make_call(team);
    }
}

void quota_fleet::make_call(std::size_t team)
{
    auto const& shown = this->plan.teams[team];
    double left = this->draw();
    double cost = shown.calls.back().cost;
    for (auto const& kind : shown.calls)
    {
        left -= kind.part;
        if (left >= 0)
            continue;
        cost = kind.cost;
        break;
    }
    auto const to = this->place(shown);
    if (!this->gateways[to].is_running)
        return;
    this->teams[team].offered.push_back({this->now, cost});
    this->events.emplace(this->now,
                         event{to, to, arriving_call{team, cost, this->now}});
}

std::size_t quota_fleet::place(team_plan const& team)
{
    auto const count = this->gateways.size();
    if (team.where == placement::everywhere)
        return this->random() % count;
    if (team.where == placement::one)
        return 0;
    return static_cast<std::size_t>((this->now - start) / move_interval) * 7 %
           count;
}

void quota_fleet::tell_agent(agent& told, std::size_t number)
{
    bool const is_new =
        told.heard_at.insert_or_assign(number, this->now).second;
    auto const expired =
        std::erase_if(told.heard_at,
                      [this](auto const& row)
                      {
                          return this->now - row.second > agent_memory;
                      });
    if (!is_new && expired == 0)
        return;
    told.list.clear();
    for (auto const& [other, heard_at] : told.heard_at)
        told.list.push_back(host_of(other));
}

void quota_fleet::exchange_lists(std::size_t number)
{
    constexpr int targets = 2;
    for (int target = 0; target < targets; ++target)
    {
        std::size_t const chosen = this->random() % agent_count;
        if (!this->is_reachable(number, chosen) ||
            this->draw() < this->plan.loss)
            continue;
        bool const is_ignored =
            this->plan.lists_differ && chosen % 2 == 0 && number % 4 == 0;
        auto& told = this->agents[chosen];
        if (!is_ignored)
            this->tell_agent(told, number);
        auto& exchange = this->gateways[number].exchange;
        exchange.received_at = this->now;
        set_listed(exchange.gateways, told.list, exchange.own, this->now);
    }
}

void quota_fleet::review(std::size_t number)
{
    this->exchange_lists(number);
    auto& exchange = this->gateways[number].exchange;
    set_listed(exchange.gateways, exchange.gateways.listed, exchange.own,
               this->now);
    this->apply(number, review_quotas(exchange, this->now, this->draw()));
}

} // namespace jujubestand::limits::test
