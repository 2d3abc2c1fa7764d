#ifndef JUJUBESTAND_CLAIMS_CALL_STATES_HPP
#define JUJUBESTAND_CLAIMS_CALL_STATES_HPP

#include <jujubestand/claims/claimant.hpp>
#include <map>

/// \brief States of the calls that a claimant holds; for the claimant only.
namespace jujubestand::claims
{

using call_place = std::map<std::uint64_t, claimed_call>::iterator;

/// \brief The call of a request, or the end.
[[nodiscard]] call_place find_call(claimant& state, request_id const& request);

/// \brief Names one call of this claimant in the log.
[[nodiscard]] claim_nonce nonce_of(claimant const& state, std::uint64_t number);

/// \brief Has a claim taken back by the next record.
void queue_abandon(claimant& state, std::uint64_t number, digest const& key);

/// \brief Refuses a call, which does not run here any more.
/// \returns the call after it
call_place refuse_call(claimant& state, call_place at, reason_code code,
                       claim_effects& effects);

/// \brief A call's claim holds: it may run, unless its time is over.
void start_call(claimant& state, std::uint64_t number, moment now,
                claim_effects& effects);

/// \brief A call's claim is void: it waits for what the holder records.
void void_call(claimant& state, std::uint64_t number, moment now);

} // namespace jujubestand::claims

#endif
