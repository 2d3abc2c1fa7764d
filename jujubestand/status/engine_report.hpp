#ifndef JUJUBESTAND_STATUS_ENGINE_REPORT_HPP
#define JUJUBESTAND_STATUS_ENGINE_REPORT_HPP

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace jujubestand::status
{

/// \brief Status report of a model engine.
struct engine_report
{
    /// Version of the weights of each model.
    std::map<std::string, std::uint64_t> versions;
    /// The engine is carrying out an order.
    bool is_busy = false;
    /// Orders accepted since the start of the engine.
    std::uint64_t orders_accepted = 0;
    /// Calls that wait for a slot.
    std::uint32_t queued = 0;
    /// Running calls.
    std::uint32_t running = 0;
    /// Running calls in prefill, without output so far.
    std::uint32_t prefilling = 0;
    /// Hashes of the ids of the running calls.
    std::vector<std::uint64_t> running_ids;
    /// Memory in use by running calls, in tokens.
    std::uint64_t memory_used = 0;
    std::uint64_t memory_total = 0;
    /// Wall clock time of the engine's start, in ms; 0 if not reported.
    std::uint64_t started_at_ms = 0;
};

} // namespace jujubestand::status

#endif
