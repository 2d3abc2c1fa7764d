#include <algorithm>
#include <gtest/gtest.h>
#include <jujubestand/limits/permit_holder.hpp>
#include <jujubestand/limits/permit_issuer.hpp>
#include <random>
#include <vector>

// A fleet of gateways that share the limit of one upstream, over messages that
// are delayed and lost, with restarts and pauses. Checks the calls that the
// upstream gets, and how much of its limit is used.
namespace jujubestand::limits
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds step{2};
constexpr milliseconds window{4'000};
constexpr double excess_ratio = 1.5;
constexpr double excess_calls = 5;

mono_time const start{std::chrono::seconds{100}};

struct fleet_plan
{
    std::size_t gateways = 4;
    double calls_per_second = 1.2;
    /// Calls a second of all gateways together.
    double demand = 30;
    double loss = 0.01;
    /// A gateway is restarted or paused this often; 0: never.
    milliseconds fault_interval{0};
    milliseconds duration{30'000};
    unsigned seed = 1;
};

struct sent_message
{
    mono_time arrives_at{};
    std::size_t from = 0;
    std::size_t to = 0;
    std::optional<permit_request> request;
    std::optional<permit_answer> answer;
};

struct simulated_gateway
{
    permit_holder holder;
    permit_issuer issuer;
    mono_time paused_until{};
};

struct fleet_result
{
    std::vector<mono_time> arrivals;
    std::size_t messages = 0;
};

class fleet
{
public:
    explicit fleet(fleet_plan const& chosen)
        : plan(chosen)
        , random(chosen.seed)
        , gateways(chosen.gateways)
    {
        for (std::size_t number = 0; number < this->plan.gateways; ++number)
            this->hosts.push_back("10.0.0." + std::to_string(number));
        this->issuer_host = *issuer_of(this->hosts, this->limit.upstream);
        this->limit.is_named = true;
        this->limit.calls_per_second = this->plan.calls_per_second;
        for (auto& gateway : this->gateways)
            gateway.holder = begin_holding({}, 0, 1, start);
    }

    fleet_result run()
    {
        auto next_fault = start + this->plan.fault_interval;
        for (auto now = start; now < start + this->plan.duration; now += step)
        {
            if (this->plan.fault_interval.count() > 0 && now >= next_fault)
            {
                this->disturb(now);
                next_fault += this->plan.fault_interval;
            }
            this->deliver(now);
            this->call(now);
            this->request(now);
        }
        return this->result;
    }

private:
    double draw()
    {
        return std::uniform_real_distribution<double>()(this->random);
    }

    bool is_paused(std::size_t number, mono_time now) const
    {
        return this->gateways[number].paused_until > now;
    }

    void send(sent_message message, mono_time now)
    {
        ++this->result.messages;
        if (this->draw() < this->plan.loss)
            return;
        message.arrives_at =
            now + milliseconds{1 + static_cast<int>(this->draw() * 4)};
        this->in_flight.push_back(std::move(message));
    }

    // A restart loses what a gateway knew; a pause delays what it receives.
    void disturb(mono_time now)
    {
        auto& gateway = this->gateways[this->random() % this->gateways.size()];
        if (this->draw() < 0.5)
            gateway = {
                begin_holding({}, 0, 1, now), {}, now + milliseconds{300}};
        else
            gateway.paused_until = now + milliseconds{2'000};
    }

    void deliver(mono_time now)
    {
        std::vector<sent_message> due;
        std::erase_if(this->in_flight,
                      [&](sent_message const& message)
                      {
                          bool const is_due = message.arrives_at <= now &&
                                              !this->is_paused(message.to, now);
                          if (is_due)
                              due.push_back(message);
                          return is_due;
                      });
        for (auto const& message : due)
            this->receive(message, now);
    }

    void receive(sent_message const& message, mono_time now)
    {
        auto& gateway = this->gateways[message.to];
        if (message.answer)
        {
            on_answer(gateway.holder, *message.answer, now);
            return;
        }
        sent_message answer;
        answer.from = message.to;
        answer.to = message.from;
        answer.answer =
            issue(gateway.issuer, this->hosts[message.from], *message.request,
                  this->plan.calls_per_second, now, this->draw());
        this->send(std::move(answer), now);
    }

    // A call arrives at a random gateway, and is sent if that has a permit.
    void call(mono_time now)
    {
        double const chance =
            this->plan.demand * static_cast<double>(step.count()) / 1'000;
        for (double left = chance; left > 0; left -= 1)
        {
            if (this->draw() >= left)
                continue;
            auto const number = this->random() % this->gateways.size();
            auto& holder = this->gateways[number].holder;
            if (this->is_paused(number, now))
                continue;
            holder.needed_at = now;
            if (!has_permit(holder, now))
                continue;
            use_permit(holder);
            this->result.arrivals.push_back(now);
        }
    }

    void request(mono_time now)
    {
        for (std::size_t number = 0; number < this->gateways.size(); ++number)
        {
            auto& holder = this->gateways[number].holder;
            if (this->is_paused(number, now))
                continue;
            expire_request(holder, now);
            if (!is_request_due(holder, now))
                continue;
            sent_message message;
            message.from = number;
            message.to = this->issuer_number();
            message.request = begin_request(holder, this->limit, 1, now);
            this->send(std::move(message), now);
        }
    }

    std::size_t issuer_number() const
    {
        return static_cast<std::size_t>(std::find(this->hosts.begin(),
                                                  this->hosts.end(),
                                                  this->issuer_host) -
                                        this->hosts.begin());
    }

    fleet_plan plan;
    std::mt19937 random;
    std::vector<simulated_gateway> gateways;
    std::vector<std::string> hosts;
    std::string issuer_host;
    limit_record limit{upstream_id{"e1"}, incarnation_id{1}};
    std::vector<sent_message> in_flight;
    fleet_result result;
};

std::size_t most_in_window(std::vector<mono_time> const& times)
{
    std::size_t most = 0;
    for (auto last = times.begin(); last != times.end(); ++last)
    {
        auto const first =
            std::upper_bound(times.begin(), last, *last - window);
        most = std::max(most, static_cast<std::size_t>(last - first) + 1);
    }
    return most;
}

double calls_allowed(double per_second)
{
    return excess_ratio * per_second *
               std::chrono::duration<double>(window).count() +
           excess_calls;
}

double share_used(fleet_plan const& plan, fleet_result const& result)
{
    return static_cast<double>(result.arrivals.size()) /
           (plan.calls_per_second *
            std::chrono::duration<double>(plan.duration).count());
}

std::vector<fleet_plan> all_sizes()
{
    std::vector<fleet_plan> plans;
    for (std::size_t const gateways :
         {std::size_t{4}, std::size_t{28}, std::size_t{390}})
    {
        for (double const calls_per_second : {0.5, 1.2, 50.0})
        {
            fleet_plan plan;
            plan.gateways = gateways;
            plan.calls_per_second = calls_per_second;
            plan.demand = 8 * static_cast<double>(gateways);
            plans.push_back(plan);
        }
    }
    return plans;
}

std::string name_of(fleet_plan const& plan)
{
    return std::to_string(plan.gateways) + " gateways, " +
           std::to_string(plan.calls_per_second) + " a second, seed " +
           std::to_string(plan.seed);
}

} // namespace

// Equal shares of a limit are far below one call for most of these.
TEST(fleet, uses_a_limit_and_keeps_it_at_each_size)
{
    for (auto const& plan : all_sizes())
    {
        auto const result = fleet(plan).run();
        EXPECT_LE(most_in_window(result.arrivals),
                  calls_allowed(plan.calls_per_second))
            << name_of(plan);
        double const used = share_used(plan, result);
        // With few gateways, less may be asked for than the limit allows.
        double const wanted =
            std::min(1.0, plan.demand / plan.calls_per_second);
        EXPECT_GE(used, 0.8 * wanted) << name_of(plan);
        RecordProperty(name_of(plan),
                       std::to_string(used) + " used, " +
                           std::to_string(result.messages /
                                          static_cast<std::size_t>(
                                              plan.duration.count() / 1'000)) +
                           " messages a second");
    }
}

// Gateways that were restarted or stood still used the limit once more.
TEST(fleet, keeps_a_limit_while_gateways_restart_and_stand_still)
{
    constexpr unsigned seeds = 20;
    for (unsigned seed = 1; seed <= seeds; ++seed)
    {
        fleet_plan plan;
        plan.seed = seed;
        plan.gateways = 3 + seed % 26;
        plan.calls_per_second = seed % 3 == 0 ? 50 : 1.2;
        plan.demand = 20 * static_cast<double>(plan.gateways);
        plan.loss = 0.1;
        plan.fault_interval = milliseconds{700};
        plan.duration = milliseconds{20'000};
        auto const result = fleet(plan).run();
        EXPECT_LE(most_in_window(result.arrivals),
                  calls_allowed(plan.calls_per_second))
            << name_of(plan);
        EXPECT_GT(share_used(plan, result), 0.2) << name_of(plan);
    }
}

} // namespace jujubestand::limits
