#include "cases.hpp"

#include <csignal>

// Orders to model engines, where engines don't check fences.
namespace review
{

namespace
{

constexpr char const* config =
    R"({"version":1,"routes":[{"name":"r-chat","host":"chat.example",)"
    R"("path-prefix":"/chat/","kind":"stream","timeout-ms":5000,)"
    R"("target-latency-ms":800,"priority":0,"service":"engines",)"
    R"("max-attempts":2,"public":true,"sticky":true,"resumable":true,)"
    R"("gap-aim-ms":800}],"services":[{"name":"engines",)"
    R"("health-path":"/health","max-conns":480,"protocol":"h1","tls":false,)"
    R"("engine":{"slots":64,"kv-capacity-tokens":93705,)"
    R"("kv-token-bytes":18432,"models":[{"name":"m1"}]}}],)"
    R"("limits":{"max-header-bytes":16384,"max-body-bytes":4194304,)"
    R"("header-timeout-ms":3000,"idle-timeout-ms":15000}})";

/// As in the settings of a deployment whose engines check no fences.
bounds unfenced_bounds()
{
    bounds result;
    result.contact_ms = 4'000;
    result.drain_ms = 3'000;
    result.config_apply_ms = 3'000;
    result.budget_slack = 94;
    result.is_fencing_required = false;
    result.version_ms = 15'000;
    return result;
}

void name_weights(world& all, record& log, std::uint64_t version)
{
    all.platform.put("keyed.op", "version/m1",
                     R"({"model":"m1","version":)" + std::to_string(version) +
                         '}');
    log.write("the operator names version " + std::to_string(version));
}

bool wait_loaded(world const& all, std::uint64_t version, milliseconds within)
{
    return wait_until(
        [&]
        {
            for (auto const& side : all.sides)
            {
                if (side->engine->weights() != version)
                    return false;
            }
            return true;
        },
        within);
}

/// Consumers, who show that the gateways and engines serve.
class consumers
{
public:
    consumers(world const& all, record& log)
        : thread(
              [this, &all, &log]
              {
                  this->send(all, log);
              })
    {
    }

    ~consumers()
    {
        this->is_ended = true;
        this->thread.join();
    }

    consumers(consumers const&) = delete;
    consumers& operator=(consumers const&) = delete;

private:
    void send(world const& all, record& log)
    {
        constexpr milliseconds interval{500};
        constexpr milliseconds limit{5'000};
        for (unsigned number = 1; !this->is_ended; ++number)
        {
            auto const id = "request-" + std::to_string(number);
            auto const part = std::to_string(1'000 + number);
            request const sent{"POST",
                               "/chat/2f",
                               {{"Host", "chat.example"},
                                {"X-Request-Id", id},
                                {"X-Model", "m1"},
                                {"X-Token-Usage", "100,8"},
                                {"X-Prompt-Prefix", "aa:50," + part + ":50"},
                                {"X-Deadline-Ms", "5000"}},
                               "text"};
            auto const& front = *all.fronts[number % all.fronts.size()];
            auto const got = call(front.callers, sent, limit);
            log.write(id + " at " + front.name + " is answered " +
                      std::to_string(got.status) +
                      (got.is_complete ? ", whole" : ", not whole"));
            pause_for(interval);
        }
    }

    std::atomic<bool> is_ended{false};
    std::thread thread;
};

/// Starts a deployment of two gateways and two engines with agents.
void start(world& all)
{
    constexpr milliseconds settling{2'500};
    all.platform.put("keyed.op", "config", config);
    for (int count = 0; count < 2; ++count)
        all.add_front();
    for (unsigned number = 1; number <= 2; ++number)
    {
        worker_traits traits;
        traits.id = "i-engine-" + std::to_string(number);
        traits.service = "engines";
        all.add_side(traits);
    }
    all.wait_ready();
    pause_for(settling);
}

/// A lower fence after a higher one, at a worker that doesn't check fences.
bool has_older_fence(std::vector<order> const& orders, record& log)
{
    bool result = false;
    order highest;
    for (auto const& given : orders)
    {
        if (given.fence < highest.fence)
        {
            log.write("ONE: fence " + std::to_string(given.fence) + " of " +
                      given.holder + " comes after " +
                      std::to_string(highest.fence) + " of " + highest.holder);
            result = true;
        }
        if (given.fence > highest.fence)
            highest = given;
    }
    return result;
}

/// Two holders whose orders are closer than the lease.
bool takes_turns(std::vector<order> const& orders, milliseconds lease,
                 record& log)
{
    bool result = false;
    for (std::size_t at = 1; at < orders.size(); ++at)
    {
        auto const& before = orders[at - 1];
        auto const& given = orders[at];
        if (before.holder == given.holder || given.at - before.at >= lease)
            continue;
        log.write("ONE: an order of " + given.holder + " comes " +
                  std::to_string((given.at - before.at).count()) +
                  " ms after one of " + before.holder);
        result = true;
    }
    return result;
}

constexpr milliseconds load_limit{12'000};

} // namespace

verdict play_frozen_agent(record& log, bool has_trouble)
{
    constexpr milliseconds freeze{6'900};
    constexpr milliseconds until_named{1'000};
    constexpr milliseconds margin{1'500};
    auto const limits = unfenced_bounds();
    world all(log, limits);
    start(all);
    consumers const callers(all, log);
    auto& side = *all.sides.front();
    if (has_trouble)
    {
        side.agent->signal(SIGSTOP);
        log.write("agent " + side.name + " stands still");
    }
    pause_for(until_named);
    name_weights(all, log, 2);
    pause_for(freeze - until_named);
    if (has_trouble)
    {
        side.agent->signal(SIGCONT);
        log.write("agent " + side.name + " goes on");
    }
    if (!wait_loaded(all, 2, load_limit))
        return verdict::not_run;
    pause_for(milliseconds{limits.contact_ms} + margin);
    name_weights(all, log, 3);
    if (!wait_loaded(all, 3, load_limit))
        return verdict::not_run;
    bool is_broken = false;
    for (auto const& machine : all.sides)
        is_broken |= has_older_fence(machine->engine->orders(), log);
    return is_broken ? verdict::broken : verdict::held;
}

verdict play_restarted_agent(record& log, bool has_trouble)
{
    constexpr milliseconds down{3'500};
    constexpr milliseconds until_named{1'000};
    constexpr milliseconds until_named_again{500};
    auto const limits = unfenced_bounds();
    milliseconds const lease{limits.lease_ms};
    world all(log, limits);
    start(all);
    consumers const callers(all, log);
    name_weights(all, log, 2);
    if (!wait_loaded(all, 2, load_limit))
        return verdict::not_run;
    pause_for(lease);
    auto& side = *all.sides.front();
    if (has_trouble)
    {
        side.agent->kill();
        log.write("agent " + side.name + " is killed");
    }
    pause_for(until_named);
    name_weights(all, log, 3);
    pause_for(down - until_named);
    if (has_trouble)
        all.start_agent(side);
    pause_for(until_named_again);
    name_weights(all, log, 4);
    if (!wait_loaded(all, 4, load_limit))
        return verdict::not_run;
    bool is_broken = false;
    for (auto const& machine : all.sides)
        is_broken |= takes_turns(machine->engine->orders(), lease, log);
    return is_broken ? verdict::broken : verdict::held;
}

} // namespace review
