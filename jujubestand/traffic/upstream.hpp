#ifndef JUJUBESTAND_TRAFFIC_UPSTREAM_HPP
#define JUJUBESTAND_TRAFFIC_UPSTREAM_HPP

#include <cstdint>
#include <jujubestand/core/address.hpp>
#include <map>
#include <optional>
#include <string>

namespace jujubestand::traffic
{

/// \brief One upstream, as it registers itself.
struct upstream_record
{
    /// Names one start of the upstream.
    std::string id;
    std::string pool;
    address where;
    std::string data_center;
    /// Calls that it runs at once; 0 if unknown.
    std::uint32_t slots = 0;
    /// Wall clock of its start, in ms; 0 if not reported. Another one
    /// under the same id means that it lost its state.
    std::uint64_t born_ms = 0;
    /// It takes no new work.
    bool is_leaving = false;
    /// Version of the upstream's software; empty if not reported. Streams
    /// of different software versions don't fit together.
    std::string software_version;
    /// Version of the weights of each model that it serves.
    std::map<std::string, std::uint64_t> versions;
};

} // namespace jujubestand::traffic

#endif
