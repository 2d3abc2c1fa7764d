#include <benchmark/benchmark.h>
#include <jujubestand/prefix/chain.hpp>
#include <string>

namespace jujubestand
{

namespace
{

void make_chain(benchmark::State& run)
{
    auto const bytes = static_cast<std::size_t>(run.range(0));
    std::string const preamble(bytes / 4, 'p');
    std::string const annex(bytes - bytes / 4, 'x');
    std::vector<prefix::segment> const segments{{"system", preamble},
                                                {"user", annex}};
    prefix::chain_seed const seed{"depots", "m1", "", "7"};
    for (auto _ : run)
        benchmark::DoNotOptimize(prefix::make_chain(seed, segments, {}));
    run.SetBytesProcessed(static_cast<std::int64_t>(run.iterations()) *
                          run.range(0));
}

BENCHMARK(make_chain)->Range(1 << 12, 1 << 20);

} // namespace

} // namespace jujubestand
