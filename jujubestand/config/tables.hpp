#ifndef JUJUBESTAND_CONFIG_TABLES_HPP
#define JUJUBESTAND_CONFIG_TABLES_HPP

#include <chrono>
#include <cstdint>
#include <jujubestand/core/ids.hpp>
#include <map>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace jujubestand::config
{

/// \brief Which traffic goes where: one row of the route table.
///
/// Empty `teams` or `models` match any; an empty `path_prefix` matches the
/// completion API, any other a plain service under that prefix.
struct route
{
    route_id id;
    pool_id pool;
    std::vector<team_id> teams;
    std::vector<model_id> models;
    std::string path_prefix;
    bool is_idempotent = true;
    std::uint32_t deadline_ms = 120'000;
    /// 0: no limit of its own for the first token.
    std::uint32_t first_token_deadline_ms = 0;
    /// 0 is the most urgent.
    std::uint8_t priority = 1;
    /// Tokens that one team may have waiting at one sidecar; 0: the
    /// sidecar's own limit.
    std::uint32_t team_queue_tokens = 0;
    std::uint64_t body_limit_bytes = 8U << 20U;

    bool operator==(route const&) const = default;

    MSGPACK_DEFINE_ARRAY(id, pool, teams, models, path_prefix, is_idempotent,
                         deadline_ms, first_token_deadline_ms, priority,
                         team_queue_tokens, body_limit_bytes)
};

/// \brief Role that one engine of a pool shall take.
struct upstream_role
{
    upstream_id upstream;
    /// "mixed", "prefill" or "decode".
    std::string role;

    bool operator==(upstream_role const&) const = default;

    MSGPACK_DEFINE_ARRAY(upstream, role)
};

/// \brief Which upstreams serve a pool, and how: one row of the pool table.
struct pool
{
    pool_id id;
    std::vector<upstream_id> upstreams;
    /// Weight of tail latency against reuse of cached prompts, 0 to 1.
    double tail_weight = 0.5;
    /// The engines refuse orders with an old fencing number.
    bool has_fencing = false;
    std::uint32_t concurrent_weight_loads = 2;
    std::string weights_version;
    std::vector<std::string> adapters;
    /// Claim streams that the pool's keys are spread over.
    std::uint32_t claim_streams = 1;
    /// Engines that are not listed keep the role they have.
    std::vector<upstream_role> roles;

    bool operator==(pool const&) const = default;

    MSGPACK_DEFINE_ARRAY(id, upstreams, tail_weight, has_fencing,
                         concurrent_weight_loads, weights_version, adapters,
                         claim_streams, roles)
};

/// \brief Both tables at one version.
struct tables
{
    /// Offset of the last record that changed them; 0: none was read.
    log_offset version;
    std::map<route_id, route> routes;
    std::map<pool_id, pool> pools;

    bool operator==(tables const&) const = default;

    MSGPACK_DEFINE_ARRAY(version, routes, pools)
};

} // namespace jujubestand::config

#endif
