#ifndef JUJUBESTAND_DISPATCH_STANDING_HPP
#define JUJUBESTAND_DISPATCH_STANDING_HPP

#include <jujubestand/dispatch/types.hpp>

/// \brief Whether an upstream takes calls at all.
namespace jujubestand::dispatch
{

/// \brief Whether an engine's report is recent enough to go by.
[[nodiscard]] bool is_fresh(state const& all, upstream const& one,
                            mono_time now);

/// \brief Whether an upstream takes calls, with or without room.
[[nodiscard]] bool is_in_use(state const& all, upstream const& one,
                             mono_time now);

/// \brief Upstreams of a pool that take calls, whether they have room or not.
[[nodiscard]] std::size_t usable(state const& all, std::string const& pool,
                                 mono_time now);

/// \brief Whether a call may begin on an engine's weights, and at what cost.
struct weights_standing
{
    bool is_allowed = false;
    /// Newer ones are wanted.
    bool is_old = false;
    std::uint64_t version = 0;
    double cost_ms = 0;
};

/// \brief How an engine's weights stand to those that are wanted.
[[nodiscard]] weights_standing weights_of(state const& all, upstream const& one,
                                          std::string const& model,
                                          mono_time now);

} // namespace jujubestand::dispatch

#endif
