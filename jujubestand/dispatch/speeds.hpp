#ifndef JUJUBESTAND_DISPATCH_SPEEDS_HPP
#define JUJUBESTAND_DISPATCH_SPEEDS_HPP

#include <jujubestand/dispatch/types.hpp>
#include <string>
#include <string_view>
#include <vector>

/// \brief Speeds of upstreams, learned from this gateway's own calls.
/// docs/design/speeds.md
namespace jujubestand::dispatch
{

/// \brief Prefill speed of an engine that decisions use.
[[nodiscard]] double prefill_tokens_per_ms(state const& dispatcher,
                                           upstream const& target);

/// \brief Mean prefill speed of a pool's available engines.
[[nodiscard]] double pool_prefill_tokens_per_ms(state const& dispatcher,
                                                std::string const& pool,
                                                mono_time now);

/// \brief Output time per token of an engine that decisions use.
[[nodiscard]] double output_ms_per_token(state const& dispatcher,
                                         upstream const& target);

/// \brief Duration of a plain service's calls in relation to the median of its
/// pool; empty while learned values are not in use.
[[nodiscard]] std::optional<double> relative_call_time(upstream const& target);

/// \brief Records output of a send; the first one ends its prefill.
/// \param events events of the response so far
void on_output(state& dispatcher, call_key call, std::uint64_t events,
               mono_time now);

/// \brief Records the end of a send.
void measure_end(state const& dispatcher, upstream& target,
                 open_send const& ended, send_outcome outcome, mono_time now);

/// \brief A pool has switched to learned speeds or back.
struct speeds_change
{
    std::string pool;
    /// `prefill` in tokens/ms, or `calls` in ms.
    std::string_view kind;
    bool is_learned = false;
    /// Median of the pool's upstreams.
    double median = 0;
    /// Ratio of the fastest to the slowest quarter, without noise.
    double spread = 1;
};

/// \brief Sets the speeds in use; to be called periodically.
/// \returns the pools that switched
[[nodiscard]] std::vector<speeds_change> review_speeds(state& dispatcher,
                                                       mono_time now);

} // namespace jujubestand::dispatch

#endif
