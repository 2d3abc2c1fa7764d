#ifndef JUJUBESTAND_BENCH_PLACEMENT_POLICY_HPP
#define JUJUBESTAND_BENCH_PLACEMENT_POLICY_HPP

#include <array>
#include <bench/placement/cache_mirror.hpp>
#include <bench/placement/fleet.hpp>
#include <jujubestand/core/enum_table.hpp>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace jujubestand::bench
{

/// \brief Who chooses the upstream. All but `ours` run in the load
/// generator, which sees all requests at once and pins each to its choice:
/// they pay for no probe and know all outstanding work.
enum class policy : std::uint8_t
{
    ours,
    random,
    round_robin,
    least_loaded,
    prompt_hash,
    oracle,
};

/// \brief Names of the policies.
inline constexpr std::array<enum_name<policy>, 6> policy_names{{
    {policy::ours, "ours"},
    {policy::random, "random"},
    {policy::round_robin, "round_robin"},
    {policy::least_loaded, "least_loaded"},
    {policy::prompt_hash, "prompt_hash"},
    {policy::oracle, "oracle"},
}};

/// \brief Outstanding work of one engine, as the load generator sees it.
struct engine_load
{
    bool is_down = false;
    std::size_t requests = 0;
    /// Tokens to compute of requests without a first token.
    std::size_t pending_tokens = 0;
};

/// \brief What a policy may look at.
struct policy_view
{
    fleet const* size = nullptr;
    cache_mirror const* caches = nullptr;
    std::vector<engine_load> const* loads = nullptr;
};

/// \brief A policy's memory.
struct policy_state
{
    policy kind = policy::ours;
    std::mt19937_64 random;
    std::size_t turn = 0;
};

/// \brief The engine to pin a request to; nothing for `ours`.
[[nodiscard]] std::optional<std::size_t>
choose_engine(policy_state& state, policy_view const& view,
              std::string const& body,
              std::vector<prefix::block_id> const& blocks);

} // namespace jujubestand::bench

#endif
