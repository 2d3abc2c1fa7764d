#include "cases.hpp"

// Prompts of tenants of which one is isolated.
namespace review
{

namespace
{

std::string config(std::uint64_t version, bool is_isolated)
{
    return R"({"version":)" + std::to_string(version) +
           R"(,"routes":[{"name":"r-annex","host":"annex.example",)"
           R"("path-prefix":"/annex/","kind":"stream","timeout-ms":5000,)"
           R"("target-latency-ms":800,"priority":1,"service":"engines",)"
           R"("max-attempts":1,"public":false,"sticky":true,)"
           R"("resumable":false,"gap-aim-ms":400}],)"
           R"("services":[{"name":"engines","health-path":"/health",)"
           R"("max-conns":370,"protocol":"h1","tls":false,)"
           R"("engine":{"slots":64,"kv-capacity-tokens":104900,)"
           R"("kv-token-bytes":163840,"models":[{"name":"m1"}]}}],)"
           R"("tenants":[{"name":"alpha","api-keys":["key-of-alpha"],)"
           R"("isolated":)" +
           (is_isolated ? "true" : "false") +
           R"(},{"name":"beta","api-keys":["key-of-beta"],)"
           R"("isolated":false}],)"
           R"("limits":{"max-header-bytes":16384,"max-body-bytes":4194304,)"
           R"("header-timeout-ms":3000,"idle-timeout-ms":15000}})";
}

/// Shared parts of a prompt. Ids are hexadecimal; the pages state no length.
constexpr char const* shared_parts =
    "5c1e07a29f3b64d80a7be1c455d2f1e9:800,91bd3f06c2a84e179b30d5f7e6a1c04d:410";

} // namespace

verdict play_long_ids(record& log, bool has_trouble)
{
    constexpr milliseconds settling{2'500};
    constexpr milliseconds limit{5'000};
    constexpr int rounds = 5;
    bounds const limits;
    world all(log, limits);
    all.platform.put("keyed.op", "config", config(1, false));
    all.add_front();
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
    if (has_trouble)
    {
        all.platform.put("keyed.op", "config", config(2, true));
        log.write("the operator makes tenant alpha isolated");
    }
    pause_for(milliseconds{2 * limits.config_apply_ms});
    bool is_served = true;
    std::size_t count = 0;
    for (int round = 1; round <= rounds; ++round)
    {
        for (std::string const tenant : {"alpha", "beta"})
        {
            auto const id = tenant + '-' + std::to_string(round);
            request const sent{
                "POST",
                "/annex/2f",
                {{"Host", "annex.example"},
                 {"X-Request-Id", id},
                 {"X-Api-Key", "key-of-" + tenant},
                 {"X-Model", "m1"},
                 {"X-Token-Usage", "1460,8"},
                 {"X-Prompt-Prefix", std::string(shared_parts) + ",e4402b" +
                                         std::to_string(10 + ++count) + ":250"},
                 {"X-Deadline-Ms", "5000"}},
                "text"};
            auto const& front = *all.fronts[count % all.fronts.size()];
            auto const got = call(front.callers, sent, limit);
            log.write(id + " at " + front.name + " is answered " +
                      std::to_string(got.status) +
                      (got.is_complete ? ", whole" : ", not whole"));
            is_served = is_served && got.status == 200;
        }
    }
    if (!is_served)
        return verdict::not_run;
    std::size_t shared_uses = 0;
    for (auto const& side : all.sides)
        shared_uses += side->engine->shared_parts().size();
    log.write(std::to_string(shared_uses) +
              " uses of parts that another tenant's requests made");
    if (!has_trouble || shared_uses == 0)
        return verdict::held;
    log.write("WALL: one of the two tenants is isolated");
    return verdict::broken;
}

} // namespace review
