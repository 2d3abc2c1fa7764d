#ifndef JUJUBESTAND_GATEWAY_WASTED_WORK_HPP
#define JUJUBESTAND_GATEWAY_WASTED_WORK_HPP

#include <cstdint>
#include <jujubestand/core/time.hpp>
#include <optional>

/// \brief Count of the calls whose callers left after the calls had been sent.
namespace jujubestand::gateway
{

/// \brief Such calls since the last report.
struct wasted_work
{
    std::uint64_t calls = 0;
    /// Of their prompts, and the limits of their output.
    double tokens = 0;
    std::optional<mono_time> reported_at;
};

/// \brief Counts one more call.
void add_wasted_call(wasted_work& work, double tokens);

/// \brief Takes what is to be reported now: at most once a second, and only if
/// a call was counted.
[[nodiscard]] std::optional<wasted_work> take_wasted_work(wasted_work& work,
                                                          mono_time now);

} // namespace jujubestand::gateway

#endif
