#ifndef JUJUBESTAND_STATUS_ENGINE_REPORT_HPP
#define JUJUBESTAND_STATUS_ENGINE_REPORT_HPP

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace jujubestand::status
{

/// \brief What a model engine reports of itself.
struct engine_report
{
    /// Version of the weights of each model.
    std::map<std::string, std::uint64_t> versions;
    /// It carries out an order.
    bool is_busy = false;
    /// Orders that it accepted since its start.
    std::uint64_t orders_accepted = 0;
    /// Calls that wait for a place.
    std::uint32_t queued = 0;
    /// Calls that run.
    std::uint32_t running = 0;
    /// Running calls that made no output yet.
    std::uint32_t reading = 0;
    /// Hashes of the ids of the running calls.
    std::vector<std::uint64_t> runs;
    /// Memory that running calls hold, in tokens.
    std::uint64_t memory_used = 0;
    std::uint64_t memory_total = 0;
    /// Wall clock of its start, in ms; 0 if it does not tell.
    std::uint64_t born_ms = 0;
};

} // namespace jujubestand::status

#endif
