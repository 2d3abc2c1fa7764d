#ifndef JUJUBESTAND_CONFIG_STORE_HPP
#define JUJUBESTAND_CONFIG_STORE_HPP

#include <chrono>
#include <cstdint>
#include <jujubestand/config/fold.hpp>
#include <jujubestand/config/matching.hpp>
#include <jujubestand/core/event.hpp>
#include <jujubestand/core/ids.hpp>
#include <jujubestand/core/time.hpp>
#include <jujubestand/link/messages.hpp>
#include <jujubestand/platform/log_record.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jujubestand::config
{

/// \brief Settings of a store.
struct store_options
{
    instance_id self;
    /// How long the log keeps a record.
    std::chrono::milliseconds retention{3'600'000};
    /// At most one question to the same peer within this.
    std::chrono::milliseconds ask_interval{250};
    /// Peers asked at once while there are no tables.
    std::size_t asks_at_start = 3;
    /// How often one peer is asked while the log is out of reach.
    std::chrono::milliseconds outage_interval{2'000};
    /// A snapshot whose append was lost is tried again after this.
    std::chrono::milliseconds snapshot_retry{5'000};
    /// More edits than this since the last snapshot call for a new one.
    std::uint32_t edits_limit = 500;
    std::uint64_t seed = 1;
};

/// \brief One process's tables: where it reads them and whom it asks.
struct store
{
    store_options options;
    fold known;
    route_index index;
    bool log_reachable = true;
    std::map<instance_id, mono_time> asked;
    std::optional<mono_time> outage_asked;
    std::optional<mono_time> snapshot_tried;
    std::uint64_t seed = 0;
};

/// \brief What the shell shall do; empty parts ask for nothing.
struct store_effects
{
    /// The tables in force have changed.
    bool applied = false;
    std::vector<edit_result> results;
    /// Send these peers `tables_wanted`.
    std::vector<instance_id> ask;
    /// Go on reading the log here.
    std::optional<log_offset> read_from;
    /// Append this to the stream.
    std::string append;
    std::vector<event_note> notes;
};

/// \brief How another process's tables stand to ours.
enum class tables_age : std::uint8_t
{
    same,
    older, ///< refuse as `tables_stale`, and hand ours over
    newer, ///< ask it for them
};

/// \brief A store that has read nothing.
[[nodiscard]] store make_store(store_options const& options);

/// \brief The tables in force; version 0 where there are none yet.
[[nodiscard]] tables const& in_force(store const& state) noexcept;

/// \brief Compares a version that came on a message.
[[nodiscard]] tables_age compare(store const& state, log_offset seen) noexcept;

/// \brief Records were read, or the end of the stream.
store_effects on_batch(store& state, platform::log_batch const& batch);

/// \brief The log has dropped all records before `first`.
store_effects on_gap(store& state, log_offset first);

/// \brief The log's service came into reach or went out of it.
void on_log_state(store& state, bool is_reachable) noexcept;

/// \brief A message from `peer` carried the version of its tables.
store_effects on_peer_version(store& state, instance_id const& peer,
                              log_offset version, mono_time now);

/// \brief A peer handed its tables over.
store_effects on_tables(store& state, link::tables const& given);

/// \brief Answer to a `tables_wanted`; empty where ours are not newer.
[[nodiscard]] link::tables hand_over(store const& state, log_offset have);

/// \brief Called several times a second, and at once at the start.
/// \param peers live peers, in any order, without ourselves
store_effects on_tick(store& state, std::vector<instance_id> const& peers,
                      mono_time now, wall_time wall);

/// \brief How long after the first one due the process `self` waits before it
/// re-appends the snapshot, in the order that all draw for `since`.
[[nodiscard]] std::chrono::milliseconds
snapshot_turn(instance_id const& self, std::vector<instance_id> const& peers,
              wall_time since, std::chrono::milliseconds retention);

} // namespace jujubestand::config

#endif
