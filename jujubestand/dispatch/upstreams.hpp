#ifndef JUJUBESTAND_DISPATCH_UPSTREAMS_HPP
#define JUJUBESTAND_DISPATCH_UPSTREAMS_HPP

#include <jujubestand/dispatch/types.hpp>
#include <string>

namespace jujubestand::dispatch
{

/// \brief Takes in what an upstream registered of itself.
/// \returns whether it is new
bool on_record(state& all, traffic::upstream_record const& record);

/// \brief An upstream is gone.
void on_removed(state& all, std::string const& id);

/// \brief An upstream refused a call that was meant for another one.
void on_misdirected(state& all, upstream_key of);

/// \brief Takes in an engine's report.
void on_load(state& all, upstream_key of, engine_load const& load);

/// \brief Takes in what changed in an engine's cache.
void on_cache(state& all, upstream_key of, status::cache_delta const& delta);

/// \brief An answer told the weights that a model runs on.
void on_weights_seen(state& all, upstream_key of, std::string const& model,
                     std::uint64_t version);

/// \brief The operator wants other weights.
/// \param since when they were named, at the latest
void on_wanted_weights(state& all, std::string const& model,
                       std::uint64_t version, mono_time since);

/// \brief The first output of a send came.
void on_first_output(state& all, call_key call);

/// \brief A send ended; its upstream's standing follows from how.
void on_send_end(state& all, call_key call, send_outcome outcome,
                 mono_time now);

/// \brief The upstream that an engine at an IP number is, if there is one.
[[nodiscard]] upstream const* find_by_host(state const& all,
                                           std::string const& host);

/// \brief Failures of late of an upstream.
[[nodiscard]] double recent_failures(state const& all, upstream const& one,
                                     mono_time now);

} // namespace jujubestand::dispatch

#endif
