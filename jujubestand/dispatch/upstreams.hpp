#ifndef JUJUBESTAND_DISPATCH_UPSTREAMS_HPP
#define JUJUBESTAND_DISPATCH_UPSTREAMS_HPP

#include <jujubestand/dispatch/types.hpp>
#include <string>

namespace jujubestand::dispatch
{

/// \brief Adds or updates an upstream from its registration record.
/// \returns whether the upstream is new
bool on_upstream_record(state& dispatcher,
                        traffic::upstream_record const& record);

/// \brief Removes an upstream that is no longer registered.
void on_upstream_removed(state& dispatcher, std::string const& id);

/// \brief Handles the refusal of a call that was sent to the wrong upstream.
void on_misdirected(state& dispatcher, upstream_key target_key);

/// \brief Stores the latest load report of an engine; one of the process before
/// its last start changes nothing.
void on_load_report(state& dispatcher, upstream_key target_key,
                    engine_load const& load);

/// \brief Applies changes of an engine's cache.
void on_cache_delta(state& dispatcher, upstream_key target_key,
                    status::cache_delta const& delta);

/// \brief Records the weights version that an answer was generated with.
void on_weights_seen(state& dispatcher, upstream_key target_key,
                     std::string const& model, std::uint64_t version);

/// \brief Adds a weights version that the operator requested for a model.
/// \param since earliest time at which it may have been requested
void on_wanted_weights(state& dispatcher, std::string const& model,
                       std::uint64_t version, mono_time since);

/// \brief Whether a call in flight was sent to the latest process of its
/// upstream; what the one before states doesn't concern the latest.
[[nodiscard]] bool is_at_latest_process(state const& dispatcher, call_key call);

/// \brief The process that a call in flight was sent to; empty if the call is
/// not in flight.
[[nodiscard]] std::optional<process_id> process_of(state const& dispatcher,
                                                   call_key call);

/// \brief A process of an upstream states that it takes no new calls; holds for
/// the rest of its life, whatever its record says and while it has none.
/// \returns whether that is news
bool on_leaving_stated(state& dispatcher, process_id const& process);

/// \brief The same of the latest process of an upstream.
bool on_leaving_stated(state& dispatcher, upstream_key target_key);

/// \brief A process of an upstream wants no calls from this gateway for some
/// time; holds also if its record is removed and comes back.
/// \param wall_now the time of day; upstreams state their start by it
/// \returns whether it had not asked for a pause until now
bool on_pause_stated(state& dispatcher, process_id const& process,
                     std::chrono::milliseconds pause, wall_time wall_now,
                     mono_time now);

/// \brief The same of the latest process of an upstream.
bool on_pause_stated(state& dispatcher, upstream_key target_key,
                     std::chrono::milliseconds pause, wall_time wall_now,
                     mono_time now);

/// \brief Applies a statement of an upstream on its limit.
/// \param is_own this process received it from the upstream itself
/// \param wall_now the time of day; limits times that other processes state
limits::limit_change on_limit_statement(state& dispatcher,
                                        upstream_key target_key,
                                        limits::statement const& stated,
                                        bool is_own, wall_time wall_now,
                                        mono_time now);

/// \brief Records that calls could go to a pool, so that permits for its
/// upstreams are of use.
void record_need(state& dispatcher, std::string const& pool, mono_time now);

/// \brief Records a send in the count of recent sends and uses a permit where
/// one is needed.
void count_send(state const& dispatcher, upstream& target, mono_time now);

/// \brief Records that bytes of an answer have arrived.
void on_answer_bytes(state& dispatcher, call_key call, mono_time now);

/// \brief Records that the first output of a send has arrived.
void on_first_output(state& dispatcher, call_key call);

/// \brief Ends a send and updates the failure state of its upstream.
void on_send_end(state& dispatcher, call_key call, send_outcome outcome,
                 mono_time now);

/// \brief The upstream at an IP address, or null if there is none.
[[nodiscard]] upstream const* find_by_host(state const& dispatcher,
                                           std::string const& host);

} // namespace jujubestand::dispatch

#endif
