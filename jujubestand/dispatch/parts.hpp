#ifndef JUJUBESTAND_DISPATCH_PARTS_HPP
#define JUJUBESTAND_DISPATCH_PARTS_HPP

#include <jujubestand/dispatch/types.hpp>
#include <optional>
#include <vector>

/// \brief Location of cached prompt parts.
namespace jujubestand::dispatch
{

/// \brief The parts that a prompt shares with others, and the size of its own
/// part.
struct prompt_split
{
    std::vector<traffic::prompt_part> shared;
    double shared_tokens = 0;
    double own_tokens = 0;
    /// Part whose hash selects the prompt's home engine.
    std::uint64_t home_part = 0;
};

[[nodiscard]] prompt_split split_prompt(traffic::prompt const& model_prompt);

/// \brief Tokens of a prompt's shared parts that an engine holds under one
/// version of the weights, including those that it is about to prefill.
[[nodiscard]] double cached_tokens(state const& dispatcher,
                                   upstream const& target, call const& request,
                                   prompt_split const& split,
                                   std::uint64_t weights, mono_time now);

/// \brief The engine or store that holds the most of a prompt's shared parts.
struct part_source
{
    std::uint64_t weights = 0;
    address where;
    upstream_key engine = 0;
    double tokens = 0;
    double ms_per_token = 0;
};

/// \brief The best source for each version of the weights.
[[nodiscard]] std::vector<part_source> find_sources(state const& dispatcher,
                                                    call const& request,
                                                    prompt_split const& split,
                                                    mono_time now);

/// \brief The source for one weights version; has 0 tokens if there is none.
[[nodiscard]] part_source find_source(std::vector<part_source> const& sources,
                                      std::uint64_t weights);

/// \brief The store to save shared parts to after an engine has prefilled them.
/// \param read_tokens shared tokens that no engine or store holds
[[nodiscard]] std::optional<address>
select_store(state const& dispatcher, call const& request,
             prompt_split const& split, double read_tokens, mono_time now);

/// \brief Key prefix of a call's cached parts; keeps the parts of different
/// weights and of isolated teams apart.
[[nodiscard]] std::string cache_scope(std::string const& owner,
                                      std::uint64_t weights);

/// \brief Key prefix of the cached parts of one call whose model is not known,
/// and so its weights: no other call finds them.
/// \param draw random bits of the caller's
[[nodiscard]] std::string one_call_scope(std::string const& owner,
                                         std::uint64_t draw);

} // namespace jujubestand::dispatch

#endif
