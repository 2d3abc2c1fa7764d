#ifndef JUJUBESTAND_GATEWAY_PEERS_HPP
#define JUJUBESTAND_GATEWAY_PEERS_HPP

#include <jujubestand/gateway/state.hpp>
#include <string_view>

/// \brief Gateways share what they read from the store: two of them read, the
/// others ask these, and each reads by itself when nobody has news in time.
namespace jujubestand::gateway
{

/// \brief The store may wait this long for a record of the operator.
inline constexpr std::chrono::milliseconds operator_wait{500};

/// \brief How often gateways and agents are asked.
inline constexpr std::chrono::milliseconds tick_interval{100};

/// \brief Asks the gateways that read, and decides whether to read by itself.
void ask_peers(gateway_state& self);

/// \brief A datagram of another gateway came.
void on_peer_datagram(gateway_state& self, address const& from,
                      std::string_view bytes);

/// \brief Another gateway asks for records.
void on_records_request(gateway_state& self, http1::exchange_id exchange,
                        http1::server_request const& request);

/// \brief Gets records from a gateway or an agent.
/// \param since offset of the first record that is asked for
void fetch_records(gateway_state& self, std::string const& host,
                   follow::follower& topic, std::string const& path,
                   std::uint64_t since, mono_time proven_at);

inline constexpr char const* operator_records_path = "/records/operator";
inline constexpr char const* upstream_records_path = "/records/upstreams";

} // namespace jujubestand::gateway

#endif
