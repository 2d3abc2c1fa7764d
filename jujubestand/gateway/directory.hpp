#ifndef JUJUBESTAND_GATEWAY_DIRECTORY_HPP
#define JUJUBESTAND_GATEWAY_DIRECTORY_HPP

#include <cstdint>
#include <jujubestand/core/time.hpp>
#include <jujubestand/gateway/query_pacing.hpp>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <vector>

/// \brief How gateways find each other while no agent tells them: each keeps a
/// record in the store, and reads those of the others now and then.
namespace jujubestand::gateway
{

/// \brief A gateway's record; its key is the IP address.
struct directory_record
{
    /// Bandwidth of the gateway's link, in Mbit/s.
    double link_mbps = 0;
    /// Wall clock time at which it was written, in ms.
    std::int64_t written_at_ms = 0;

    MSGPACK_DEFINE_ARRAY(link_mbps, written_at_ms)
};

/// \brief A record and the gateway that it is of.
struct directory_row
{
    std::string host;
    directory_record record;
};

/// \brief State of the exchange.
struct gateway_directory
{
    /// Since when no agent has been heard; empty while one is.
    std::optional<mono_time> in_use_since;
    mono_time write_due_at{};
    mono_time list_due_at{};
    bool is_list_open = false;
};

/// \brief IP addresses of the gateways with recent records, and of this one:
/// those with the most bandwidth first. Readers that don't answer are left out.
/// \param queries to the gateways that read the store
[[nodiscard]] std::vector<std::string>
listed_gateways(std::vector<directory_row> rows, directory_row const& own,
                query_map const& queries, wall_time wall_now, mono_time now);

/// \brief The list together with the gateways known before that it lacks: in
/// the first seconds not all have written their records.
[[nodiscard]] std::vector<std::string>
with_known(std::vector<std::string> listed,
           std::vector<std::string> const& known);

struct gateway_state;

/// \brief Writes and reads records if no agent is heard; runs at each tick.
void review_directory(gateway_state& state);

} // namespace jujubestand::gateway

#endif
