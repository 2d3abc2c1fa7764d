#ifndef JUJUBESTAND_GATEWAY_STREAM_ORIGINS_HPP
#define JUJUBESTAND_GATEWAY_STREAM_ORIGINS_HPP

#include <array>
#include <cstdint>
#include <jujubestand/core/enum_table.hpp>
#include <jujubestand/core/recent_map.hpp>
#include <jujubestand/core/time.hpp>
#include <jujubestand/dispatch/types.hpp>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/// \brief Software versions that streams began at.
///
/// A stream continues only at the software version that began it, and callers
/// resume streams at any gateway. The gateway that begins a stream keeps its
/// version and sends it to a few other gateways and to a few agents, chosen by
/// the request's id; the gateway at which the stream is resumed queries these.
/// All of them may be killed at once, so that versions are stored as well while
/// several are in use; see `stored_origins.hpp`.
namespace jujubestand::gateway
{

/// \brief Identifies the request that began a stream.
using origin_key = std::uint64_t;

/// \brief Gateways, apart from its own, that keep the version of a stream.
inline constexpr std::size_t origin_replicas = 2;

/// \brief Gateways that are queried for it: more than keep it, since the list
/// of gateways may have changed in between.
inline constexpr std::size_t origin_query_targets = 4;

/// \brief Agents that keep the version of a stream. They are beside engines of
/// this version: once these have left, nothing can continue the stream.
inline constexpr std::size_t origin_agents = 2;

/// \brief Agents of each version that are queried for it: more than keep it,
/// since engines come and go in between.
inline constexpr std::size_t origin_query_agents = 4;

/// \brief Time in which a software version of a pool counts as in use after
/// its last upstream has left, since callers may still hold streams of it.
inline constexpr std::chrono::milliseconds software_memory{60'000};

/// \brief What a gateway knows of the versions that streams began at.
struct stream_origins
{
    /// Software version by request, of the streams of this gateway and those
    /// that it keeps for others; the least recently used are dropped.
    recent_map<origin_key, std::string> versions{16'384};
    /// The same, as read from the store; the newest are kept.
    recent_map<origin_key, std::string> stored{32'768};
    /// By pool and software version: when an upstream was last registered.
    std::map<std::string, std::map<std::string, mono_time>> software_in_use;
    /// Other versions may have been in use of late that are not known here.
    bool lacks_history = false;
};

/// \brief Next step for a stream that a caller resumes.
enum class resume_step : std::uint8_t
{
    proceed, ///< send to an upstream of the software version
    query,   ///< query the gateways that may know the version
    look_up, ///< read the store, which may have the version
    wait,    ///< wait until all upstreams that may have begun it are known
    refuse,  ///< the version can't be known
};

inline constexpr std::array<enum_name<resume_step>, 5> resume_step_names{{
    {resume_step::proceed, "proceed"},
    {resume_step::query, "query"},
    {resume_step::look_up, "look_up"},
    {resume_step::wait, "wait"},
    {resume_step::refuse, "refuse"},
}};

/// \brief Progress of the look-up of a stream in the store.
enum class look_up_state : std::uint8_t
{
    none,   ///< not begun
    read,   ///< all records that were written before its start are known
    failed, ///< the store could not be read in time
};

inline constexpr std::array<enum_name<look_up_state>, 3> look_up_state_names{{
    {look_up_state::none, "none"},
    {look_up_state::read, "read"},
    {look_up_state::failed, "failed"},
}};

/// \brief A stream that a caller resumes.
struct resumed_stream
{
    /// Pools at which it may have begun.
    std::vector<std::string> pools;
    /// Request that began the stream; empty if the caller does not name it.
    std::string request_id;
    /// When the caller's request arrived: the stream began before.
    mono_time arrived_at{};
    /// Other gateways were queried and none knew the version.
    bool was_queried = false;
    /// Whether the store was read for it.
    look_up_state look_up = look_up_state::none;
    /// Some gateway is known, this one included.
    bool knows_gateways = true;
};

/// \brief Decision for a stream that a caller resumes.
struct resume_decision
{
    resume_step step = resume_step::refuse;
    /// For `proceed`: the version to continue at.
    std::optional<std::string> software_version;
};

/// \brief Key of the request that began a stream.
[[nodiscard]] origin_key origin_key_of(std::string_view request_id) noexcept;

/// \brief Records the version that a stream began at, unless one is recorded.
void record_origin(stream_origins& state, origin_key stream,
                   std::string const& software_version);

/// \brief The version that a stream began at, if it is known here.
[[nodiscard]] std::optional<std::string> find_origin(stream_origins& state,
                                                     origin_key stream);

/// \brief Records that a pool had an upstream of a software version at a time.
void record_software(stream_origins& state, std::string const& pool,
                     std::string const& software_version, mono_time seen_at);

/// \brief Records the software versions of the upstreams that are registered in
/// a pool.
void record_registered_software(stream_origins& state,
                                dispatch::state const& dispatcher,
                                std::string const& pool, mono_time now);

/// \brief Software versions that upstreams of the pools have or had of late.
[[nodiscard]] std::set<std::string>
recent_versions(stream_origins const& state,
                std::vector<std::string> const& pools, mono_time now);

/// \brief Decides on a stream that a caller resumes.
/// \param known_as_of all upstreams that had registered by then are known, and
/// all pools of the stream's route
[[nodiscard]] resume_decision
decide_resume(stream_origins& state, resumed_stream const& stream,
              std::optional<mono_time> known_as_of, mono_time now);

/// \brief The gateways that keep or may know the version of a stream, the
/// likeliest first.
/// \param hosts all gateways, in any order
/// \param own this gateway, which is left out
[[nodiscard]] std::vector<std::string>
origin_holders(std::vector<std::string> const& hosts, std::string const& own,
               origin_key stream, std::size_t count);

} // namespace jujubestand::gateway

#endif
