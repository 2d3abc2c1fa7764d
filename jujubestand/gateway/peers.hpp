#ifndef JUJUBESTAND_GATEWAY_PEERS_HPP
#define JUJUBESTAND_GATEWAY_PEERS_HPP

#include <jujubestand/gateway/state.hpp>
#include <string_view>

/// \brief Sharing of store records between gateways: two gateways read the
/// store and the others query these two. A gateway whose records become stale
/// reads the store directly.
namespace jujubestand::gateway
{

/// \brief Long-poll timeout of reads of the operator topic.
inline constexpr std::chrono::milliseconds operator_poll_timeout{500};

/// \brief Interval at which gateways and agents are queried.
inline constexpr std::chrono::milliseconds tick_interval{100};

/// \brief Queries the reading gateways and decides whether this gateway reads
/// the store directly.
void query_peers(gateway_state& state);

/// \brief Handles a datagram from another gateway.
void on_peer_datagram(gateway_state& state, address const& sender,
                      std::string_view bytes);

/// \brief Serves a record request of another gateway.
void on_records_request(gateway_state& state, http1::exchange_id exchange,
                        http1::server_request const& request);

/// \brief Fetches records from a gateway or an agent. Does nothing while a
/// fetch of the same path is in flight.
/// \param since offset of the first requested record
/// \param proven_at time at which the records were confirmed current
void fetch_records(gateway_state& state, std::string const& host,
                   follow::follower& topic, std::string const& path,
                   std::uint64_t since, mono_time proven_at);

inline constexpr char const* operator_records_path = "/records/operator";
inline constexpr char const* upstream_records_path = "/records/upstreams";

} // namespace jujubestand::gateway

#endif
