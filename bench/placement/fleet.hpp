#ifndef JUJUBESTAND_BENCH_PLACEMENT_FLEET_HPP
#define JUJUBESTAND_BENCH_PLACEMENT_FLEET_HPP

#include <bench/support/workload.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace jujubestand::bench
{

/// \brief Costs of a stand-in engine; docs/design/placement.md gives them.
struct engine_size
{
    double step_us = 12'000;
    double decode_us = 250;
    double prefill_us_per_token = 40;
    std::size_t prefill_tokens_per_step = 512;
    std::size_t slots = 16;
    std::size_t cache_blocks = 6'000;
};

/// \brief Sizes and distances of one deployment, and its prompts.
struct fleet
{
    std::string name;
    std::vector<std::string> data_centres;
    std::size_t engines = 10;
    /// One way between two data centres, and from a caller to an entry.
    std::int64_t centre_distance_us = 1'000;
    std::int64_t caller_distance_us = 1'000;
    double tail_weight = 0.5;
    workload prompts;
    engine_size engine;
    /// Requests per second that the engines can keep up with.
    double capacity = 100;
};

/// \brief Qoyma's workers in Almaty and Shymkent.
[[nodiscard]] fleet qoyma();

/// \brief Quintela Berro's workers in Montevideo.
[[nodiscard]] fleet quintela();

} // namespace jujubestand::bench

#endif
