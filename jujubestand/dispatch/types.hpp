#ifndef JUJUBESTAND_DISPATCH_TYPES_HPP
#define JUJUBESTAND_DISPATCH_TYPES_HPP

#include <array>
#include <chrono>
#include <cstdint>
#include <jujubestand/core/enum_table.hpp>
#include <jujubestand/core/reason.hpp>
#include <jujubestand/core/time.hpp>
#include <jujubestand/status/cache_view.hpp>
#include <jujubestand/status/engine_report.hpp>
#include <jujubestand/traffic/prompt.hpp>
#include <jujubestand/traffic/upstream.hpp>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jujubestand::dispatch
{

/// \brief Names one call for as long as its gateway handles it.
using call_key = std::uint64_t;

/// \brief Names one upstream of this process; never used again.
using upstream_key = std::uint32_t;

/// \brief Limits and weights of the decisions.
struct options
{
    /// Speed at which engines read prompts.
    double reading_tokens_per_ms = 40;
    /// Prompts handed to an engine that it has not read yet, as time.
    double reading_backlog_limit_ms = 220;
    /// Cost of another running call, which slows all of an engine's steps.
    double running_cost_ms = 0.7;
    /// Time to fetch a cached token from another engine.
    double fetch_ms_per_token = 0.002;
    /// Time to fetch a token from a store of parts.
    double store_fetch_ms_per_token = 0.01;
    /// Shared tokens that are worth a place in a store.
    double save_tokens_min = 1'000;
    /// Parts are saved once weights are this old: newer ones may be replaced
    /// before anybody asks for the parts again.
    std::chrono::milliseconds save_weights_age{2'000};
    /// Cost of one more copy of cached parts, for the memory that it takes.
    double copy_cost_ms = 30;
    /// Cost of a shared token that is read away from the prompt's home: it
    /// will be read there as well.
    double reread_cost_ms_per_token = 0.03;
    /// Cost of a shared token that is read on weights which are about to be
    /// replaced: some engine has read it before, and nobody asks for it again.
    double old_reread_cost_ms_per_token = 0.06;
    /// Parts of our own sends count as cached for this long without word of
    /// the agent.
    std::chrono::milliseconds expected_parts_limit{1'200};
    /// Cost of an upstream that failed lately, per failure.
    double failure_cost_ms = 250;
    /// Share of an engine's memory that calls may fill.
    double memory_share = 0.96;
    /// Time in which engines make a token.
    double output_ms_per_token = 4.5;
    /// Cost of a call that would still run when its engine is to load
    /// weights, as a share of its duration: it holds the load up, or moves.
    double interruption_cost_share = 0.25;
    double interruption_cost_limit_ms = 400;
    /// Calls that begin on older weights than wanted are worth less after
    /// this.
    std::chrono::milliseconds weights_grace{900};
    double old_weights_cost_ms = 400;
    /// Calls do not begin on older weights after this.
    std::chrono::milliseconds weights_lag{5'000};
    /// Shortest time in which a call can be served.
    std::chrono::milliseconds service_time_min{60};
    /// Time that a caller needs to come back before it gives up.
    std::chrono::milliseconds return_margin{50};
    std::chrono::milliseconds avoid_base{250};
    std::chrono::milliseconds avoid_limit{2'000};
    std::chrono::milliseconds failure_half_life{2'500};
    /// A report that is older says nothing of the load.
    std::chrono::milliseconds report_age_limit{1'500};
    std::size_t waiting_limit = 2'000;
};

/// \brief Newest report of an engine, and when it was true.
struct engine_load
{
    status::engine_report report;
    mono_time at{};
    /// Its agent can't reach it.
    bool is_down = false;
    /// It is about to load weights: new calls would only be refused.
    bool is_preparing = false;
    /// When it is to load weights, if that is known.
    std::optional<mono_time> load_due_at;
};

/// \brief One call that is to be served.
struct call
{
    call_key key = 0;
    std::string pool;
    /// Empty where the pool's upstreams are no engines.
    std::optional<traffic::prompt> asked;
    /// Whom the cached parts are for: an isolated team, or all others.
    std::string cache_owner;
    /// 0 is the most urgent.
    std::uint8_t priority = 5;
    mono_time arrived_at{};
    mono_time deadline{};
    std::chrono::milliseconds target_latency{1'000};
    /// Upstreams that it was sent to already.
    std::vector<upstream_key> tried;
};

/// \brief What the call does next.
enum class action : std::uint8_t
{
    send,
    hold,
    refuse,
};

/// \brief Names of the actions.
inline constexpr std::array<enum_name<action>, 3> action_names{{
    {action::send, "send"},
    {action::hold, "hold"},
    {action::refuse, "refuse"},
}};

/// \brief A decision on one call.
struct decision
{
    call_key call = 0;
    action what = action::hold;
    /// For `send`.
    upstream_key upstream = 0;
    /// For `send` to an engine: the weights that the call runs on.
    std::optional<std::uint64_t> weights;
    /// For `send` to an engine: may hold parts of the prompt.
    std::optional<address> fetch_from;
    /// For `send` to an engine: a store that should keep what is read.
    std::optional<address> save_to;
    /// Tokens of the prompt that are believed cached there, for the log.
    double cached_tokens = 0;
    /// Expected time to the first output, for the log.
    double expected_ms = 0;
    /// For `refuse`.
    reason why;
    std::chrono::milliseconds retry_after{0};
};

/// \brief How one send of a call ended.
enum class send_outcome : std::uint8_t
{
    served,      ///< a whole answer
    refused,     ///< the upstream did not run it
    failed,      ///< an answer that reports a failure
    unreachable, ///< nothing could be sent
    cut,         ///< no whole answer
    cancelled,   ///< we gave it up
};

/// \brief Names of the outcomes.
inline constexpr std::array<enum_name<send_outcome>, 6> send_outcome_names{{
    {send_outcome::served, "served"},
    {send_outcome::refused, "refused"},
    {send_outcome::failed, "failed"},
    {send_outcome::unreachable, "unreachable"},
    {send_outcome::cut, "cut"},
    {send_outcome::cancelled, "cancelled"},
}};

/// \brief One send that has not ended.
struct open_send
{
    upstream_key upstream = 0;
    mono_time at{};
    /// Tokens that the engine has to read, until its first output.
    double reading_tokens = 0;
    /// Memory that it takes at the engine.
    double memory_tokens = 0;
    bool is_reading = true;
};

/// \brief What this process knows of one upstream.
struct upstream
{
    upstream_key key = 0;
    traffic::upstream_record record;
    /// Another upstream has its address now.
    bool is_replaced = false;
    std::uint64_t name_hash = 0;
    std::optional<engine_load> load;
    /// Parts of prompts that it has cached, by its agent.
    status::cache_copy cache;
    /// Parts that our own sends bring there, until the agent tells.
    std::unordered_map<status::part_hash, mono_time> expected_parts;
    /// Newest known weights of each model.
    std::map<std::string, std::uint64_t> versions;
    /// Sends of this process that have not ended.
    std::uint32_t open_calls = 0;
    /// Failures of late, halved over time.
    double failures = 0;
    mono_time failures_at{};
    mono_time avoid_until{};
};

/// \brief A store of cached parts, as this process knows it.
struct part_store
{
    address where;
    /// Its events can be read.
    bool is_alive = false;
    status::cache_copy cache;
};

/// \brief The weights that the operator wants of one model.
struct wanted
{
    std::uint64_t version = 0;
    mono_time since{};
};

/// \brief All that the decisions stand on.
struct state
{
    options limits;
    std::map<upstream_key, upstream> upstreams;
    std::map<std::string, upstream_key, std::less<>> by_id;
    std::unordered_map<call_key, open_send> sends;
    std::map<call_key, call> waiting;
    std::map<std::string, wanted> weights;
    std::vector<part_store> stores;
    upstream_key last_key = 0;
    /// Gateways that share the upstreams, this one included.
    std::uint32_t gateways = 1;
    /// Mean size of prompts seen, for work of other gateways.
    double mean_reading_tokens = 2'000;
    std::string data_center;
};

} // namespace jujubestand::dispatch

#endif
