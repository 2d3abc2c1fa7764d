#ifndef JUJUBESTAND_CLAIMS_REFUSAL_HPP
#define JUJUBESTAND_CLAIMS_REFUSAL_HPP

#include <jujubestand/claims/claimant.hpp>

namespace jujubestand::claims
{

/// \brief The answer to a call that this claimant will never run.
[[nodiscard]] answer_wanted refusal(request_id const& request,
                                    reason_code code);

/// \brief The answer to a call whose key another claim may have run.
[[nodiscard]] answer_wanted uncertain(request_id const& request,
                                      reason_code code);

/// \brief The answer to a repeat of a call that has ended.
[[nodiscard]] answer_wanted recorded_answer(request_id const& request,
                                            call_outcome const& outcome);

} // namespace jujubestand::claims

#endif
