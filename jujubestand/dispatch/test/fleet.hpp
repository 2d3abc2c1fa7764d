#ifndef JUJUBESTAND_DISPATCH_TEST_FLEET_HPP
#define JUJUBESTAND_DISPATCH_TEST_FLEET_HPP

#include <jujubestand/dispatch/choice.hpp>
#include <jujubestand/dispatch/parts.hpp>
#include <jujubestand/dispatch/standing.hpp>
#include <jujubestand/dispatch/upstreams.hpp>
#include <string>

/// \brief Engines and calls for the dispatch tests.
namespace jujubestand::dispatch
{

inline mono_time at(int ms)
{
    return mono_time{std::chrono::milliseconds{100'000 + ms}};
}

inline constexpr std::uint64_t engine_memory = 96'000;

inline traffic::upstream_record engine_record(int number)
{
    traffic::upstream_record record;
    record.id = "e" + std::to_string(number);
    record.pool = "engines";
    record.where = {"10.0.0." + std::to_string(number), 80};
    record.slots = 64;
    record.born_ms = 1;
    record.versions["m"] = 1;
    return record;
}

inline engine_load idle_load(int ms)
{
    engine_load load;
    load.reported_at = at(ms);
    load.report.memory_total = engine_memory;
    load.report.versions["m"] = 1;
    return load;
}

inline state fleet(int engines)
{
    state dispatcher;
    for (int number = 1; number <= engines; ++number)
    {
        on_upstream_record(dispatcher, engine_record(number));
        on_load_report(dispatcher, dispatcher.last_key, idle_load(0));
    }
    return dispatcher;
}

inline upstream& engine(state& dispatcher, int number)
{
    return dispatcher.upstreams.at(
        dispatcher.keys_by_id.at("e" + std::to_string(number)));
}

inline call prompt_call(call_key key, std::uint64_t shared_part, int ms = 0)
{
    call request;
    request.key = key;
    request.pool = "engines";
    request.cache_owner = "all";
    request.priority = 1;
    request.arrived_at = at(ms);
    request.deadline = at(ms + 5'000);
    request.target_latency = std::chrono::milliseconds{600};
    request.model_prompt = traffic::prompt{
        "m",
        {{1, 2'520}, {shared_part, 3'780}, {key + 1'000'000, 2'890}},
        9'190,
        60,
        30};
    return request;
}

inline void hold_parts(upstream& target, std::uint64_t shared_part)
{
    auto const scope = cache_scope("all", 1);
    target.cache.parts[status::hash_of(scope, 1)] = 2'520;
    target.cache.parts[status::hash_of(scope, shared_part)] = 3'780;
}

} // namespace jujubestand::dispatch

#endif
