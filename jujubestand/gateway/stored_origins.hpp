#ifndef JUJUBESTAND_GATEWAY_STORED_ORIGINS_HPP
#define JUJUBESTAND_GATEWAY_STORED_ORIGINS_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <jujubestand/core/time.hpp>
#include <jujubestand/gateway/route_pools.hpp>
#include <jujubestand/gateway/stream_origins.hpp>
#include <jujubestand/traffic/tables.hpp>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/// \brief Software versions of begun streams, in the store: all gateways and
/// agents may be killed at once.
///
/// While the pools of a route have had one version only, nothing is written:
/// the version can be inferred. Once there are several, each gateway appends
/// the streams that it has begun, in batches, also those of the time before. A
/// gateway reads the records only to look up a stream that a caller resumes.
namespace jujubestand::gateway
{

/// \brief Partitions of the topic that are used, if the store has so many.
inline constexpr std::size_t origin_partitions_limit = 4;

/// \brief Records of a partition that are read, the newest ones.
inline constexpr std::uint64_t origin_records_limit = 8'192;

/// \brief A stream that has begun.
struct begun_stream
{
    origin_key stream = 0;
    std::string software_version;
    mono_time begun_at{};
    /// Other gateways have been asked to write it as well.
    bool is_handed_over = false;
};

/// \brief Streams by software version, as one record of the store.
struct origin_batch
{
    std::uint32_t format = 1;
    std::map<std::string, std::vector<origin_key>> streams;

    MSGPACK_DEFINE_ARRAY(format, streams)
};

/// \brief Writes of begun streams to the store.
struct origin_write_queue
{
    /// Those not stored so far in the order of their begin, then those that are
    /// to be stored again; bounded.
    std::deque<begun_stream> unstored;
    /// Streams of the write in flight.
    std::vector<begun_stream> writing;
    /// Stored streams with the time of their write, in its order; bounded.
    std::deque<std::pair<mono_time, begun_stream>> stored;
    /// Versions that have to be stored, as of the last review.
    std::set<std::string> versions;
    /// The last write failed.
    bool is_failing = false;
    mono_time due_at{};
};

/// \brief Position of a look-up in one partition.
struct origin_position
{
    /// Offset of the first record that is not read.
    std::uint64_t next = 0;
    bool is_reading = false;
};

/// \brief Look-ups of streams in the store, one at a time.
struct origin_look_up
{
    std::vector<origin_position> partitions;
    /// Era of the store that the positions are of.
    std::uint64_t era = 0;
    /// Start of the look-up in progress.
    std::optional<mono_time> began_at;
    /// When the next one may begin.
    mono_time due_at{};
    /// Some partition could not be read in this look-up.
    bool has_failed = false;
};

/// \brief Versions that a stream of some route can't be known by otherwise:
/// those of routes whose pools have had several of late.
[[nodiscard]] std::set<std::string>
versions_to_store(stream_origins& origins, route_pools const& former_pools,
                  traffic::tables const& tables,
                  dispatch::state const& dispatcher, mono_time now);

/// \brief Partitions that the streams of all gateways are written to.
/// \param available partitions of a topic of the store
[[nodiscard]] std::size_t origin_partitions(std::size_t available) noexcept;

/// \brief Partition that a gateway writes to.
[[nodiscard]] std::size_t origin_partition_of(std::string_view host,
                                              std::size_t partitions) noexcept;

/// \brief Time between two writes of a gateway. It grows with the number of
/// gateways once the partitions would be busy.
[[nodiscard]] std::chrono::milliseconds
origin_write_interval(std::size_t gateways, std::size_t partitions) noexcept;

/// \brief Keeps a stream that has begun, for the case that it must be stored.
void keep_begun(origin_write_queue& state, begun_stream const& begun);

/// \brief Begins the next write, if one is due and none is in flight.
/// \param retention for how long the store keeps a record
/// \returns its streams, empty if there is nothing to write
[[nodiscard]] origin_batch
begin_origin_write(origin_write_queue& state,
                   std::chrono::milliseconds interval,
                   std::chrono::milliseconds retention, mono_time now);

/// \brief Ends the write in flight.
void end_origin_write(origin_write_queue& state, bool is_stored, mono_time now);

/// \brief Streams that other gateways are to write, since this one can't; each
/// once.
[[nodiscard]] std::vector<begun_stream> hand_over(origin_write_queue& state);

/// \brief Has all streams written again: the store has lost what was written.
void write_origins_again(origin_write_queue& state);

/// \brief Applies one record of the store. \returns false if it is malformed
bool apply_origin_batch(stream_origins& origins, std::string_view record);

/// \brief Sets the positions back if the store has returned from an older copy:
/// it gives offsets out again. \returns whether it has
bool apply_store_era(origin_look_up& state, std::uint64_t era);

/// \brief What a read returned of a partition.
struct origin_page
{
    /// Offset of the first record that the store has.
    std::uint64_t first = 0;
    std::uint64_t end = 0;
    std::uint64_t records = 0;
};

/// \brief What follows a read of a partition.
enum class read_step : std::uint8_t
{
    more,   ///< read on at the new position
    done,   ///< all records are read
    failed, ///< the store doesn't return the records that it has
};

/// \brief Moves the position behind the records of a page; skips all but the
/// newest ones.
[[nodiscard]] read_step advance(origin_position& position,
                                origin_page const& page) noexcept;

/// \brief Moves the position to the first record that the store has.
[[nodiscard]] read_step move_to(origin_position& position,
                                std::uint64_t first) noexcept;

} // namespace jujubestand::gateway

#endif
