#ifndef JUJUBESTAND_DISPATCH_CHOICE_HPP
#define JUJUBESTAND_DISPATCH_CHOICE_HPP

#include <jujubestand/dispatch/types.hpp>
#include <optional>

namespace jujubestand::dispatch
{

/// \brief An upstream that can take a call now.
struct choice
{
    upstream_key upstream = 0;
    std::optional<std::uint64_t> weights;
    std::optional<address> fetch_from;
    std::optional<address> save_to;
    double expected_ms = 0;
    double cached_tokens = 0;
    double reading_tokens = 0;
    double memory_tokens = 0;
};

/// \brief The upstream with the least expected time to the first output;
/// nothing if none can take the call now.
[[nodiscard]] std::optional<choice> choose(state const& all, call const& asked,
                                           mono_time now);

/// \brief Text that a call's parts are cached under: other weights, or an
/// isolated team, never meet.
[[nodiscard]] std::string cache_scope(std::string const& owner,
                                      std::uint64_t weights);

/// \brief Upstreams of a pool that take calls, whether they have room or not.
[[nodiscard]] std::size_t usable(state const& all, std::string const& pool,
                                 mono_time now);

/// \brief Prompt tokens that an engine has yet to read.
[[nodiscard]] double reading_backlog(state const& all, upstream const& one);

} // namespace jujubestand::dispatch

#endif
