#ifndef JUJUBESTAND_DISPATCH_PARTS_HPP
#define JUJUBESTAND_DISPATCH_PARTS_HPP

#include <jujubestand/dispatch/types.hpp>
#include <optional>
#include <vector>

/// \brief Who holds the parts of a prompt.
namespace jujubestand::dispatch
{

/// \brief A prompt's parts that others share, and those that are its own.
struct prompt_split
{
    std::vector<traffic::prompt_part> shared;
    double shared_tokens = 0;
    double own_tokens = 0;
    /// Part that decides which engine is the prompt's home.
    std::uint64_t home_part = 0;
};

[[nodiscard]] prompt_split split_of(traffic::prompt const& asked);

/// \brief Tokens of a prompt's shared parts that an engine holds under one
/// version of the weights, those included that it is about to read.
[[nodiscard]] double cached_tokens(state const& all, upstream const& one,
                                   call const& asked, prompt_split const& split,
                                   std::uint64_t weights, mono_time now);

/// \brief An engine or a store that holds most of a prompt's shared parts.
struct source
{
    std::uint64_t weights = 0;
    address where;
    upstream_key engine = 0;
    double tokens = 0;
    double ms_per_token = 0;
};

/// \brief The best source for each version of the weights.
[[nodiscard]] std::vector<source> find_sources(state const& all,
                                               call const& asked,
                                               prompt_split const& split,
                                               mono_time now);

/// \brief The source for one version; without tokens if there is none.
[[nodiscard]] source source_for(std::vector<source> const& all,
                                std::uint64_t weights);

/// \brief The store that should keep what an engine reads of shared parts.
/// \param read_tokens tokens that nobody holds
[[nodiscard]] std::optional<address>
store_for(state const& all, call const& asked, prompt_split const& split,
          double read_tokens, mono_time now);

/// \brief Text that a call's parts are cached under: other weights, or an
/// isolated team, never meet.
[[nodiscard]] std::string cache_scope(std::string const& owner,
                                      std::uint64_t weights);

} // namespace jujubestand::dispatch

#endif
