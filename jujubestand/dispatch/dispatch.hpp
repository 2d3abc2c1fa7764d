#ifndef JUJUBESTAND_DISPATCH_DISPATCH_HPP
#define JUJUBESTAND_DISPATCH_DISPATCH_HPP

#include <jujubestand/dispatch/types.hpp>
#include <vector>

namespace jujubestand::dispatch
{

/// \brief Decides on a call that came in, or that comes back after an
/// upstream did not run it: where it goes, or that it waits, or that it
/// can't be served and when its caller should come back.
[[nodiscard]] decision submit(state& all, call const& asked, mono_time now);

/// \brief Decides on the calls that wait, most urgent first, after anything
/// changed or time went by. Calls that go on waiting are not listed.
[[nodiscard]] std::vector<decision> review(state& all, mono_time now);

/// \brief Whether a call that runs at an upstream could go to another one at
/// once.
[[nodiscard]] bool has_alternative(state const& all, call const& asked,
                                   upstream_key besides, mono_time now);

/// \brief A waiting call's caller left.
void forget(state& all, call_key call);

} // namespace jujubestand::dispatch

#endif
