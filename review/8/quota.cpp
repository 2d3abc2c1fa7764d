// A version of the config takes a key away and names no `rate-per-s` for
// another tenant, which has no limit from then on.
#include "../support-2/rig.hpp"

#include <nlohmann/json.hpp>

namespace
{

using namespace review;
using json = nlohmann::json;

constexpr std::size_t gateway_count = 2;
constexpr std::int64_t revoke_ms = 5'000;

std::string configuration(std::uint64_t version, json const& fast_tenant,
                          std::vector<std::string> const& other_keys)
{
    json const route{
        {"name", "r-1"},   {"host", "a.example"}, {"path-prefix", "/stock/"},
        {"kind", "safe"},  {"timeout-ms", 4'000}, {"target-latency-ms", 300},
        {"priority", 2},   {"service", "app"},    {"max-attempts", 2},
        {"public", false}, {"sticky", false}};
    json const service{{"name", "app"},
                       {"health-path", "/health"},
                       {"max-conns", 220},
                       {"protocol", "h1"},
                       {"tls", false}};
    json const other{{"name", "t-other"},
                     {"api-keys", other_keys},
                     {"priority", 1},
                     {"isolated", false}};
    return json{{"version", version},
                {"routes", json::array({route})},
                {"services", json::array({service})},
                {"tenants", json::array({fast_tenant, other})}}
        .dump();
}

json tenant(double rate)
{
    return {{"name", "t-fast"},    {"api-keys", json::array({"key-fast"})},
            {"priority", 1},       {"unit", "tokens"},
            {"plain-tokens", 200}, {"isolated", false},
            {"rate-per-s", rate},  {"burst", 481'852}};
}

int ask(deployment& site, std::size_t gateway, std::string const& id,
        std::string const& key)
{
    auto const open = connect_to(site.gateways[gateway].front);
    if (!open)
        return 0;
    auto const result = call(*open,
                             request_text("GET", "/stock/1",
                                          {{"Host", "a.example"},
                                           {"X-Request-Id", id},
                                           {"X-Deadline-Ms", "4000"},
                                           {"X-Api-Key", key}},
                                          {}),
                             4'000);
    site.record.line("client of " + id + " with " + key + " gets " +
                     std::to_string(result.status));
    return result.status;
}

int run(deployment& site)
{
    std::mutex mutex;
    std::map<std::string, int> runs;
    server const worker(
        site.host(50), 0,
        [&](connection& peer)
        {
            for (message asked; peer.read_message(asked, true);)
            {
                auto const id = asked.field("X-Request-Id");
                site.record.line("worker runs " + id + " of " +
                                 asked.field("X-Tenant"));
                {
                    std::lock_guard const lock(mutex);
                    ++runs[id];
                }
                peer.write(answer_text(
                    "200 OK",
                    {{"X-Request-Id", id}, {"X-Response-Stamp", "stamp." + id}},
                    "stock"));
            }
        });
    json const record{{"service", "app"},
                      {"address", worker.address()},
                      {"zone", "almaty-a"},
                      {"version", "v1"},
                      {"slots", 6},
                      {"state", "ready"},
                      {"cold-remaining-ms", 0},
                      {"born", wall_ms()},
                      {"sequence", 1}};
    site.store.put("keyed.servers", "i-0", record.dump());
    site.store.put("keyed.op", "config",
                   configuration(1, tenant(481'852), {"key-a", "key-b"}));
    site.bounds["config-apply-ms"] = "3000";
    site.bounds["drain-ms"] = "3000";
    site.bounds["contact-ms"] = "4000";
    site.bounds["quota-window-s"] = "8";
    site.bounds["quota-overage"] = "0.1";
    site.bounds["quota-slack"] = "110000";
    for (std::size_t number = 0; number < gateway_count; ++number)
        site.start_gateway();
    int code = site.wait_ready(milliseconds{15'000}) ? 0 : 2;
    sleep_for(milliseconds{3'000});
    for (std::size_t gateway = 0; gateway < gateway_count; ++gateway)
    {
        auto const id = "before-" + std::to_string(gateway);
        if (ask(site, gateway, id, "key-a") != 200)
            code = 2;
    }
    json unlimited = tenant(0);
    if (!is_calm())
        unlimited.erase("rate-per-s");
    site.store.put("keyed.op", "config",
                   configuration(2, unlimited, {"key-b"}));
    site.record.line("ack of version 2, which takes key-a away");
    sleep_for(milliseconds{revoke_ms + 1'000});
    constexpr int rounds = 5;
    for (int round = 0; code == 0 && round < rounds; ++round)
    {
        for (std::size_t gateway = 0; gateway < gateway_count; ++gateway)
            ask(site, gateway,
                "after-" + std::to_string(round) + '-' +
                    std::to_string(gateway),
                "key-a");
        sleep_for(milliseconds{2'000});
    }
    int late = 0;
    for (auto const& [id, count] : runs)
        late += id.starts_with("after-") ? count : 0;
    site.record.line(std::to_string(late) +
                     " requests ran with a key that was taken away");
    if (code == 0 && late > 0)
    {
        site.record.line("BROKEN CONFIG");
        code = 1;
    }
    site.record.line("result " + std::to_string(code));
    site.clean();
    finish(code);
}

} // namespace

int main(int /*count*/, char** arguments)
{
    review::deployment site(arguments[1]);
    return run(site);
}
