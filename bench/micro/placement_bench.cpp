#include <benchmark/benchmark.h>
#include <jujubestand/placement/placement.hpp>

namespace jujubestand
{

namespace
{

constexpr std::uint64_t draws_factor = 0x9e3779b97f4a7c15ULL;

placement::placement_state pool_of(std::size_t count, mono_time now)
{
    placement::placement_state state;
    std::vector<placement::member> members;
    for (std::size_t number = 0; number < count; ++number)
        members.push_back({upstream_id("engine-" + std::to_string(number)),
                           data_centre_id("almaty-a"), microseconds(500), false,
                           false});
    placement::set_members(state, members);
    link::probe_reply reply;
    reply.ready = true;
    reply.role = "mixed";
    for (auto const& each : members)
        placement::record_reply(state, {each.upstream, now, reply}, now);
    return state;
}

/// Plan, replies, choice and what is kept of it: the whole decision for one
/// request.
void decide(benchmark::State& run)
{
    mono_time const now{std::chrono::seconds(100)};
    auto state = pool_of(static_cast<std::size_t>(run.range(0)), now);
    std::uint64_t number = 0;
    for (auto _ : run)
    {
        ++number;
        std::uint64_t const draw = number * draws_factor;
        placement::placement_request request;
        for (std::uint64_t level = 1; level <= 8; ++level)
            request.prompt.levels.push_back(
                {{level, draw >> (8 * (8 - level))},
                 static_cast<std::uint32_t>(level * 500)});
        request.prompt.prompt_tokens = 4000;
        auto const plan = placement::plan_probes(state, request, now, draw);
        std::vector<placement::probe_outcome> replies;
        for (auto const& upstream : plan.probes)
        {
            link::probe_reply reply;
            reply.ready = true;
            reply.role = "mixed";
            replies.push_back({upstream, now, reply});
            placement::record_reply(state, replies.back(), now);
        }
        auto const chosen =
            placement::choose(state, request, replies, now, draw);
        if (chosen && number % 64 == 0)
            placement::record_sent(state, request, *chosen, now);
        benchmark::DoNotOptimize(chosen);
    }
}

BENCHMARK(decide)->Arg(10)->Arg(20)->Arg(600);

} // namespace

} // namespace jujubestand
