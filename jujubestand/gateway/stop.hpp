#ifndef JUJUBESTAND_GATEWAY_STOP_HPP
#define JUJUBESTAND_GATEWAY_STOP_HPP

#include <jujubestand/gateway/answers.hpp>
#include <jujubestand/gateway/state.hpp>

/// \brief Orderly stop of a gateway: which calls are still accepted, and what
/// becomes of those that are open when the grace period ends.
namespace jujubestand::gateway
{

/// \brief A stop, as far as the acceptance of a call depends on it.
struct stop_schedule
{
    mono_time started_at{};
    /// From the start of the stop until the process is killed.
    std::chrono::milliseconds grace{0};
};

/// \brief When open calls are answered, whatever their upstreams do.
[[nodiscard]] mono_time last_answer_time(stop_schedule const& stop) noexcept;

/// \brief Whether a call that arrives during a stop is accepted.
/// \param is_prompt the call is sent to a model engine
[[nodiscard]] bool is_accepted(stop_schedule const& stop, mono_time arrived_at,
                               mono_time deadline, bool is_prompt) noexcept;

/// \brief Whether a new call is accepted; always while the gateway serves.
[[nodiscard]] bool accepts_call(gateway_state const& state,
                                active_call const& call);

/// \brief The refusal of a call that is not accepted.
[[nodiscard]] problem draining_problem();

/// \brief Begins the stop, unless it has begun.
void begin_stop(gateway_state& state);

/// \brief Ends the loop once no call is open, or the grace period is over;
/// runs on a timer during the stop.
void check_stop(gateway_state& state);

} // namespace jujubestand::gateway

#endif
