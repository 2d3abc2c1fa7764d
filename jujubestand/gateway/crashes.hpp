#ifndef JUJUBESTAND_GATEWAY_CRASHES_HPP
#define JUJUBESTAND_GATEWAY_CRASHES_HPP

#include <jujubestand/gateway/state.hpp>
#include <string_view>
#include <vector>

/// \brief Calls that crash upstreams: evidence of this gateway, the exchange of
/// evidence with others, and the refusal of culprits.
namespace jujubestand::gateway
{

/// \brief Fingerprints of a call and of the shared parts of its prompt.
[[nodiscard]] std::vector<quarantine::suspect_key>
suspect_keys_of(active_call const& call);

/// \brief Records that an upstream has given output for a call.
void record_output(gateway_state& state, active_call& call);

/// \brief Records the end of an attempt as evidence for or against a crash of
/// its upstream.
void record_attempt(gateway_state& state, active_call const& call,
                    dispatch::send_outcome outcome, http1::call_end const& end);

/// \brief Records that a call left its upstream without an answer: its caller
/// left, its time ran out, or it was moved. It is evidence if the upstream
/// turns out to be lost.
void record_unanswered(gateway_state& state, active_call const& call);

/// \brief Records that an upstream's process is gone, by its record; before
/// the record changes.
void record_upstream_end(gateway_state& state, dispatch::upstream_key key);

/// \brief Refuses a call that is known to crash upstreams.
/// \returns whether the call was refused, and has ended
bool refuse_quarantined(gateway_state& state, dispatch::call_key key);

/// \brief Settles suspected crashes, looks for culprits, and sends news to the
/// other gateways and to the store.
void review_crashes(gateway_state& state);

/// \brief Handles a crash notice of another gateway.
void on_crash_datagram(gateway_state& state, address const& sender,
                       std::string_view bytes);

/// \brief Applies evidence of another gateway.
void apply_notice(gateway_state& state, quarantine::notice const& evidence);

/// \brief Refuses calls with a culprit that another gateway found.
/// \param source for the log
void apply_culprit(gateway_state& state, digest const& fingerprint,
                   wall_time until, char const* source);

} // namespace jujubestand::gateway

#endif
