#ifndef JUJUBESTAND_CLAIMS_APPENDS_HPP
#define JUJUBESTAND_CLAIMS_APPENDS_HPP

#include <jujubestand/claims/claimant.hpp>
#include <optional>

namespace jujubestand::claims
{

/// \brief Puts all waiting records into one append, unless one is in flight
/// or the pause after a failure has not passed.
[[nodiscard]] std::optional<append_wanted> flush(claimant& state, moment now);

/// \brief Requeues the records of an append without a result; those that
/// have been read from the log since are not sent again.
void take_back(claimant& state, batch records);

/// \brief Whether anything waits to be appended.
[[nodiscard]] bool has_waiting(claimant const& state) noexcept;

} // namespace jujubestand::claims

#endif
