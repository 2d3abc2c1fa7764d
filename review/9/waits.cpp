// All machines beside model workers are lost. Requests that find the workers of
// another service full for a moment are then not sent again, and get no answer.
#include "../support-2/rig.hpp"

#include <nlohmann/json.hpp>

namespace
{

using namespace review;
using json = nlohmann::json;

constexpr std::size_t gateway_count = 4;
constexpr unsigned worker_count = 3;
constexpr int request_count = 12;
constexpr int route_timeout_ms = 800;
constexpr int time_budget_ms = 1'500;
/// All slots and places of all workers are taken by requests of other callers
/// for so long, from shortly before each request on.
constexpr std::int64_t full_ms = 45;
constexpr milliseconds full_before{5};

std::atomic<std::int64_t> full_until_ms{0};

std::string configuration()
{
    json const route{{"name", "r-1"},
                     {"host", "a.example"},
                     {"path-prefix", "/book/"},
                     {"kind", "unsafe"},
                     {"timeout-ms", route_timeout_ms},
                     {"target-latency-ms", 150},
                     {"priority", 2},
                     {"service", "app"},
                     {"max-attempts", 1},
                     {"public", true},
                     {"sticky", false}};
    json const app{{"name", "app"},
                   {"health-path", "/health"},
                   {"max-conns", 100},
                   {"protocol", "h1"},
                   {"tls", false}};
    json const engine{{"slots", 64},
                      {"kv-capacity-tokens", 95'939},
                      {"kv-token-bytes", 163'840},
                      {"max-inflight", 12},
                      {"models", json::array({{{"name", "m1"}}})}};
    json const llm{{"name", "llm"},
                   {"health-path", "/health"},
                   {"max-conns", 360},
                   {"protocol", "h1"},
                   {"engine", engine}};
    return json{{"version", 1},
                {"routes", json::array({route})},
                {"services", json::array({app, llm})}}
        .dump();
}

void serve(deployment& site, std::string const& worker, connection& peer)
{
    for (message asked; peer.read_message(asked, true);)
    {
        auto const id = asked.field("X-Request-Id");
        bool const is_full = now_ms() < full_until_ms;
        std::vector<std::pair<std::string, std::string>> fields{
            {"X-Request-Id", id}};
        site.record.line("worker " + worker +
                         (is_full ? " is full for " : " runs ") + id);
        if (is_full)
        {
            fields.emplace_back("X-Not-Executed", "1");
            peer.write(answer_text("503 Service Unavailable", fields, {}));
            continue;
        }
        sleep_for(milliseconds{30});
        fields.emplace_back("X-Response-Stamp", "stamp." + id);
        peer.write(answer_text("200 OK", fields, "booked " + id));
    }
}

/// Requests without an answer at their route's time-out, and half a second
/// later.
struct unanswered
{
    std::mutex mutex;
    int at_timeout = 0;
    int later = 0;
};

void book(deployment& site, std::size_t gateway, std::string const& id,
          unanswered& missing)
{
    site.record.line("client sends " + id);
    auto const sent_ms = now_ms();
    auto const open = connect_to(site.gateways[gateway].front);
    if (!open)
        return;
    auto const result =
        call(*open,
             request_text("POST", "/book/seat",
                          {{"Host", "a.example"},
                           {"X-Request-Id", id},
                           {"X-Deadline-Ms", std::to_string(time_budget_ms)}},
                          "seat"),
             time_budget_ms);
    site.record.line("client of " + id + " gets " +
                     std::to_string(result.status) + " after " +
                     std::to_string(now_ms() - sent_ms) + " ms");
    auto const took_ms =
        result.status == 0 ? time_budget_ms : result.ended_ms - sent_ms;
    std::lock_guard const lock(missing.mutex);
    missing.at_timeout += took_ms > route_timeout_ms;
    missing.later += took_ms > route_timeout_ms + 500;
}

int run(deployment& site)
{
    site.store.put("keyed.op", "config", configuration());
    std::vector<std::unique_ptr<server>> workers;
    auto const born_ms = wall_ms();
    for (unsigned number = 0; number < worker_count; ++number)
    {
        auto const id = "i-" + std::to_string(number);
        workers.push_back(std::make_unique<server>(site.host(50 + number), 0,
                                                   [&site, id](connection& peer)
                                                   {
                                                       serve(site, id, peer);
                                                   }));
        json const record{{"service", "app"},
                          {"address", workers.back()->address()},
                          {"zone", "almaty-a"},
                          {"version", "v1"},
                          {"slots", 6},
                          {"state", "ready"},
                          {"cold-remaining-ms", 0},
                          {"born", born_ms},
                          {"sequence", 1}};
        site.store.put("keyed.servers", id, record.dump());
    }
    engine model(site, "e-0", 100, "llm",
                 [](message const&, connection& peer)
                 {
                     peer.reset();
                 });
    model.beat();
    for (std::size_t number = 0; number < gateway_count; ++number)
        site.start_gateway();
    auto agent = site.start_agent(model.address(), "llm");
    int code = site.wait_ready(milliseconds{15'000}) ? 0 : 2;
    // A gateway has no budget for repeats before.
    sleep_for(milliseconds{11'000});
    if (!is_calm())
    {
        site.record.line("the machine beside the model worker is lost");
        agent.reset();
        sleep_for(milliseconds{3'600});
        site.store.put("keyed.servers", "e-0", {});
        sleep_for(milliseconds{3'000});
    }
    unanswered missing;
    std::vector<std::thread> clients;
    for (int number = 0; code == 0 && number < request_count; ++number)
    {
        full_until_ms = now_ms() + full_ms;
        sleep_for(full_before);
        clients.emplace_back(
            [&, number]
            {
                book(site, static_cast<std::size_t>(number) % gateway_count,
                     "b-" + std::to_string(number), missing);
            });
        sleep_for(milliseconds{1'500});
    }
    for (auto& client : clients)
        client.join();
    site.record.line(std::to_string(missing.at_timeout) + " of " +
                     std::to_string(request_count) +
                     " without an answer at the time-out of their route, " +
                     std::to_string(missing.later) +
                     " of them half a second later");
    constexpr int few = 4;
    if (code == 0 && missing.at_timeout >= few &&
        2 * missing.later > missing.at_timeout)
    {
        site.record.line("BROKEN CONFIG");
        code = 1;
    }
    site.record.line("result " + std::to_string(code));
    agent.reset();
    site.clean();
    finish(code);
}

} // namespace

int main(int /*count*/, char** arguments)
{
    review::deployment site(arguments[1]);
    return run(site);
}
