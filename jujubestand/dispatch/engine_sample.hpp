#ifndef JUJUBESTAND_DISPATCH_ENGINE_SAMPLE_HPP
#define JUJUBESTAND_DISPATCH_ENGINE_SAMPLE_HPP

#include <jujubestand/dispatch/choice.hpp>
#include <optional>
#include <vector>

/// \brief Selects the engines that are compared for a call. Gateways with the
/// same reports would otherwise all choose the same idle engine until the next
/// report.
namespace jujubestand::dispatch
{

/// \brief An engine that can take a call.
struct candidate
{
    choice chosen;
    std::uint64_t name_hash = 0;
    /// Calls with the same shared parts go there first.
    bool is_home = false;
};

/// \brief Share of the engines that a call is compared over.
/// \param other_sends expected sends of the other gateways between two reports
[[nodiscard]] double sample_share(std::size_t engines, double other_sends);

/// \brief Expected sends of the other gateways to a pool between two reports,
/// if all gateways send as many as this one.
[[nodiscard]] double other_sends(state const& dispatcher,
                                 std::string const& pool, mono_time now);

/// \brief The engine with the least expected time among a random sample of two
/// at least, the prompt's home and those with much of the prompt cached.
/// \returns nothing if there are no candidates
[[nodiscard]] std::optional<choice>
choose_sampled(std::vector<candidate> const& candidates, double share,
               call_key call, mono_time now);

} // namespace jujubestand::dispatch

#endif
