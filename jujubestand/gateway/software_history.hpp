#ifndef JUJUBESTAND_GATEWAY_SOFTWARE_HISTORY_HPP
#define JUJUBESTAND_GATEWAY_SOFTWARE_HISTORY_HPP

#include <cstdint>
#include <jujubestand/core/time.hpp>
#include <jujubestand/gateway/stream_origins.hpp>
#include <jujubestand/traffic/upstream.hpp>
#include <map>
#include <msgpack.hpp>
#include <string>
#include <utility>
#include <vector>

/// \brief Software versions of engines, kept in the store: a gateway that has
/// just started can't see those that have left.
namespace jujubestand::gateway
{

/// \brief A software version of a pool, as it is stored.
struct software_record
{
    std::string pool;
    std::string version;
    /// Wall clock time at which its last engine left, in ms; 0: in use.
    std::int64_t left_at_ms = 0;

    bool operator==(software_record const&) const = default;

    MSGPACK_DEFINE_ARRAY(pool, version, left_at_ms)
};

/// \brief What is stored of the software versions, by key.
struct software_history
{
    std::map<std::string, software_record> stored;
    /// Keys of the writes in flight.
    std::map<std::string, mono_time> writing;
    bool is_listed = false;
    mono_time list_due_at{};
    mono_time reviewed_at{};
};

/// \brief Key of a version's record in the store.
[[nodiscard]] std::string key_of(software_record const& row);

/// \brief Records that differ from what is stored.
/// \param in_use pool and version of each engine
[[nodiscard]] std::vector<software_record>
unstored(software_history const& state,
         std::vector<std::pair<std::string, std::string>> const& in_use,
         wall_time now);

/// \brief Applies a stored record to what is known of versions in use.
void apply_stored(stream_origins& origins, software_record const& row,
                  wall_time wall_now, mono_time now);

struct gateway_state;

/// \brief Reads the history when this gateway has started; later writes what is
/// not stored, if this is the first of the gateways.
void review_software_history(gateway_state& state);

/// \brief Reads the history again; until then no version is inferred.
void read_software_history_again(gateway_state& state);

} // namespace jujubestand::gateway

#endif
