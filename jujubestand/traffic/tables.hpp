#ifndef JUJUBESTAND_TRAFFIC_TABLES_HPP
#define JUJUBESTAND_TRAFFIC_TABLES_HPP

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <jujubestand/core/address.hpp>
#include <jujubestand/core/enum_table.hpp>
#include <jujubestand/core/reason.hpp>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jujubestand::traffic
{

/// \brief What may be repeated of a route's calls.
enum class call_kind : std::uint8_t
{
    idempotent,     ///< may run any number of times
    non_idempotent, ///< may run once at most
    stream,         ///< a stream of events; once unless it is resumable
};

/// \brief Names of the kinds.
inline constexpr std::array<enum_name<call_kind>, 3> call_kind_names{{
    {call_kind::idempotent, "idempotent"},
    {call_kind::non_idempotent, "non_idempotent"},
    {call_kind::stream, "stream"},
}};

/// \brief A pool's share of a route's traffic.
struct pool_share
{
    std::string pool;
    /// Relative to the other shares.
    double weight = 1.0;
};

/// \brief Which calls go to which pools, and how.
struct route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    call_kind kind = call_kind::non_idempotent;
    /// A stream may go on at another upstream after its last event.
    bool is_resumable = false;
    /// Needs no key.
    bool is_public = false;
    /// Its calls carry the parts of a prompt.
    bool has_prompts = false;
    std::chrono::milliseconds timeout{30'000};
    std::chrono::milliseconds target_latency{1'000};
    /// How long callers wait for the first output of a stream, from their call
    /// on, before they leave; empty: as long as the call has time.
    std::optional<std::chrono::milliseconds> output_patience;
    /// 0 is the most urgent.
    std::uint8_t priority = 5;
    /// Upstreams that one call may be sent to.
    std::uint32_t attempts_limit = 1;
    /// Empty: the pools could not be read, and no call may be sent to any.
    std::vector<pool_share> shares;
};

/// \brief What the engines of a pool have in common.
struct engine_traits
{
    /// Calls that run at once.
    std::uint32_t slots = 64;
    /// Memory for running calls and cached parts.
    std::uint64_t memory_tokens = 0;
    std::vector<std::string> models;
};

/// \brief A group of interchangeable upstreams.
struct pool
{
    std::string name;
    std::uint32_t connections_limit = 0;
    /// Set where the pool's upstreams are model engines.
    std::optional<engine_traits> engine;
};

/// \brief A store of cached parts of prompts, beside the engines.
struct part_store
{
    std::string name;
    address where;
    std::string data_center;
};

/// \brief What all calls of a team together may cost.
struct team_quota
{
    /// Per second; more than 0.
    double rate = 0;
    /// What may be used at once beside the rate.
    double burst = 0;
    /// A call costs its tokens; otherwise 1.
    bool counts_tokens = false;
    /// Cost of a call that doesn't state its tokens, if tokens are counted.
    double plain_cost = 1;

    bool operator==(team_quota const&) const = default;
};

/// \brief A customer's team.
struct team
{
    std::string name;
    /// Goes before the route's priority.
    std::optional<std::uint8_t> priority;
    /// Shares no cached part of a prompt with any other team.
    bool is_isolated = false;
    /// Empty: any number of calls.
    std::optional<team_quota> quota;
    /// Whether its name and quota could be read; otherwise no call of the team
    /// may run.
    bool is_readable = true;
};

/// \brief What callers may send, and how slowly.
struct caller_limits
{
    std::size_t head_bytes = 16'384;
    std::size_t body_bytes = 8U << 20U;
    std::chrono::milliseconds head_timeout{5'000};
    std::chrono::milliseconds idle_timeout{60'000};
};

/// \brief Routes, pools and teams at one version.
struct tables
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::map<std::string, pool, std::less<>> pools;
    std::vector<part_store> part_stores;
    std::vector<team> teams;
    /// Calls of routes that are not public need a key, also while no team has
    /// one.
    bool needs_keys = false;
    /// Index into `teams` by key.
    std::unordered_map<std::string, std::size_t> keys;
    caller_limits limits;
    /// Parts that could not be read, and why.
    std::vector<reason> unreadable;
    /// Whether all keys could be read; otherwise an unknown one may be a
    /// team's.
    bool knows_all_keys = true;
    /// The same for hosts and paths of routes.
    bool knows_all_routes = true;
};

/// \brief The route of a host whose prefix is the longest that begins
/// `path`; null if none does.
[[nodiscard]] route const*
find_route(tables const& content, std::string_view host, std::string_view path);

/// \brief The team that holds a key; null if none does.
[[nodiscard]] team const* find_team(tables const& content,
                                    std::string_view key);

/// \brief The pool of a name; null if there is none that can be read.
[[nodiscard]] pool const* find_pool(tables const& content,
                                    std::string_view name);

/// \brief Owner of the cached parts of prompts that all teams share which are
/// not isolated.
///
/// It names the isolated teams: what a team's calls cached while it was not
/// isolated has another owner.
[[nodiscard]] std::string shared_cache_owner(tables const& content);

/// \brief Owner of the cached parts that a team's calls make and use.
/// \param shared owner of the parts of teams that are not isolated
[[nodiscard]] std::string cache_owner_of(team const& caller,
                                         std::string const& shared);

/// \brief One pool of a route, drawn by weight.
/// \param draw random bits of the caller's
/// \returns the pool's name; empty if the route has none
[[nodiscard]] std::string_view choose_pool(route const& from,
                                           std::uint64_t draw);

} // namespace jujubestand::traffic

#endif
