#ifndef JUJUBESTAND_DISPATCH_CHOICE_HPP
#define JUJUBESTAND_DISPATCH_CHOICE_HPP

#include <jujubestand/dispatch/types.hpp>
#include <optional>

namespace jujubestand::dispatch
{

/// \brief An upstream that can take a call now, with the expected costs.
struct choice
{
    upstream_key upstream = 0;
    std::optional<std::uint64_t> weights;
    std::optional<address> fetch_from;
    std::optional<address> save_to;
    double expected_ms = 0;
    double cached_tokens = 0;
    double prefill_tokens = 0;
    double memory_tokens = 0;
    send_forecast forecast;
};

/// \brief Selects the upstream with the least expected time to the first
/// output.
/// \returns nothing if no upstream can take the call now
[[nodiscard]] std::optional<choice> choose(state const& dispatcher,
                                           call const& request, mono_time now);

} // namespace jujubestand::dispatch

#endif
