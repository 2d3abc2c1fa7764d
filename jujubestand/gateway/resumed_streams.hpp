#ifndef JUJUBESTAND_GATEWAY_RESUMED_STREAMS_HPP
#define JUJUBESTAND_GATEWAY_RESUMED_STREAMS_HPP

#include <jujubestand/gateway/state.hpp>
#include <string_view>

/// \brief Streams that callers resume, and the exchange between gateways of the
/// software versions that streams began at.
namespace jujubestand::gateway
{

/// \brief Whether a caller resumes a stream with this call.
[[nodiscard]] bool is_resumed(active_call const& call);

/// \brief Sends a resumed stream to an upstream of the version that began it,
/// queries other gateways for this version, or refuses the call.
void begin_resumed(gateway_state& state, dispatch::call_key key);

/// \brief Moves a call that needs a software version to another pool of its
/// route if its own has no upstream of that version that can take it.
void select_resume_pool(gateway_state& state, active_call& call);

/// \brief Handles a datagram on the origin of a stream from another gateway.
void on_origin_datagram(gateway_state& state, address const& sender,
                        std::string_view bytes);

/// \brief Decides on resumed streams whose queries have timed out.
void expire_origin_queries(gateway_state& state);

} // namespace jujubestand::gateway

#endif
